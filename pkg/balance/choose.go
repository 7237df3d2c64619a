package balance

import (
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// sharedLoadLife is the age at which the load from a verdict counts nothing.
	sharedLoadLife = time.Second
	// excessFrom times the median load per slot is the load up to which targets
	// count as equally loaded. Smaller differences come and go faster than
	// reports travel; with them, all instances move to the same targets.
	excessFrom = 1.5
	// slowStart is the time in which a cold or returned target reaches full weight.
	slowStart     = 10 * time.Second
	slowStartFrom = 0.1
	// coldWeight bounds the weight of a target that says it is cold.
	coldWeight = 0.5
	// shedPenalty is the time after a shed answer in which the weight recovers
	// from shedWeight to 1.
	shedPenalty = time.Second
	shedWeight  = 0.25
	// trialSpacing is the time between trial requests of all instances
	// together, per slot of the target: 5 requests a second per slot.
	trialSpacing = 200 * time.Millisecond
)

// available tells whether the target takes ordinary work.
func (t *target) available(now time.Duration, tried []string) bool {
	switch t.standing.State {
	case peerpb.TargetState_TARGET_STATE_EJECTED, peerpb.TargetState_TARGET_STATE_TRIAL,
		peerpb.TargetState_TARGET_STATE_DRAINING:
		return false
	default:
		return !t.leaving && !t.observed.Draining(now) && !slices.Contains(tried, t.name)
	}
}

// choose returns the less loaded of two random available targets, or nil and
// the number of targets that lack only a connection.
func (s *service) choose(now time.Duration, tried []string) (*target, int) {
	s.scratch = s.scratch[:0]
	full := 0
	for _, t := range s.targets {
		switch {
		case !t.available(now, tried):
		case t.inFlight >= t.connections:
			full++
		default:
			s.scratch = append(s.scratch, t)
		}
	}
	n := len(s.scratch)
	switch n {
	case 0:
		return nil, full
	case 1:
		return s.scratch[0], full
	}
	i := s.random.IntN(n)
	j := s.random.IntN(n - 1)
	if j >= i {
		j++
	}
	return s.better(now, s.scratch[i], s.scratch[j]), full
}

// better prefers the lower load, and the own zone only between equal loads.
func (s *service) better(now time.Duration, a, b *target) *target {
	x, y := a.score(now), b.score(now)
	switch {
	case x < y:
		return a
	case y < x:
		return b
	case a.zone != s.zone && b.zone == s.zone:
		return b
	default:
		return a
	}
}

// score is the expected load per usable slot with one more request.
func (t *target) score(now time.Duration) float64 {
	load := float64(t.inFlight)
	if age := now - t.standing.LoadAt; age < sharedLoadLife {
		load += t.excess * (1 - float64(age)/float64(sharedLoadLife))
	}
	return (load + 1) / (float64(t.slots) * t.weight(now))
}

func (t *target) weight(now time.Duration) float64 {
	weight := 1.0
	if age := now - t.standing.Since; t.standing.Warming && age < slowStart {
		weight = slowStartFrom + (1-slowStartFrom)*float64(age)/float64(slowStart)
	}
	if t.standing.State == peerpb.TargetState_TARGET_STATE_COLD {
		weight = min(weight, coldWeight)
	}
	if age := now - t.shedAt; t.everShed && age < shedPenalty {
		weight *= shedWeight + (1-shedWeight)*float64(age)/float64(shedPenalty)
	}
	return weight
}

// trialTarget returns a target on trial that may take this request, or nil.
// Only first attempts of idempotent requests try a target, at most one at a
// time over this instance, and all instances together stay within trialSpacing.
func (s *service) trialTarget(now time.Duration, r proxy.Request, tried []string) *target {
	if !r.Idempotent || len(tried) > 0 {
		return nil
	}
	for _, t := range s.targets {
		if t.standing.State != peerpb.TargetState_TARGET_STATE_TRIAL || t.leaving || t.observed.Draining(now) {
			continue
		}
		interval := trialSpacing * time.Duration(s.members) / time.Duration(max(t.slots, 1))
		if !t.trialSet {
			// A random phase keeps the instances from trying at the same time.
			t.trialSet = true
			t.trialNext = now + time.Duration(s.random.Int64N(int64(interval)+1))
		}
		if t.trialOpen > 0 || t.inFlight >= t.connections || now < t.trialNext {
			continue
		}
		t.trialOpen++
		t.trialNext = now + interval
		return t
	}
	return nil
}
