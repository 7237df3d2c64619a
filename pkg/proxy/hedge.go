package proxy

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// hedge writes the request to a second target and returns that exchange. It
// returns nil if the retry budget, the time left or the lack of a usable target
// prevents it; the first attempt then continues alone.
func (x *exchange) hedge(now time.Time) *exchange {
	if !x.hasTimeForRetry() || x.suspicion.Crashes > 0 || !x.p.Balancer.TakeRetry(x.request) {
		return nil
	}
	attempt, err := x.p.Balancer.Acquire(x.request, x.triedTargets)
	if err != nil {
		return nil
	}
	return x.startSecond(attempt, false, now)
}

// startSecond writes the request to the target of a second attempt, a retry or a hedge. It
// returns nil, and the first attempt continues alone, if that fails.
func (x *exchange) startSecond(attempt Attempt, isRetry bool, now time.Time) *exchange {
	x.triedTargets = append(x.triedTargets, attempt.Target())
	// The first response may arrive meanwhile, so connecting is limited to PollInterval.
	conn, err := x.p.pool.get(attempt.Address(), 0, earliest(now.Add(x.p.options.PollInterval), x.ioDeadline))
	if err != nil {
		attempt.Done(NotSent, 0, Load{})
		x.recordAttempt(attempt, NotSent, time.Since(now), "")
		return nil
	}
	if err := x.recheckAdmission(attempt); err != nil {
		x.releaseUnwritten(conn, attempt)
		return nil
	}
	second := &exchange{call: x.call, conn: conn, attempt: attempt, beganAt: x.p.Clock.SinceBoot(), suspicion: x.call.suspicion, isRetry: isRetry}
	if err := second.write(); err != nil {
		second.abort(err)
		return nil
	}
	return second
}

// abort closes the connection of an exchange whose response will not be used,
// and reports its result.
func (x *exchange) abort(err error) {
	x.p.pool.discard(x.conn)
	_ = x.reportFailure(err)
}

// raceResult says that the response to an exchange has begun, or with err that
// the wait for it failed.
type raceResult struct {
	x *exchange
	// status is the status of the response; 0 if it cannot be read.
	status int
	err    error
}

// statusLineBytes is the length of a status line up to the end of the status.
const statusLineBytes = len("HTTP/1.1 200")

// awaitStatus waits for the status of the response.
func (x *exchange) awaitStatus() raceResult {
	err := x.conn.SetReadDeadline(x.ioDeadline)
	if err == nil {
		_, err = x.conn.reader.Peek(1)
	}
	if err != nil {
		return raceResult{x, 0, err}
	}
	line, err := x.conn.reader.Peek(statusLineBytes)
	if err != nil {
		return raceResult{x, 0, nil} // reading the response reports the failure
	}
	status, _ := strconv.Atoi(string(line[statusLineBytes-3:]))
	return raceResult{x, status, nil}
}

// mayBeBeaten reports whether a later response of the other attempt can be better: the target
// rejected the request or failed it, or what it sent is no response.
func (e raceResult) mayBeBeaten() bool {
	return e.status < fasthttp.StatusContinue || e.status >= fasthttp.StatusInternalServerError || e.status == fasthttp.StatusMisdirectedRequest || e.status == fasthttp.StatusTooManyRequests
}

// race waits for the first response from either target and copies the exchange that
// received it into x. A response that a retry may improve on counts only if the other attempt
// brings none. The other connection is closed, which cancels its request.
func (x *exchange) race(second *exchange) error {
	first := *x
	events := make(chan raceResult, 2)
	for _, contender := range []*exchange{&first, second} {
		// The goroutine ends at the deadline or when the connection is closed.
		go func() { events <- contender.awaitStatus() }()
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
			}
			if pending == 1 && e.err == nil && e.mayBeBeaten() {
				held = &e
				continue
			}
			other := second
			if e.x == second {
				other = &first
			}
			switch {
			case held == nil:
			case callerGone:
				held.x.abort(&CallerGoneError{})
			case e.err != nil:
				e.x.abort(e.asExchangeError())
				e = *held
			default:
				held.x.abandonRejected()
			}
			x.conn, x.attempt, x.beganAt, x.suspicion = e.x.conn, e.x.attempt, e.x.beganAt, e.x.suspicion
			if e.err == nil && pending == 1 {
				_ = other.conn.Close()
				<-events
				other.abort(other.lostTo(e.x))
			}
			if e.err == nil || pending == 0 {
				return e.asExchangeError()
			}
			e.x.abort(e.asExchangeError())
		case <-ticker.C:
			if callerGone || peek(x.caller.Conn()) != closedByPeer {
				continue
			}
			callerGone = true
			_, _ = first.conn.Close(), second.conn.Close()
		}
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
	if err := header.Read(x.conn.reader); err == nil {
		x.responseInfo = x.p.dialect.ReadResponseInfo(&header, x.requestID)
		switch x.responseInfo.Verdict {
		case RejectedByTarget:
			result = Shed
		case Misdirected:
			result = Misplaced
		case Final:
			result = ServerError
		}
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
