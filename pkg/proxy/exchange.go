package proxy

import (
	"io"
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
	// maxForeign bounds the late responses to other requests that are skipped.
	maxForeign = 2
)

// write sends the request. The request counts as written even if the kernel
// reports that it took no byte, which keeps the outcome on the safe side.
func (x *exchange) write() error {
	if err := x.conn.SetDeadline(x.ioDeadline); err != nil {
		return exchangeError(Writing, err)
	}
	milliseconds := max(1, (x.request.Deadline - x.began).Milliseconds())
	x.wire = x.p.dialect.appendAttempt(append(x.wire[:0], x.head...), x.attempt.Target(), milliseconds)
	body := x.caller.Request.Body()
	x.ranBefore, x.mayHaveRun = x.mayHaveRun, true
	x.writes++
	if len(body) <= inlineBody {
		x.wire = append(x.wire, body...)
		return x.send(x.wire)
	}
	if err := x.send(x.wire); err != nil || x.halfWritten {
		return err
	}
	return x.send(body)
}

// send writes data. A target may answer before it has read the whole request
// and then stop reading, so a write that makes no progress looks for a response.
func (x *exchange) send(data []byte) error {
	for {
		if err := x.conn.SetWriteDeadline(earliest(time.Now().Add(x.p.options.PollInterval), x.ioDeadline)); err != nil {
			return exchangeError(Writing, err)
		}
		n, err := x.conn.Write(data)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !x.timeLeft() {
			return exchangeError(Writing, err)
		}
		data = data[n:]
		if peek(x.conn.Conn) == dataReceived {
			x.halfWritten = true
			return nil
		}
		if peek(x.caller.Conn()) == closedByPeer {
			return exchangeError(Writing, &CallerGoneError{})
		}
	}
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
	response := &x.caller.Response
	for skipped := 0; ; skipped++ {
		if err := x.readHeader(response); err != nil {
			return err
		}
		x.answer = x.p.dialect.ReadAnswer(&response.Header, x.requestID)
		if err := x.readBody(response); err != nil {
			return err
		}
		if x.answer.Verdict != Foreign {
			return nil
		}
		// A response to an earlier request on this connection arrived late.
		if skipped == maxForeign || x.unframed(response) {
			return exchangeError(ReadingHeader, &ForeignAnswerError{})
		}
		response.Reset()
	}
}

// readHeader reads the header of the next response that is not interim.
func (x *exchange) readHeader(response *fasthttp.Response) error {
	for interim := 0; ; interim++ {
		if err := response.Header.Read(x.conn.reader); err != nil {
			return exchangeError(ReadingHeader, err)
		}
		status := response.StatusCode()
		if status >= fasthttp.StatusOK {
			return nil
		}
		if status == fasthttp.StatusSwitchingProtocols || interim == maxInterim {
			return exchangeError(ReadingHeader, &UnexpectedStatusError{Status: status})
		}
		response.Header.Reset()
	}
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
		return x.readUnframed(response)
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

// readUnframed reads a body up to the end of the connection. An orderly close
// completes it; a reset or a timeout does not.
func (x *exchange) readUnframed(response *fasthttp.Response) error {
	if !x.p.dialect.UnframedBodies {
		return exchangeError(ReadingBody, &UnframedBodyError{})
	}
	limit := int64(x.p.options.MaxResponseBody)
	body, err := io.ReadAll(io.LimitReader(x.conn.reader, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fasthttp.ErrBodyTooLarge
	}
	if err != nil {
		return exchangeError(ReadingBody, err)
	}
	response.SetBodyRaw(body)
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
	retryAt, hedgeAt := now.Add(x.ioDeadline.Sub(now)/time.Duration(max(1, x.attempts-x.writes+1))), x.ioDeadline
	if p, ok := x.attempt.(PatientAttempt); ok && p.Patience() > 0 {
		retryAt = earliest(now.Add(p.Patience()), retryAt)
	}
	mayAbandon := x.writes < x.attempts
	if mayAbandon && x.p.options.HedgeDelay > 0 {
		hedgeAt = now.Add(x.p.options.HedgeDelay)
	}
	for {
		if err := x.conn.SetReadDeadline(earliest(now.Add(x.p.options.PollInterval), hedgeAt, x.wakeAt(mayAbandon, retryAt), x.ioDeadline)); err != nil {
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
			if x.timeLeft() && x.p.Balancer.MayRetry(x.request) {
				x.retryGranted = true
				return exchangeError(AwaitingAnswer, &AttemptTimeoutError{})
			}
		}
	}
}

// wakeAt is the time at which a wait for the response must end for a retry.
func (x *exchange) wakeAt(mayAbandon bool, retryAt time.Time) time.Time {
	if mayAbandon {
		return retryAt
	}
	return x.ioDeadline
}

func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}
