package proxy

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// minRetryTime is the minimum time left before the deadline for a retry to be
// worth its cost.
const minRetryTime = 5 * time.Millisecond

// forward sends the request to one target after the other until one responds or
// no further attempt is permitted.
func (c *call) forward() error {
	for connects := 0; ; {
		attempt, err := c.acquire()
		if err != nil {
			return asRefusal(err, refusal.NoTarget)
		}
		c.current = attempt
		c.triedTargets = append(c.triedTargets, attempt.Target())
		if c.firstAttemptAt == 0 {
			c.firstAttemptAt = c.p.Clock.SinceBoot()
		}
		began := c.p.Clock.SinceBoot()
		conn, err := c.p.pool.get(attempt.Address(), c.maxIdleForNextWrite(), c.ioDeadline)
		if err != nil {
			attempt.Done(NotSent, 0, Load{})
			c.recordAttempt(attempt, NotSent, c.p.Clock.SinceBoot()-began, "")
			connects++
			if connects >= c.p.options.MaxConnectAttempts || !c.hasTimeForRetry() {
				return refusal.New(refusal.ConnectFailed, err)
			}
			continue
		}
		if err := c.checkCallerConnected(); err != nil {
			c.releaseUnwritten(conn, attempt)
			return refusal.New(refusal.TargetFailed, err)
		}
		if err := c.recheckAdmission(attempt); err != nil {
			c.releaseUnwritten(conn, attempt)
			var withdrawn *TargetWithdrawnError
			if errors.As(err, &withdrawn) && c.hasTimeForRetry() {
				continue
			}
			return asRefusal(err, refusal.NoTarget)
		}
		last, err := (&exchange{call: c, conn: conn, attempt: attempt, suspicion: c.suspicion}).run()
		if err == nil {
			return nil
		}
		if !last.retryGranted && !c.mayTryAnotherTarget(last, err) {
			return err
		}
		c.caller.Response.Reset()
	}
}

// acquire returns the target of the next attempt.
func (c *call) acquire() (Attempt, error) {
	if next := c.takeNext(); next != nil {
		return next, nil
	}
	return c.p.Balancer.Acquire(c.request, c.triedTargets)
}

// acquireNext reports whether a retry would find a target, and takes it if the balancer
// can tell. A request is not given up at a slow target for one that does not exist.
func (c *call) acquireNext() bool {
	balancer, ok := c.p.Balancer.(ImmediateBalancer)
	if !ok {
		return true
	}
	c.nextAttempt = balancer.AcquireNow(c.request, c.triedTargets)
	return c.nextAttempt != nil
}

// takeNext returns what acquireNext took, or nil.
func (c *call) takeNext() Attempt {
	next := c.nextAttempt
	c.nextAttempt = nil
	return next
}

// releaseNext gives back what acquireNext took.
func (c *call) releaseNext() {
	if next := c.takeNext(); next != nil {
		next.Done(Canceled, 0, Load{})
	}
}

// maxIdleForNextWrite is the longest idle time of a connection that the next write
// may use. Only the first write of an idempotent request may reuse any pooled connection: a
// retry must not use another connection that became unresponsive together with
// the first.
func (c *call) maxIdleForNextWrite() time.Duration {
	switch {
	case c.writeCount > 0:
		return 0
	case !c.request.Idempotent:
		return c.p.options.NonIdempotentMaxIdle
	default:
		return c.p.options.IdleTimeout
	}
}

// releaseUnwritten ends an attempt whose request was not written and returns the
// connection to the pool.
func (c *call) releaseUnwritten(conn *targetConn, attempt Attempt) {
	c.p.pool.put(conn)
	attempt.Done(Canceled, 0, Load{})
}

// checkCallerConnected fails if the caller has closed its connection while the
// request waited. It saves the system call for a request that has taken less
// than PollInterval so far.
func (c *call) checkCallerConnected() error {
	if c.p.Clock.SinceBoot()-c.startedAt < c.p.options.PollInterval {
		return nil
	}
	if peek(c.caller.Conn()) == closedByPeer {
		return errors.WithStack(&CallerGoneError{})
	}
	return nil
}

// hasTimeForRetry reports whether the deadline leaves enough time for a retry.
func (c *call) hasTimeForRetry() bool { return time.Until(c.ioDeadline) > minRetryTime }

// mayTryAnotherTarget reports whether the request may be sent to another target
// after x failed with err, and spends one retry of the budget if so.
func (c *call) mayTryAnotherTarget(x *exchange, err error) bool {
	if !x.provenNotRun {
		return x.mayRetryAfterLoss() && c.takeRetry(err)
	}
	limit := c.maxAttempts
	if !c.request.Idempotent {
		limit = 1 + c.maxRedirects
	}
	return c.writeCount < limit && c.hasTimeForRetry() && c.p.Balancer.TakeRetry(c.request)
}

// takeRetry reports whether an idempotent request may have another attempt after
// one that failed with err, and spends one retry of the budget if so.
func (c *call) takeRetry(err error) bool {
	var gone *CallerGoneError
	if !c.request.Idempotent || c.writeCount >= c.maxAttempts || !c.hasTimeForRetry() || errors.As(err, &gone) {
		return false
	}
	return c.p.Balancer.TakeRetry(c.request)
}

// exchange is the write of a request to one connection and the read of its response.
type exchange struct {
	*call
	conn    *targetConn
	attempt Attempt
	// retryGranted is set when the exchange was abandoned for a retry that has
	// been taken from the budget already.
	retryGranted bool
	// isRetry says that this attempt runs beside an earlier one that took too long.
	isRetry bool
	// isFirst says that this is the first attempt that wrote to a target. hedgeAfter is the
	// age that it had reached when this attempt, a hedge, was sent; 0 for others.
	isFirst    bool
	hedgeAfter time.Duration
	// pendingHedge delivers the target of a hedge; nil if none was asked for.
	pendingHedge <-chan Attempt
	// suspicion is what was known of the request before the write. loss is the check of
	// a target that lost its connection; nil otherwise.
	suspicion quarantine.Suspicion
	loss      *lossCheck
	// provenNotRun is set when the target proved that it did not run the request.
	provenNotRun bool
	// beganAt is the start of the write, as time since boot.
	beganAt time.Duration
	// responseInfo is what the header of the response says.
	responseInfo ResponseInfo
	// rest is what is left of the body of a large response after held, the part in
	// memory, which releaseHeld gives back. Without rest, the response is complete.
	rest        io.Reader
	held        []byte
	releaseHeld func()
	// bodyBytes is the size of the body as far as it was read.
	bodyBytes int64
	// result is reported when the response is complete. ended says that the exchange
	// makes the connection unusable, closing that the target closes it.
	result         Result
	ended, closing bool
}

// run performs the exchange and returns the one that ended it, which is another one if a second
// attempt has come before it.
func (x *exchange) run() (last *exchange, err error) {
	x.beganAt, x.isFirst = x.p.Clock.SinceBoot(), x.writeCount == 0
	if err := x.write(); err != nil {
		return x, x.fail(err)
	}
	last, err = x.awaitResponse()
	if err != nil {
		return last, last.fail(err)
	}
	return last, last.receive()
}

// fail ends an exchange without a usable response and returns the refusal for it.
func (x *exchange) fail(err error) error {
	x.p.pool.discard(x.conn)
	return x.reportFailure(err)
}

// receive reads the response and reports the result to the balancer. It returns
// the connection to the pool only if the exchange was complete and the
// connection can be used again; otherwise it closes it. A large response is not
// complete yet; responseStream ends its exchange.
func (x *exchange) receive() error {
	if err := x.read(); err != nil {
		return x.fail(err)
	}
	response := &x.caller.Response
	x.ended = x.closeDelimited(response) || x.unreadByTarget()
	x.closing = response.Header.ConnectionClose() || x.responseInfo.Load.Draining
	if x.rest == nil {
		x.releaseConn()
	}
	return x.handleResponse(response)
}

// unreadByTarget reports whether the target responded before it had received the whole
// request. The next request on the connection would wait behind the unread rest.
func (x *exchange) unreadByTarget() bool {
	return len(x.caller.Request.Body()) > maxInlineBodyBytes && hasUnsentData(x.conn.Conn)
}

// releaseConn returns the connection of a complete exchange to the pool, or closes it.
func (x *exchange) releaseConn() {
	switch {
	case x.ended:
		x.p.pool.discard(x.conn)
	case x.closing || x.conn.reader.Buffered() > 0:
		x.p.pool.retire(x.conn)
	default:
		x.p.pool.put(x.conn)
	}
}

// handleResponse makes a response the caller's response, or returns the reason why it
// must not be passed on.
func (x *exchange) handleResponse(response *fasthttp.Response) error {
	switch x.responseInfo.Verdict {
	case RejectedByTarget, Misdirected:
		return x.handleNotRun()
	case Unusable:
		x.reportResult(Broken)
		return refusal.New(refusal.TargetFailed, &UnusableResponseError{Status: response.StatusCode()})
	}
	x.result = Answered
	if response.StatusCode() >= fasthttp.StatusInternalServerError {
		x.result, x.request.Previous = ServerError, ServerError
		if x.p.dialect.RetryServerErrors && x.takeRetry(nil) {
			x.abandonRest()
			x.reportResult(x.result)
			x.retryGranted = true
			return refusal.New(refusal.TargetFailed, &UnusableResponseError{Status: response.StatusCode()})
		}
	}
	if x.rest != nil {
		x.stream(response)
		return nil
	}
	x.reportResult(x.result)
	x.p.cleanResponse(response, x.requestID)
	return nil
}

// abandonRest ends an exchange whose response has not been read whole, if so.
func (x *exchange) abandonRest() {
	if x.rest != nil {
		x.releaseHeld()
		x.p.pool.discard(x.conn)
	}
}

// cleanResponse makes the header of a target's response one for the caller.
func (p *Proxy) cleanResponse(response *fasthttp.Response, requestID string) {
	p.dialect.cleanResponse(&response.Header)
	response.Header.SetNoDefaultContentType(true)
	response.Header.Del(p.dialect.RequestIDHeader) // Set would replace only the first of several lines.
	response.Header.Set(p.dialect.RequestIDHeader, requestID)
}

// recordNotRun notes that the target says that it did not run the request. Only a dialect with
// ProvenNotRun takes this as a proof. It says nothing of other attempts.
func (x *exchange) recordNotRun() {
	if x.p.dialect.ProvenNotRun {
		x.provenNotRun = true
		x.call.provenNotRunCount++
	}
}

// handleNotRun ends an exchange whose target says that it did not run the
// request, and returns the refusal for it.
func (x *exchange) handleNotRun() error {
	x.recordNotRun()
	if x.responseInfo.Verdict == Misdirected {
		x.reportResult(Misplaced)
		return refusal.New(refusal.NoTarget, nil)
	}
	x.reportResult(Shed)
	if x.provenNotRun {
		return refusal.New(refusal.Overloaded, nil)
	}
	return refusal.New(refusal.TargetShed, nil)
}

// closeDelimited reports whether the end of the connection marked the end of the
// response's body.
func (x *exchange) closeDelimited(response *fasthttp.Response) bool {
	return response.Header.ContentLength() == http1.ContentLengthIdentity && !response.SkipBody
}

// reportFailure reports the result of a failed exchange and returns the refusal for it.
func (x *exchange) reportFailure(err error) error {
	var timeout interface{ Timeout() bool }
	var gone *CallerGoneError
	var failed *ExchangeError
	switch {
	case errors.As(err, &gone):
		x.reportResult(Canceled)
	case errors.As(err, &timeout) && timeout.Timeout():
		x.reportResult(TimedOut)
		return refusal.New(refusal.TargetTimeout, err)
	default:
		x.reportResult(Broken)
		if connectionLost(err) {
			x.observeLoss()
		}
		if !x.logIfMalformed(err) && errors.As(err, &failed) && failed.Stage == ReadingBody {
			event.AnswerIncomplete.Log(x.p.Log).Str("request_id", x.requestID).
				Str("target", x.attempt.Target()).AnErr("cause", err).Send()
		}
	}
	return refusal.New(refusal.TargetFailed, err)
}

// logIfMalformed logs err and returns true if it says that the target's answer is no HTTP.
func (x *exchange) logIfMalformed(err error) bool {
	var malformed *http1.SyntaxError
	if !errors.As(err, &malformed) {
		return false
	}
	event.AnswerMalformed.Log(x.p.Log).Str("request_id", x.requestID).
		Str("target", x.attempt.Target()).AnErr("cause", err).Send()
	return true
}

// reportResult passes the result of the exchange to the balancer, the request's
// record and the Reporter.
func (x *exchange) reportResult(result Result) {
	if a, ok := x.attempt.(AttemptWithSize); ok && result == Answered {
		a.ObserveSize(x.bodyBytes)
	}
	if result == Answered && x.suspicion.Crashes > 0 && x.caller.Response.StatusCode() < fasthttp.StatusBadRequest {
		x.p.Quarantine.RecordSuccess(x.requestDigest(), x.suspicion)
	}
	latency := x.p.Clock.SinceBoot() - x.beganAt
	x.request.Previous = result
	x.attempt.Done(result, latency, x.responseInfo.Load)
	x.recordAttempt(x.attempt, result, latency, x.conn.via())
	x.attemptRecords[len(x.attemptRecords)-1].HedgeAfter = x.hedgeAfter
	if result == Answered {
		x.observeForHedges(latency)
	}
	if x.p.Reporter != nil {
		x.p.Reporter.Report(x.request.Service, result, latency)
	}
}

// recordAttempt adds an attempt to the request's record.
func (c *call) recordAttempt(a Attempt, result Result, latency time.Duration, via string) {
	record := AttemptRecord{Target: a.Target(), Result: result, Latency: latency, Via: via}
	if r, ok := a.(AttemptWithReason); ok && c.p.Recorder != nil {
		record.Reason = r.Reason()
	}
	c.attemptRecords = append(c.attemptRecords, record)
}
