package proxy

import (
	"bufio"
	"bytes"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
)

// raceResult says that the response to an exchange has begun, or with err that
// the wait for it failed.
type raceResult struct {
	x *exchange
	// status is the status of the response; 0 if it cannot be read or is malformed.
	status int
	err    error
}

// awaitStatus waits for the status of the response up to the deadline of the connection.
func (x *exchange) awaitStatus() raceResult {
	if _, err := x.conn.reader.Peek(1); err != nil {
		return raceResult{x, 0, err}
	}
	return raceResult{x, x.peekStatus(), nil}
}

// peekStatus returns the status of the response as far as it is buffered. It returns 0 if there is
// none or the head is malformed; reading the response reports why.
func (x *exchange) peekStatus() int {
	status, err := http1.PeekHead(x.conn.reader)
	if err != nil {
		return 0
	}
	return status
}

// awaitSmallBody waits for the whole response if its length is known and it fits into the
// buffer of the connection. A larger one wins a race when it begins, because reading it takes the
// memory of the response.
func (x *exchange) awaitSmallBody() error {
	reader := x.conn.reader
	for {
		buffered, _ := reader.Peek(reader.Buffered())
		length, known := x.responseLength(buffered)
		switch {
		case length > reader.Size() || (!known && len(buffered) == reader.Size()):
			return nil
		case !known:
			length = len(buffered) + 1
		}
		if _, err := reader.Peek(length); err != nil || known {
			return err
		}
	}
}

// responseLength returns the length of the response that begins with data. known is false while
// its header is incomplete; those of interim responses before it count as a part of it. If only
// the end of the connection tells the length, or several parts do, it is that of the header.
func (x *exchange) responseLength(data []byte) (length int, known bool) {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, false
	}
	length = end + len("\r\n\r\n")
	var header fasthttp.ResponseHeader
	if err := http1.ReadHead(bufio.NewReaderSize(bytes.NewReader(data[:length]), length), &header); err != nil {
		return length, true // reading the response reports the failure
	}
	switch status := header.StatusCode(); {
	case status < fasthttp.StatusOK && status != fasthttp.StatusSwitchingProtocols:
		rest, known := x.responseLength(data[length:])
		return length + rest, known
	case !x.caller.IsHead() && status != fasthttp.StatusNoContent && status != fasthttp.StatusNotModified:
		length += max(0, header.ContentLength())
	}
	return length, true
}

// isResponse reports whether a response has begun that is not malformed so far.
func (e raceResult) isResponse() bool { return e.err == nil && e.status != 0 }

// mayBeBeaten reports whether a later response of the other attempt can be better: the target
// rejected the request or failed it, or what it sent is no response.
func (e raceResult) mayBeBeaten() bool {
	return e.status < fasthttp.StatusContinue || e.status >= fasthttp.StatusInternalServerError || e.status == fasthttp.StatusMisdirectedRequest || e.status == fasthttp.StatusTooManyRequests
}

// race waits for the first response to x or second and returns the exchange that
// received it, or with an error the one that failed last. A response that a retry may improve
// on counts only if the other attempt brings none. The other connection is closed, which cancels
// its request. With HedgeFailedError, x goes on alone.
func (x *exchange) race(second *exchange) (winner *exchange, err error) {
	events := make(chan raceResult, 2)
	for _, contender := range []*exchange{x, second} {
		// The goroutine ends at the deadline or when the connection is closed. stopWaiting changes
		// the deadline, so the goroutine must not set it.
		_ = contender.conn.SetReadDeadline(x.ioDeadline)
		go func() {
			e := contender.awaitStatus()
			if e.isResponse() && second.hedgeAfter > 0 {
				e.err = contender.awaitSmallBody()
				e.status = contender.peekStatus()
			}
			events <- e
		}()
	}
	ticker := time.NewTicker(x.p.options.PollInterval)
	defer ticker.Stop()
	// held is a response that waits for a better one.
	var held *raceResult
	pending, callerGone := 2, false
	for {
		select {
		case e := <-events:
			pending--
			if callerGone {
				e.err = &CallerGoneError{}
			} else if e.x == second && second.hedgeAfter > 0 && pending == 1 && (e.err != nil || e.mayBeBeaten()) {
				e.end()
				second.endHedge(false, second)
				if e = x.stopWaiting(events); isTimeout(e.err) && time.Now().Before(x.ioDeadline) {
					return x, &HedgeFailedError{}
				}
				return x, e.asExchangeError()
			}
			if pending == 1 && e.err == nil && e.mayBeBeaten() {
				held = &e
				continue
			}
			switch {
			case held == nil:
			case callerGone:
				held.x.abort(&CallerGoneError{})
			case !e.isResponse():
				e.end()
				e = *held
			default:
				held.x.abandonRejected()
			}
			other := second
			if e.x == second {
				other = x
			}
			if e.err == nil && pending == 1 {
				_ = other.conn.Close()
				<-events
				second.endHedge(e.x == second, other)
				other.observeLost(e.x)
				other.abort(other.lostTo(e.x))
			}
			if pending == 0 {
				second.endHedge(e.err == nil && e.x == second, other)
			}
			if e.err == nil || pending == 0 {
				return e.x, e.asExchangeError()
			}
			e.x.abort(e.asExchangeError())
		case <-ticker.C:
			if callerGone || peek(x.caller.Conn()) != closedByPeer {
				continue
			}
			callerGone = true
			_, _ = x.conn.Close(), second.conn.Close()
		}
	}
}

// end ends the exchange of a response that is not passed on.
func (e raceResult) end() {
	if e.err != nil {
		e.x.abort(e.asExchangeError())
		return
	}
	e.x.abandonRejected()
}

// stopWaiting ends the wait for the status of the response. The result may have come before.
func (x *exchange) stopWaiting(events <-chan raceResult) raceResult {
	_ = x.conn.SetReadDeadline(time.Now())
	return <-events
}

// endHedge reports the end of this attempt if it is a hedge. unused is the attempt whose
// response is not used.
func (x *exchange) endHedge(won bool, unused *exchange) {
	if x.hedgeAfter > 0 {
		x.p.Hedger.HedgeEnded(x.request, won, x.p.Clock.SinceBoot()-unused.beganAt)
	}
}

// observeLost records how long the attempt had taken when another one responded. If that was
// a hedge, which is sent earlier than a retry, this tells how slow the target is, but is no
// failure.
func (x *exchange) observeLost(winner *exchange) {
	age := x.p.Clock.SinceBoot() - x.beganAt
	if x.isFirst {
		x.canceledFirstAge = age
	}
	if a, ok := x.attempt.(AttemptWithAge); ok && winner.hedgeAfter > 0 {
		a.ObserveSlow(age)
	}
}

// lostTo returns why an exchange ends whose request another target answered first. If that
// was a retry and took less than half as long, this is evidence that the first target is slow.
func (x *exchange) lostTo(winner *exchange) error {
	if now := x.p.Clock.SinceBoot(); winner.isRetry && now-x.beganAt > 2*(now-winner.beganAt) {
		return newExchangeError(AwaitingResponse, &AttemptTimeoutError{})
	}
	return &CallerGoneError{}
}

// abandonRejected ends an exchange whose response is not passed on because the other attempt
// brought a better one, and reports what the response says of the target.
func (x *exchange) abandonRejected() {
	var header fasthttp.ResponseHeader
	result := Broken
	if err := http1.ReadFinalHead(x.conn.reader, &header); err == nil {
		x.responseInfo = x.p.dialect.ReadResponseInfo(&header, x.requestID)
		switch x.responseInfo.Verdict {
		case RejectedByTarget:
			result = Shed
			x.recordNotRun()
		case Misdirected:
			result = Misplaced
			x.recordNotRun()
		case Final:
			result = ServerError
		}
	} else {
		x.logIfMalformed(err)
	}
	x.p.pool.discard(x.conn)
	x.reportResult(result)
}

// asExchangeError returns err as an ExchangeError of the wait for a response.
func (e raceResult) asExchangeError() error {
	if e.err == nil {
		return nil
	}
	return newExchangeError(AwaitingResponse, e.err)
}
