package proxy

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// inlineBody is the largest body that is copied behind the header and
	// written in one system call; a larger one goes out with writev.
	inlineBody = 8 << 10
	// maxInterim bounds the interim (1xx) responses before the final one.
	maxInterim = 8
)

// write sends the request. The request counts as written even if the kernel
// reports that it took no byte, which keeps the outcome on the safe side.
func (x *exchange) write() error {
	if err := x.conn.SetDeadline(x.ioDeadline); err != nil {
		return exchangeError(Writing, err)
	}
	milliseconds := max(1, (x.request.Deadline - x.began).Milliseconds())
	x.wire = appendDeadline(append(x.wire[:0], x.head...), milliseconds)
	body := x.caller.Request.Body()
	x.wrote = true
	x.writes++
	var err error
	if len(body) <= inlineBody {
		x.wire = append(x.wire, body...)
		_, err = x.conn.Write(x.wire)
	} else {
		buffers := net.Buffers{x.wire, body}
		_, err = buffers.WriteTo(x.conn.Conn)
	}
	if err != nil {
		return exchangeError(Writing, err)
	}
	return nil
}

func exchangeError(stage Stage, cause error) error {
	return errors.WithStack(&ExchangeError{Stage: stage, Cause: cause})
}

// read reads one complete response into the caller's response.
func (x *exchange) read() error {
	if err := x.await(); err != nil {
		return err
	}
	if err := x.conn.SetReadDeadline(x.ioDeadline); err != nil {
		return exchangeError(AwaitingAnswer, err)
	}
	response, r := &x.caller.Response, x.conn.reader
	for interim := 0; ; interim++ {
		if err := response.Header.Read(r); err != nil {
			return exchangeError(ReadingHeader, err)
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK {
			break
		}
		if status == fasthttp.StatusSwitchingProtocols || interim == maxInterim {
			return exchangeError(ReadingHeader, &UnexpectedStatusError{Status: status})
		}
		response.Header.Reset()
	}
	x.load = parseLoad(&response.Header)
	return x.readBody(response)
}

// readBody reads a body whose end the response marks. fasthttp would accept a
// body that ends with the connection, which may be a truncated one.
func (x *exchange) readBody(response *fasthttp.Response) error {
	h, r := &response.Header, x.conn.reader
	status, length := response.StatusCode(), response.Header.ContentLength()
	if x.method == fasthttp.MethodHead {
		response.SkipBody = true
		return nil
	}
	if status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		return nil
	}
	if length == contentLengthIdentity {
		return exchangeError(ReadingBody, &UnframedBodyError{})
	}
	if err := response.ReadBody(r, x.p.options.MaxResponseBody); err != nil {
		return exchangeError(ReadingBody, err)
	}
	if length == contentLengthChunked {
		if err := h.ReadTrailer(r); err != nil {
			return exchangeError(ReadingBody, err)
		}
	}
	return nil
}

// Values of fasthttp's ContentLength for responses without a Content-Length header.
const (
	contentLengthChunked  = -1
	contentLengthIdentity = -2
)

// await waits for the first byte of the response. fasthttp does not tell when
// a caller goes away, so the wait is cut into steps between which the caller's
// connection is looked at; a response within one step costs no extra call.
func (x *exchange) await() error {
	now := time.Now()
	// The budget is asked once for each way to use it: a hedge first, and a
	// retry when the attempt's equal part of the time left has passed.
	retryAt, hedgeAt := now.Add(x.ioDeadline.Sub(now)/time.Duration(x.attempts-x.writes+1)), x.ioDeadline
	mayAbandon := x.writes < x.attempts
	if mayAbandon && x.p.options.HedgeDelay > 0 {
		hedgeAt = now.Add(x.p.options.HedgeDelay)
	}
	for {
		if err := x.conn.SetReadDeadline(earliest(now.Add(x.p.options.PollInterval), hedgeAt, x.ioDeadline)); err != nil {
			return exchangeError(AwaitingAnswer, err)
		}
		_, err := x.conn.reader.Peek(1)
		if err == nil {
			return nil
		}
		var timeout net.Error
		now = time.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(x.ioDeadline) ||
			x.p.Clock.SinceBoot() >= x.request.Deadline {
			return exchangeError(AwaitingAnswer, err)
		}
		if peek(x.caller.Conn()) == closedByPeer {
			return exchangeError(AwaitingAnswer, &CallerGoneError{})
		}
		if mayAbandon && !now.Before(hedgeAt) {
			hedgeAt = x.ioDeadline
			if second := x.hedge(now); second != nil {
				return x.race(second)
			}
			mayAbandon = x.writes < x.attempts
		}
		if mayAbandon && !now.Before(retryAt) {
			mayAbandon = false
			if x.timeLeft() && x.p.Balancer.MayRetry(x.request.Route) {
				x.retryGranted = true
				return exchangeError(AwaitingAnswer, &AttemptTimeoutError{})
			}
		}
	}
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}
