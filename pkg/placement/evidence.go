package placement

import (
	"math"
	"time"
)

// Evidence is kept as the natural logarithm of the odds that a target fails a
// large part of its requests. The figures assume that one target in twenty
// begins to do so within a few seconds and then fails about 60% of its requests,
// while a sound one fails about 1.2%. docs/decisions/placement.md has the
// measurements.
const (
	priorOdds = -3.0 // ln(0.05/0.95)
	maxOdds   = 3.0
	// failureOdds is ln(0.6/0.012), lowered because failures also come alone.
	failureOdds = 3.5
	// successOdds lies between ln(0.4/0.988) and ln(0.1/0.988), for targets that
	// fail 60% and 90% of their requests.
	successOdds = -1.4
	// shedOdds weighs an answer "full" from a target that was not known to be.
	shedOdds = 1.2
	// suspectOdds is the odds from which a target is tried with idempotent
	// requests; below it, its cost is close to that of others.
	suspectOdds = -2.2
	// oddsLife is the time constant with which evidence fades. Failures last 5 to
	// 20 s, but with 8 or 20 s sound targets with a single failure stay unused so
	// long that the others queue (docs/experiments.md).
	oddsLife = 4 * time.Second
	// failureShare is the part of its requests that a failing target fails.
	failureShare = 0.6
)

const (
	// slownessWeight is the weight of one latency in a target's slowness.
	slownessWeight = 0.25
	// slownessLife is the time constant with which slowness fades without requests.
	slownessLife = 4 * time.Second
	// maxSlowness bounds the logarithm of the latency ratio: twelve times as slow.
	maxSlowness = 2.5
)

// evidence is what speaks for and against one target.
type evidence struct {
	odds     float64
	slowness float64
	updated  time.Duration
}

func newEvidence(now time.Duration) evidence { return evidence{odds: priorOdds, updated: now} }

// fade moves evidence towards the prior as time passes.
func (e *evidence) fade(now time.Duration) {
	elapsed := now - e.updated
	if elapsed <= 0 {
		return
	}
	e.odds = priorOdds + (e.odds-priorOdds)*math.Exp(-float64(elapsed)/float64(oddsLife))
	e.slowness *= math.Exp(-float64(elapsed) / float64(slownessLife))
	e.updated = now
}

func (e *evidence) add(odds float64, now time.Duration) {
	e.fade(now)
	e.odds = min(max(e.odds+odds, priorOdds), maxOdds)
}

// observe takes the ratio of a latency to the usual one.
func (e *evidence) observe(ratio float64, now time.Duration) {
	e.fade(now)
	sample := min(max(math.Log(max(ratio, 0.05)), -1), maxSlowness)
	e.slowness += slownessWeight * (sample - e.slowness)
}

// failing is the probability that the next request fails.
func (e *evidence) failing() float64 {
	return failureShare / (1 + math.Exp(-e.odds))
}

// pace is the factor by which the target is slower than its peers.
func (e *evidence) pace() float64 { return math.Exp(min(max(e.slowness, -0.7), maxSlowness)) }
