package placement

import (
	"math"
	"time"
)

// Assumptions about targets in general; docs/decisions/placement.md has the
// measurements behind the figures.
const (
	// failProbPrior is the failure probability of a target without recent results.
	failProbPrior = 0.25
	// failProbDecay is the time constant with which a failure probability decays
	// towards its prior, since targets begin and cease to fail.
	failProbDecay = 10 * time.Second
	// minFailProb is the lower bound of the failure probability, so that the first
	// failure after many successes counts: it is then as likely that the target has
	// begun to fail.
	minFailProb = 0.01
	// failingFailureRatio and healthyFailureRatio are the fractions of their requests
	// that failing and healthy targets fail.
	failingFailureRatio = 0.85
	healthyFailureRatio = 0.012
	// failingShedRatio over healthyShedRatio is the likelihood ratio of a shed request
	// from a target that was not known to be full.
	failingShedRatio = 0.5
	healthyShedRatio = 0.15
	// suspectThreshold is the probability from which a target is logged as suspected:
	// a healthy target reaches it by one failure.
	suspectThreshold = 0.35
)

const (
	// slownessWeight is the weight of one latency in a target's slowness.
	slownessWeight = 0.25
	// slownessDecay is the time constant with which slowness decays to 0 without
	// requests.
	slownessDecay = 4 * time.Second
	// maxSlowness is the upper bound of slowness: twelve times the typical latency.
	maxSlowness = 2.5
)

// evidence is what is known of one target, from this instance's results or from the
// reports of other instances, as of updatedAt (time since boot).
type evidence struct {
	// failProb is the probability that the target fails a large fraction of its
	// requests.
	failProb float64
	// slowness is the natural logarithm of the target's latency over the service's
	// typical latency.
	slowness  float64
	updatedAt time.Duration
	// prior is the value towards which failProb decays.
	prior float64
}

// newEvidence returns this instance's evidence on a target without any result.
func newEvidence(now time.Duration) evidence {
	return evidence{failProb: failProbPrior, prior: failProbPrior, updatedAt: now}
}

// newPeerEvidence returns the evidence from other instances on a target of which none
// has reported anything. It decays to a failure probability of 0.
func newPeerEvidence(now time.Duration) evidence { return evidence{updatedAt: now} }

// decay updates the evidence to now.
func (e *evidence) decay(now time.Duration) {
	elapsed := now - e.updatedAt
	if elapsed <= 0 {
		return
	}
	e.failProb = decayTowards(e.failProb, e.prior, elapsed)
	e.slowness *= math.Exp(-float64(elapsed) / float64(slownessDecay))
	e.updatedAt = now
}

// decayTowards returns a failure probability after some time without results.
func decayTowards(failProb, prior float64, elapsed time.Duration) float64 {
	return prior + (failProb-prior)*math.Exp(-float64(elapsed)/float64(failProbDecay))
}

// posterior returns the failure probability, by Bayes' rule, after an event that
// occurs with the given probabilities at failing and at healthy targets.
func posterior(failProb, ifFailing, ifHealthy float64) float64 {
	return failProb * ifFailing / (failProb*ifFailing + (1-failProb)*ifHealthy)
}

// afterFailure and afterSuccess return the failure probability after one result.
func afterFailure(failProb float64) float64 {
	return posterior(failProb, failingFailureRatio, healthyFailureRatio)
}

func afterSuccess(failProb float64) float64 {
	return posterior(failProb, 1-failingFailureRatio, 1-healthyFailureRatio)
}

// addFailure applies a failed request.
func (e *evidence) addFailure(now time.Duration) {
	e.decay(now)
	e.failProb = afterFailure(e.failProb)
}

// addSuccess applies a good response to a request that began at the given time. The
// response is evidence on the target's state at that time, not now, since failing
// targets answer at once.
func (e *evidence) addSuccess(began, now time.Duration) {
	e.decay(now)
	e.failProb = decayTowards(max(afterSuccess(e.failProb), minFailProb), e.prior, now-began)
}

// addShed applies a shed request at a target that was not known to be full.
func (e *evidence) addShed(now time.Duration) {
	e.decay(now)
	e.failProb = posterior(e.failProb, failingShedRatio, healthyShedRatio)
}

// observeLatency updates the slowness with the ratio of a latency to the typical one.
func (e *evidence) observeLatency(ratio float64, now time.Duration) {
	e.decay(now)
	sample := min(max(math.Log(max(ratio, 0.05)), -1), maxSlowness)
	e.slowness += slownessWeight * (sample - e.slowness)
}

// excessFailProb returns the probability that a target fails the next request, beyond
// the failures of healthy targets.
func excessFailProb(failProb float64) float64 {
	return failProb * (failingFailureRatio - healthyFailureRatio)
}

// slowdown returns the factor by which the target is slower than its peers.
func (e *evidence) slowdown() float64 { return math.Exp(min(max(e.slowness, -0.7), maxSlowness)) }
