package placement

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
)

const (
	// otherLoadDecay is a quarter of the time in which the reported load by other
	// callers fades linearly to zero: about the duration of one request.
	otherLoadDecay = 150 * time.Millisecond
	// unreachableBackoff is how long a target gets no requests after a connection to
	// it failed. It doubles with each further failure up to maxUnreachableBackoff.
	unreachableBackoff    = 400 * time.Millisecond
	maxUnreachableBackoff = 3 * time.Second
	// misplacedBackoff is how long a target gets no requests after another target
	// answered at its address; a listing corrects the address meanwhile.
	misplacedBackoff = 3 * time.Second
	// fullAfterShed is how long a target counts as full after it shed a request.
	fullAfterShed = 60 * time.Millisecond
	// trialInterval is the minimum time between a target's last trial or result and
	// its next trial by an idempotent request. A doubtful target whose last result was
	// a good response gets the next trial at once.
	trialInterval = 600 * time.Millisecond
	// newTargetTrialDelay is how long the trial of a new target is reserved for an
	// idempotent request. After it, any request is sent as the trial.
	newTargetTrialDelay = 1500 * time.Millisecond
	// stallFactor times the typical latency is the age from which a request without
	// a response counts as stalled, which makes its target more expensive to choose.
	stallFactor = 3.0
	// warmupSlowdown is the minimum slowdown assumed of a target that has just started.
	warmupSlowdown = 1.6
	// minSurvivalAge is the age from which an open request is evidence that its target
	// does not fail: failures came within 10 ms (2349 of 2600 in scenario quiet-1 of
	// the enlarged Skyline deployment). From maxSurvivalAge on, it no longer is.
	minSurvivalAge = 25 * time.Millisecond
	maxSurvivalAge = 400 * time.Millisecond
	// failingSurvivalRatio is the fraction of its requests that a failing target keeps
	// open for minSurvivalAge: those that it answers, and half of the others, which it
	// may keep without an answer.
	failingSurvivalRatio = 0.3
)

// target is the state of one target at this instance. The mutex of its
// service guards it.
type target struct {
	entry *discovery.Entry
	// evacuations is that of the balancer.
	evacuations Evacuations
	// own is the evidence from this instance's requests.
	own evidence
	// peer is the strongest evidence against the target that other instances reported.
	peer evidence
	// listedAt is the time since boot from which this instance knows the target,
	// lastResultAt that of the last result of this instance's requests to it.
	listedAt, lastResultAt time.Duration
	// unlistedAt is the time since boot at which the target left the catalogue.
	unlistedAt time.Duration
	// lastUsedAt is the time since boot at which this instance's last request to it
	// began.
	lastUsedAt time.Duration
	// lastReportAt is the time since boot at which another instance last reported
	// evidence on it.
	lastReportAt time.Duration
	// lastAnswered says that the last result was a good response.
	lastAnswered bool
	// failedProb is the failure probability right after the last failure that this or
	// another instance saw, or 0 after a good result. failedAt is the time since boot
	// at which this instance learned of that failure.
	failedProb float64
	failedAt   time.Duration

	// openStarts holds the start times of this instance's open requests to the target,
	// oldest first.
	openStarts []time.Duration
	// otherLoad is the number of requests by other callers at otherLoadAt (time since
	// boot), from the load that the target reported.
	otherLoad   float64
	otherLoadAt time.Duration
	// lastLoad is the number of requests that the target last reported, at loadAt (time
	// since boot).
	lastLoad int
	loadAt   time.Duration

	// limit is the request rate that the target accepts.
	limit rateLimit
	// cold tells whether the target is cold, and what this instance may send it then.
	cold coldLimit
	// leaving records that the target says that it leaves.
	leaving leaving
	// pausedUntil is the time since boot up to which the target wants no requests from this
	// instance.
	pausedUntil time.Duration
	// reach tells which instances of the zone cannot connect to the target.
	reach reachability

	// blockedUntil is the time since boot up to which the target gets no requests.
	blockedUntil time.Duration
	// failedDials counts the consecutive failures to connect.
	failedDials int
	// fullUntil is the time since boot up to which the target counts as full.
	fullUntil   time.Duration
	lastTrialAt time.Duration
	// preferred says that the target is assigned to this instance, sameZone that it
	// is in this instance's zone.
	preferred bool
	sameZone  bool
}

// trialDue reports whether a request should be sent to the target as a trial,
// because too little is known of it.
func (t *target) trialDue(idempotent bool, now time.Duration) bool {
	if !idempotent {
		return t.neverUsed() && now-t.listedAt >= newTargetTrialDelay
	}
	failProb := t.failProb(now)
	if t.lastAnswered && failProb >= doubtThreshold {
		return true
	}
	return failProb >= trialThreshold && now-max(t.lastTrialAt, t.lastResultAt) >= trialInterval
}

// neverUsed reports whether no instance is known to have used the target.
func (t *target) neverUsed() bool {
	return max(t.lastResultAt, t.lastReportAt, t.lastTrialAt) < t.listedAt
}

// newTarget returns the state of a target without any result. The times of an hour
// before boot stand for "never".
func newTarget(entry *discovery.Entry, now time.Duration) *target {
	return &target{entry: entry, own: newEvidence(now), peer: newPeerEvidence(now), listedAt: now, lastResultAt: -time.Hour, lastReportAt: -time.Hour, lastUsedAt: -time.Hour, lastTrialAt: -trialInterval, loadAt: -time.Hour}
}

// failProb returns the probability that the target fails a large fraction of its
// requests. A request that has been open for long enough lowers this instance's own
// estimate, but not that of the peers.
func (t *target) failProb(now time.Duration) float64 {
	t.own.decay(now)
	t.peer.decay(now)
	own := t.own.failProb
	if began, ok := t.survivingRequest(now); ok {
		own = min(own, decayTowards(posterior(t.own.failProb, failingSurvivalRatio, 1), failProbPrior, now-began))
	}
	return max(own, t.peer.failProb)
}

// survivingRequest returns the start of the newest open request that has reached
// minSurvivalAge, which requests at failing targets mostly do not. ok is false if
// there is none or it has reached maxSurvivalAge.
func (t *target) survivingRequest(now time.Duration) (began time.Duration, ok bool) {
	for i := len(t.openStarts) - 1; i >= 0; i-- {
		if age := now - t.openStarts[i]; age >= minSurvivalAge {
			return t.openStarts[i], age < maxSurvivalAge
		}
	}
	return 0, false
}

// slowdown returns the factor by which the target is slower than its peers.
func (t *target) slowdown(now time.Duration) float64 {
	slowdown := max(t.own.slowdown(), t.peer.slowdown())
	if t.own.slowness < 0 && t.peer.slowness <= 0 {
		slowdown = t.own.slowdown()
	}
	if now < t.entry.WarmUntil {
		slowdown = max(slowdown, warmupSlowdown)
	}
	return slowdown
}

// load returns the number of requests at the target, by this instance and others.
func (t *target) load(now time.Duration) float64 {
	load := float64(len(t.openStarts))
	if age := now - t.otherLoadAt; t.otherLoad > 0 && age < 4*otherLoadDecay {
		load += t.otherLoad * (1 - float64(age)/float64(4*otherLoadDecay))
	}
	return load
}

// stalled reports whether the oldest open request waits much longer than the
// typical latency.
func (t *target) stalled(now, typicalLatency time.Duration) bool {
	return len(t.openStarts) > 0 && typicalLatency > 0 && float64(now-t.openStarts[0]) > stallFactor*float64(typicalLatency)
}

// addOpen records a request that starts now.
func (t *target) addOpen(now time.Duration) {
	t.openStarts = append(t.openStarts, now)
	t.lastUsedAt = now
	t.limit.spend(now)
	t.cold.spend(now)
}

// removeOpen removes an open request that started at the given time.
func (t *target) removeOpen(started time.Duration) {
	for i, s := range t.openStarts {
		if s == started {
			t.openStarts = append(t.openStarts[:i], t.openStarts[i+1:]...)
			return
		}
	}
}
