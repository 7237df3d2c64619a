package proxy

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// hedgeConnectTimeout bounds connecting for a hedge, during which a response of the first
	// attempt has to wait. Connecting takes 1 ms.
	hedgeConnectTimeout = 25 * time.Millisecond
	// hedgePollInterval is the time between checks whether a hedge has got its target, from
	// balancers that may make it wait.
	hedgePollInterval = 5 * time.Millisecond
)

// HedgeFailedError says that a hedge ended without a response that can be used, and that the
// first attempt goes on.
type HedgeFailedError struct{}

func (e *HedgeFailedError) Error() string { return "the hedge failed; the first attempt goes on" }

// hedgeDelay returns the age of this attempt at which a hedge is due, or 0. Only the first
// attempt is hedged, and no request that is suspected of crashing targets.
func (x *exchange) hedgeDelay(retryIn time.Duration) time.Duration {
	if x.p.Hedger == nil || !x.request.Idempotent || !x.isFirst || x.suspicion.Crashes > 0 {
		return 0
	}
	return x.p.Hedger.HedgeDelay(x.request, retryIn, time.Until(x.ioDeadline))
}

// askForHedge asks for the target of a hedge.
func (x *exchange) askForHedge() {
	if x.hasTimeForRetry() {
		// The Hedger may still use the list when this request has gone on to other targets.
		x.pendingHedge = x.p.Hedger.StartHedge(x.request, slices.Clone(x.triedTargets), x.p.Clock.SinceBoot()-x.beganAt, time.Until(x.ioDeadline))
	}
}

// pollInterval is the longest wait for the first attempt's response until something else is
// checked.
func (x *exchange) pollInterval() time.Duration {
	if x.pendingHedge != nil {
		return min(hedgePollInterval, x.p.options.PollInterval)
	}
	return x.p.options.PollInterval
}

// startHedge writes the request to the target of a hedge if one has been got. It returns nil
// if not, or if that fails; the first attempt then continues alone.
func (x *exchange) startHedge(now time.Time) *exchange {
	if x.pendingHedge == nil {
		return nil
	}
	var attempt Attempt
	select {
	case attempt = <-x.pendingHedge:
	default:
		return nil
	}
	x.pendingHedge = nil
	if attempt == nil {
		return nil
	}
	if x.writeCount >= x.maxAttempts || slices.Contains(x.triedTargets, attempt.Target()) {
		attempt.Done(Canceled, 0, Load{})
		return nil
	}
	second := x.startSecond(attempt, false, now)
	if second == nil {
		x.p.Hedger.HedgeEnded(x.request, false, 0)
	}
	return second
}

// releaseHedge ends the attempt of a hedge whose target comes after the end of the wait.
func (x *exchange) releaseHedge() {
	pending := x.pendingHedge
	if pending == nil {
		return
	}
	x.pendingHedge = nil
	go func() {
		if attempt := <-pending; attempt != nil {
			attempt.Done(Canceled, 0, Load{})
		}
	}()
}

// observeForHedges reports the latency of a first attempt, which is that of this one or of the
// one that was canceled for it.
func (x *exchange) observeForHedges(latency time.Duration) {
	if x.p.Hedger == nil || !x.request.Idempotent {
		return
	}
	switch {
	case x.canceledFirstAge > 0:
		x.p.Hedger.ObserveFirst(x.request, x.canceledFirstAge, x.bodyBytes, true)
	case x.isFirst:
		x.p.Hedger.ObserveFirst(x.request, latency, x.bodyBytes, false)
	}
}

// startSecond writes the request to the target of a second attempt, a retry or a hedge. It
// returns nil, and the first attempt continues alone, if that fails.
func (x *exchange) startSecond(attempt Attempt, isRetry bool, now time.Time) *exchange {
	x.triedTargets = append(x.triedTargets, attempt.Target())
	// The first response may arrive meanwhile, so the time for connecting is short.
	connectTime, hedgeAfter := x.p.options.PollInterval, time.Duration(0)
	if !isRetry {
		connectTime, hedgeAfter = min(connectTime, hedgeConnectTimeout), x.p.Clock.SinceBoot()-x.beganAt
	}
	conn, err := x.p.pool.get(attempt.Address(), 0, earliest(now.Add(connectTime), x.ioDeadline))
	if err != nil {
		result := NotSent
		if !isRetry && isTimeout(err) {
			result = Canceled // hedgeConnectTimeout is too short to be evidence against the target
		}
		attempt.Done(result, 0, Load{})
		x.recordAttempt(attempt, result, time.Since(now), "")
		x.attemptRecords[len(x.attemptRecords)-1].HedgeAfter = hedgeAfter
		return nil
	}
	if err := x.recheckAdmission(attempt); err != nil || (!isRetry && x.call.suspicion.Crashes > 0) {
		x.releaseUnwritten(conn, attempt)
		return nil
	}
	second := &exchange{call: x.call, conn: conn, attempt: attempt, beganAt: x.p.Clock.SinceBoot(), suspicion: x.call.suspicion, isRetry: isRetry, hedgeAfter: hedgeAfter}
	if err := second.write(); err != nil {
		second.abort(err)
		return nil
	}
	return second
}

// isTimeout reports whether an operation took too long.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// abort closes the connection of an exchange whose response will not be used,
// and reports its result.
func (x *exchange) abort(err error) {
	_ = x.fail(err)
}
