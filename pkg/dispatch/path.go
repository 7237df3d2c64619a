package dispatch

import "time"

const (
	// BusyFor is how long an instance also asks for idempotent requests after
	// the dispatcher said that the service is busy.
	BusyFor = 250 * time.Millisecond
	// Slack is the time beyond the usual round trip that a request waits for
	// the dispatcher's answer.
	Slack = 2 * time.Millisecond
	// maxUsual bounds the round trip that counts as usual. A dispatcher that
	// is farther away is not worth its wait.
	maxUsual     = 4 * time.Millisecond
	initialUsual = 2 * time.Millisecond
	usualWeight  = 0.1
	// After a late or missing answer the dispatcher is not asked for firstPause,
	// and twice as long after each further one, up to maxPause. The first pause
	// is short because a single late answer is mostly a scheduling delay.
	firstPause = 25 * time.Millisecond
	maxPause   = 2 * time.Second
	// silentAfter late or missing answers in a row make a dispatcher silent, so
	// that the next evaluator stands in. A single one is no reason to split the
	// counts over two dispatchers.
	silentAfter = 2
	// declinedPause follows the answer of an instance that does not dispatch.
	declinedPause = 250 * time.Millisecond
)

// Path is what an instance knows of the way to one dispatcher. It is not safe
// for concurrent use.
type Path struct {
	usual      time.Duration
	failures   int
	pauseUntil time.Duration
	// probing is set while one request after a pause finds out whether the
	// dispatcher answers again.
	probing bool
}

// Ask returns how long a request may wait for an answer now. It returns false
// when the dispatcher must not be asked. Answered or Failed must follow.
func (p *Path) Ask(now time.Duration) (time.Duration, bool) {
	switch {
	case p.Paused(now):
		return 0, false
	case p.failures > 0:
		p.probing = true
	}
	if p.usual == 0 {
		p.usual = initialUsual
	}
	return p.usual + Slack, true
}

// Paused tells whether the dispatcher is not asked now.
func (p *Path) Paused(now time.Duration) bool { return now < p.pauseUntil || p.probing }

// Silent tells whether another instance may stand in for the dispatcher.
func (p *Path) Silent() bool { return p.failures >= silentAfter }

// Declined records that the instance does not dispatch the service.
func (p *Path) Declined(now time.Duration) { p.pauseUntil = now + declinedPause }

// Answered records an answer in time, or one that came late, with its round trip.
func (p *Path) Answered(roundTrip time.Duration, inTime bool) {
	if p.usual == 0 {
		p.usual = initialUsual
	}
	p.usual += time.Duration(usualWeight * float64(min(roundTrip, maxUsual)-p.usual))
	if inTime {
		p.failures, p.pauseUntil, p.probing = 0, 0, false
	}
}

// Failed records that no answer came in time or that the call failed.
func (p *Path) Failed(now time.Duration) {
	p.failures++
	p.probing = false
	pause := firstPause << min(p.failures-1, 10)
	p.pauseUntil = now + min(pause, maxPause)
}
