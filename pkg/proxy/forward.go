package proxy

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// minRetryTime is the time that must be left for a retry to be worth its cost.
const minRetryTime = 5 * time.Millisecond

// forward sends the request to targets until one answers or no further
// attempt is permitted.
func (c *call) forward() error {
	for connects := 0; ; {
		attempt, err := c.p.Balancer.Acquire(c.request, c.tried)
		if err != nil {
			return asRefusal(err, refusal.NoTarget)
		}
		c.tried = append(c.tried, attempt.Target())
		if c.placed == 0 {
			c.placed = c.p.Clock.SinceBoot()
		}
		conn, err := c.p.pool.get(attempt.Address(), c.maxIdle(), c.ioDeadline)
		if err != nil {
			attempt.Done(NotSent, 0, Load{})
			connects++
			if connects >= c.p.options.MaxConnects || !c.timeLeft() {
				return refusal.New(refusal.ConnectFailed, err)
			}
			continue
		}
		if err := c.callerPresent(); err != nil {
			c.giveUp(conn, attempt)
			return refusal.New(refusal.TargetFailed, err)
		}
		if err := c.recheck(); err != nil {
			c.giveUp(conn, attempt)
			return err
		}
		x := exchange{call: c, conn: conn, attempt: attempt}
		err = x.run()
		if err == nil {
			return nil
		}
		if !x.retryGranted && !c.mayGoOn(&x, err) {
			return err
		}
		c.caller.Response.Reset()
	}
}

// maxIdle is the longest idle time of a connection for the next write. Only
// the first write of an idempotent request reuses connections freely: a retry
// must not meet another connection that went silent together with the first.
func (c *call) maxIdle() time.Duration {
	switch {
	case c.writes > 0:
		return 0
	case !c.request.Idempotent:
		return c.p.options.NonIdempotentReuse
	default:
		return c.p.options.IdleTimeout
	}
}

// giveUp returns an attempt to which nothing was written.
func (c *call) giveUp(conn *targetConn, attempt Attempt) {
	c.p.pool.put(conn)
	attempt.Done(Canceled, 0, Load{})
}

// callerPresent fails when a request that waited before its write has lost its
// caller. A request that did not wait skips the system call.
func (c *call) callerPresent() error {
	if c.p.Clock.SinceBoot()-c.started < c.p.options.PollInterval {
		return nil
	}
	if peek(c.caller.Conn()) == closedByPeer {
		return errors.WithStack(&CallerGoneError{})
	}
	return nil
}

func (c *call) timeLeft() bool { return time.Until(c.ioDeadline) > minRetryTime }

// mayGoOn decides whether another target may get the request after x.
func (c *call) mayGoOn(x *exchange, err error) bool {
	if !x.notRun {
		return c.mayRetry(err)
	}
	limit := c.attempts
	if !c.request.Idempotent {
		limit = 1 + c.redirects
	}
	return c.writes < limit && c.timeLeft() && c.p.Balancer.MayRetry(c.request)
}

// mayRetry decides on another attempt after a failed one and spends the budget.
func (c *call) mayRetry(err error) bool {
	var gone *CallerGoneError
	if !c.request.Idempotent || c.writes >= c.attempts || !c.timeLeft() || errors.As(err, &gone) {
		return false
	}
	return c.p.Balancer.MayRetry(c.request)
}

// exchange is one request written to one connection and its response.
type exchange struct {
	*call
	conn    *targetConn
	attempt Attempt
	// retryGranted is set when the exchange was given up and the budget paid.
	retryGranted bool
	// ranBefore is call.mayHaveRun before this exchange wrote.
	ranBefore bool
	// notRun is set when the target proved that it did not run the request.
	notRun bool
	// halfWritten is set when the response began before the request was written.
	halfWritten bool
	began       time.Duration
	answer      Answer
}

// run performs the exchange. It closes the connection unless the exchange was
// complete, and reports to the balancer.
func (x *exchange) run() error {
	x.began = x.p.Clock.SinceBoot()
	err := x.write()
	if err == nil {
		err = x.read()
	}
	response := &x.caller.Response
	switch {
	case err != nil:
		x.p.pool.discard(x.conn)
		return x.fail(err)
	case x.halfWritten || x.unframed(response):
		x.p.pool.discard(x.conn)
	case x.conn.reader.Buffered() > 0 || response.Header.ConnectionClose():
		x.p.pool.retire(x.conn)
	default:
		x.p.pool.put(x.conn)
	}
	return x.conclude(response)
}

// conclude takes a complete response as the result of the request, or returns
// the reason why it is none.
func (x *exchange) conclude(response *fasthttp.Response) error {
	switch x.answer.Verdict {
	case Refused, Misdirected:
		return x.concludeNotRun()
	case Unusable:
		x.done(Broken)
		return refusal.New(refusal.TargetFailed, &UnusableAnswerError{Status: response.StatusCode()})
	}
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		x.done(ServerError)
		if x.p.dialect.RetryServerErrors && x.mayRetry(nil) {
			x.retryGranted = true
			return refusal.New(refusal.TargetFailed, &UnusableAnswerError{Status: response.StatusCode()})
		}
	} else {
		x.done(Answered)
	}
	x.p.dialect.cleanResponse(&response.Header)
	response.Header.SetNoDefaultContentType(true)
	response.Header.Set(x.p.dialect.RequestIDHeader, x.requestID)
	return nil
}

// concludeNotRun ends an exchange whose target did not run the request.
func (x *exchange) concludeNotRun() error {
	if x.p.dialect.ProvenNotRun {
		x.notRun, x.mayHaveRun = true, x.ranBefore
		x.call.notRun++
	}
	if x.answer.Verdict == Misdirected {
		x.done(Misplaced)
		return refusal.New(refusal.NoTarget, nil)
	}
	x.done(Shed)
	if x.notRun {
		return refusal.New(refusal.Overloaded, nil)
	}
	return refusal.New(refusal.TargetShed, nil)
}

// unframed tells whether the end of the connection ended the response's body.
func (x *exchange) unframed(response *fasthttp.Response) bool {
	return response.Header.ContentLength() == contentLengthIdentity && !response.SkipBody
}

// fail reports a failed exchange and returns the refusal for it.
func (x *exchange) fail(err error) error {
	var timeout interface{ Timeout() bool }
	var gone *CallerGoneError
	var failed *ExchangeError
	switch {
	case errors.As(err, &gone):
		x.done(Canceled)
	case errors.As(err, &timeout) && timeout.Timeout():
		x.done(TimedOut)
		return refusal.New(refusal.TargetTimeout, err)
	default:
		x.done(Broken)
		if errors.As(err, &failed) && failed.Stage == ReadingBody {
			event.AnswerIncomplete.Log(x.p.Log).Str("request_id", x.requestID).
				Str("target", x.attempt.Target()).AnErr("cause", err).Send()
		}
	}
	return refusal.New(refusal.TargetFailed, err)
}

func (x *exchange) done(result Result) {
	latency := x.p.Clock.SinceBoot() - x.began
	x.attempt.Done(result, latency, x.answer.Load)
	step := Trail{Target: x.attempt.Target(), Result: result, Latency: latency}
	if r, ok := x.attempt.(ReasonedAttempt); ok && x.p.Recorder != nil {
		step.Reason = r.Reason()
	}
	x.trail = append(x.trail, step)
	if x.p.Reporter != nil {
		x.p.Reporter.Report(x.request.Service, result, latency)
	}
}
