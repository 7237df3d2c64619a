package proxy

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
)

const (
	// maxInlineBodyBytes is the largest body that is copied behind the header and
	// written with it in one system call; a larger one is written separately.
	maxInlineBodyBytes = 8 << 10
	// maxMismatchedResponses bounds the late responses to other requests that one
	// exchange skips.
	maxMismatchedResponses = 2
)

// write sends the request. The request counts as written even if the kernel
// reports that it accepted no byte, so that a refusal never says "not run"
// about a request that may have run.
func (x *exchange) write() error {
	if err := x.conn.SetDeadline(x.ioDeadline); err != nil {
		return newExchangeError(Writing, err)
	}
	remainingMS := max(1, (x.request.Deadline - x.beganAt).Milliseconds())
	x.sendBuffer = x.p.dialect.appendAttemptHeaders(append(x.sendBuffer[:0], x.commonHeader...), x.attempt.Target(), remainingMS)
	body := x.caller.Request.Body()
	x.writeCount++
	x.conn.beginRequest(len(x.sendBuffer) + len(body))
	if len(body) <= maxInlineBodyBytes {
		x.sendBuffer = append(x.sendBuffer, body...)
		return x.send(x.sendBuffer)
	}
	if err := x.send(x.sendBuffer); err != nil || x.conn.unwritten > len(body) {
		return err
	}
	return x.send(body)
}

// send writes data. A target may respond before it has read the whole request
// and then stop reading, so send checks for a response, and for a disconnected
// caller, whenever the write has not completed within PollInterval. If a response
// has begun, it leaves the rest of the data unwritten.
func (x *exchange) send(data []byte) error {
	for {
		if err := x.conn.SetWriteDeadline(earliest(time.Now().Add(x.p.options.PollInterval), x.ioDeadline)); err != nil {
			return newExchangeError(Writing, err)
		}
		n, err := x.conn.Write(data)
		if err == nil {
			return nil
		}
		var timeout net.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !x.hasTimeForRetry() {
			return newExchangeError(Writing, err)
		}
		data = data[n:]
		if peek(x.conn.Conn) == dataReceived {
			return nil
		}
		if peek(x.caller.Conn()) == closedByPeer {
			return newExchangeError(Writing, &CallerGoneError{})
		}
	}
}

// newExchangeError returns an ExchangeError with a stack trace.
func newExchangeError(stage Stage, cause error) error {
	return errors.WithStack(&ExchangeError{Stage: stage, Cause: cause})
}

// read reads one complete response into the caller's response.
func (x *exchange) read() error {
	if err := x.conn.SetReadDeadline(x.ioDeadline); err != nil {
		return newExchangeError(AwaitingResponse, err)
	}
	response := &x.caller.Response
	for skippedCount := 0; ; skippedCount++ {
		if err := http1.ReadFinalHead(x.conn.reader, &response.Header); err != nil {
			return newExchangeError(ReadingHeader, err)
		}
		x.responseInfo = x.p.dialect.ReadResponseInfo(&response.Header, x.requestID)
		if err := x.readBody(response); err != nil {
			return err
		}
		if x.responseInfo.Verdict != Mismatched {
			return nil
		}
		// This is the late response to an earlier request on the connection.
		if skippedCount == maxMismatchedResponses || x.closeDelimited(response) {
			return newExchangeError(ReadingHeader, &MismatchedResponseError{})
		}
		response.Reset()
	}
}

// awaitResponse waits for the first byte of the response, and returns the exchange that goes on:
// this one, or a second one that brought a better response or failed last. fasthttp does not report
// that a caller has disconnected, so the caller's connection is checked every
// PollInterval; a response within the first interval costs no extra system call.
// It also starts a hedge, and at the time for a retry a second attempt beside this one: a
// request may take long because of its own size, and would take as long elsewhere. If there
// is no target that can take a second attempt at once, it fails with AttemptTimeoutError.
func (x *exchange) awaitResponse() (*exchange, error) {
	next, err := x.awaitFirstByte()
	x.releaseHedge()
	return next, err
}

// awaitFirstByte is awaitResponse without the release of a hedge's target that came too late.
func (x *exchange) awaitFirstByte() (*exchange, error) {
	now := time.Now()
	// TakeRetry is called at most once. The retry comes when the time left, divided equally among this attempt and the
	// remaining ones, or the balancer's timeout has passed.
	retryAt, hedgeAt := now.Add(x.ioDeadline.Sub(now)/time.Duration(max(1, x.maxAttempts-x.writeCount+1))), x.ioDeadline
	if p, ok := x.attempt.(AttemptWithRetryDelay); ok && p.RetryDelay() > 0 {
		retryAt = earliest(now.Add(p.RetryDelay()), retryAt)
	}
	mayStartAttempt := x.writeCount < x.maxAttempts
	if delay := x.hedgeDelay(retryAt.Sub(now)); mayStartAttempt && delay > 0 {
		hedgeAt = now.Add(delay)
	}
	for {
		if err := x.conn.SetReadDeadline(earliest(now.Add(x.pollInterval()), hedgeAt, x.retryWaitEnd(mayStartAttempt, retryAt), x.ioDeadline)); err != nil {
			return x, newExchangeError(AwaitingResponse, err)
		}
		_, err := x.conn.reader.Peek(1)
		if err == nil {
			return x, nil
		}
		var timeout net.Error
		now = time.Now()
		if !errors.As(err, &timeout) || !timeout.Timeout() || !now.Before(x.ioDeadline) ||
			x.p.Clock.SinceBoot() >= x.request.Deadline {
			return x, newExchangeError(AwaitingResponse, err)
		}
		if peek(x.caller.Conn()) == closedByPeer {
			return x, newExchangeError(AwaitingResponse, &CallerGoneError{})
		}
		if mayStartAttempt && !now.Before(hedgeAt) {
			hedgeAt = x.ioDeadline
			x.askForHedge()
		}
		if second := x.startHedge(now); second != nil {
			winner, err := x.race(second)
			var failed *HedgeFailedError
			if !errors.As(err, &failed) {
				return winner, err
			}
			now = time.Now()
			mayStartAttempt = x.writeCount < x.maxAttempts
		}
		if mayStartAttempt && !now.Before(retryAt) {
			if x.hasTimeForRetry() && !x.acquireNext() {
				retryAt = now.Add(x.p.options.PollInterval)
				continue
			}
			mayStartAttempt = false
			switch {
			case !x.hasTimeForRetry() || !x.p.Balancer.TakeRetry(x.request):
				x.releaseNext()
			case x.nextAttempt == nil || x.suspicion.Crashes > 0:
				// The next target may have to be waited for, or the request may crash targets.
				x.retryGranted = true
				return x, newExchangeError(AwaitingResponse, &AttemptTimeoutError{})
			default:
				if second := x.startSecond(x.takeNext(), true, now); second != nil {
					return x.race(second)
				}
			}
		}
	}
}

// retryWaitEnd is the time until which a wait for the response may last: up to a
// retry if one may start, otherwise up to the deadline.
func (x *exchange) retryWaitEnd(mayStartAttempt bool, retryAt time.Time) time.Time {
	if mayStartAttempt {
		return retryAt
	}
	return x.ioDeadline
}

// earliest returns the earliest of the given times.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, t := range others {
		if t.Before(first) {
			first = t
		}
	}
	return first
}
