package dispatch

import "time"

const (
	// BusyFor is how long an instance asks the dispatcher for idempotent requests
	// too, after a reply said that the service is busy.
	BusyFor = 250 * time.Millisecond
	// AnswerSlack is the time beyond the typical round trip for which a request
	// waits for the dispatcher's answer.
	AnswerSlack = 2 * time.Millisecond
	// maxTypicalRoundTrip bounds the typical round trip. Waiting longer for a slower
	// dispatcher would cost more time than its answer saves.
	maxTypicalRoundTrip     = 4 * time.Millisecond
	initialTypicalRoundTrip = 2 * time.Millisecond
	roundTripSmoothing      = 0.1
	// After a late or missing answer the dispatcher is not asked for firstPause.
	// The pause doubles with each further one, up to maxPause. The first pause is
	// short because a single late answer is mostly due to a scheduling delay.
	firstPause = 25 * time.Millisecond
	maxPause   = 2 * time.Second
	// unresponsiveAfter is the number of consecutive late or missing answers from
	// which a dispatcher counts as unresponsive, so that the next evaluator stands
	// in. It is above 1 because a stand-in splits the counts over two dispatchers.
	unresponsiveAfter = 2
	// declinedPause is the pause after an answer that the instance is not the
	// dispatcher of the service.
	declinedPause = 250 * time.Millisecond
)

// Breaker is a circuit breaker for the calls to one dispatcher and measures their
// round trip. It is not safe for concurrent use.
type Breaker struct {
	typicalRoundTrip time.Duration
	failures         int
	pauseUntil       time.Duration
	// probing is set while a single request after a pause tests whether the
	// dispatcher answers again; no other request is sent meanwhile.
	probing bool
}

// Allow returns how long a request that asks now waits for an answer. It returns
// false if the dispatcher must not be asked. If it returns true, the call must
// end with Answered or Failed.
func (p *Breaker) Allow(now time.Duration) (time.Duration, bool) {
	switch {
	case p.Paused(now):
		return 0, false
	case p.failures > 0:
		p.probing = true
	}
	if p.typicalRoundTrip == 0 {
		p.typicalRoundTrip = initialTypicalRoundTrip
	}
	return p.typicalRoundTrip + AnswerSlack, true
}

// Paused reports whether the dispatcher must not be asked now.
func (p *Breaker) Paused(now time.Duration) bool { return now < p.pauseUntil || p.probing }

// Unresponsive reports whether the dispatcher is unresponsive, so that another instance
// may stand in for it.
func (p *Breaker) Unresponsive() bool { return p.failures >= unresponsiveAfter }

// Declined records the answer that the instance is not the service's dispatcher.
func (p *Breaker) Declined(now time.Duration) { p.pauseUntil = now + declinedPause }

// Answered records the round trip of an answer. Only one in time ends the pause
// and resets the failures.
func (p *Breaker) Answered(roundTrip time.Duration, inTime bool) {
	if p.typicalRoundTrip == 0 {
		p.typicalRoundTrip = initialTypicalRoundTrip
	}
	p.typicalRoundTrip += time.Duration(roundTripSmoothing * float64(min(roundTrip, maxTypicalRoundTrip)-p.typicalRoundTrip))
	if inTime {
		p.failures, p.pauseUntil, p.probing = 0, 0, false
	}
}

// Failed records that no answer came in time or that the call failed.
func (p *Breaker) Failed(now time.Duration) {
	p.failures++
	p.probing = false
	pause := firstPause << min(p.failures-1, 10)
	p.pauseUntil = now + min(pause, maxPause)
}
