package balance

import (
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// reportedLoadTTL is the age from which the load in a verdict is ignored. Its
	// weight decreases linearly until then.
	reportedLoadTTL = time.Second
	// excessLoadRatio is the ratio of a target's load per slot to the median of the
	// service's targets up to which the reported load is ignored. Smaller
	// differences change faster than reports arrive; if they counted, all
	// instances would move to the same targets.
	excessLoadRatio = 1.5
	// slowStartTime is the time in which a new, returned or cold target reaches its
	// full weight. The weight starts at slowStartInitialWeight.
	slowStartTime          = 10 * time.Second
	slowStartInitialWeight = 0.1
	// maxColdWeight is the maximum weight of a target that reports to be cold.
	maxColdWeight = 0.5
	// shedRecoveryTime is the time after a shed response in which the target's weight
	// recovers from weightAfterShed to 1.
	shedRecoveryTime = time.Second
	weightAfterShed  = 0.25
	// trialIntervalPerSlot is the time between trial requests of all instances
	// together to a target with one slot: 5 requests per second and slot.
	trialIntervalPerSlot = 200 * time.Millisecond
)

// available reports whether the target takes requests other than trials.
func (t *target) available(now time.Duration, tried []string) bool {
	switch t.standing.State {
	case peerpb.TargetState_TARGET_STATE_EJECTED, peerpb.TargetState_TARGET_STATE_TRIAL,
		peerpb.TargetState_TARGET_STATE_DRAINING:
		return false
	default:
		return !t.leaving && !t.evacuated && !t.observed.Draining(now) && !slices.Contains(tried, t.name)
	}
}

// choose returns the less loaded of two random available targets, or nil. The
// number counts the available targets without a free connection.
func (s *service) choose(now time.Duration, tried []string) (*target, int) {
	s.candidates = s.candidates[:0]
	full := 0
	for _, t := range s.targets {
		switch {
		case !t.available(now, tried):
		case t.inFlight >= t.connectionLimit:
			full++
		default:
			s.candidates = append(s.candidates, t)
		}
	}
	n := len(s.candidates)
	switch n {
	case 0:
		return nil, full
	case 1:
		return s.candidates[0], full
	}
	i := s.random.IntN(n)
	j := s.random.IntN(n - 1)
	if j >= i {
		j++
	}
	return s.lessLoaded(now, s.candidates[i], s.candidates[j]), full
}

// lessLoaded returns the target with the lower score. Between equal scores it
// prefers the one in this instance's zone.
func (s *service) lessLoaded(now time.Duration, a, b *target) *target {
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

// score is the expected load per slot with one more request, divided by the
// weight. It includes the excess load, which fades with the age of the report.
func (t *target) score(now time.Duration) float64 {
	load := float64(t.inFlight)
	if age := now - t.standing.LoadAt; age < reportedLoadTTL {
		load += t.excessLoad * (1 - float64(age)/float64(reportedLoadTTL))
	}
	return (load + 1) / (float64(t.slots) * t.weight(now))
}

// weight is the fraction of its normal load that the target gets now. It is below
// 1 after the target's return, while it is cold, and after a shed response.
func (t *target) weight(now time.Duration) float64 {
	weight := 1.0
	if age := now - t.standing.Since; t.standing.Warming && age < slowStartTime {
		weight = slowStartInitialWeight + (1-slowStartInitialWeight)*float64(age)/float64(slowStartTime)
	}
	if t.standing.State == peerpb.TargetState_TARGET_STATE_COLD {
		weight = min(weight, maxColdWeight)
	}
	if age := now - t.shedAt; t.everShed && age < shedRecoveryTime {
		weight *= weightAfterShed + (1-weightAfterShed)*float64(age)/float64(shedRecoveryTime)
	}
	return weight
}

// trialTarget returns a target on trial that may take this request, or nil.
// Only first attempts of idempotent requests are trials. An instance has at most
// one trial open per target, and the instances together stay within the rate of
// trialIntervalPerSlot.
func (s *service) trialTarget(now time.Duration, r proxy.Request, tried []string) *target {
	if !r.Idempotent || len(tried) > 0 {
		return nil
	}
	for _, t := range s.targets {
		if t.standing.State != peerpb.TargetState_TARGET_STATE_TRIAL || t.leaving || t.evacuated || t.observed.Draining(now) {
			continue
		}
		interval := trialIntervalPerSlot * time.Duration(s.members) / time.Duration(max(t.slots, 1))
		if !t.nextTrialSet {
			// A random phase prevents simultaneous trials of all instances.
			t.nextTrialSet = true
			t.nextTrial = now + time.Duration(s.random.Int64N(int64(interval)+1))
		}
		if t.openTrials > 0 || t.inFlight >= t.connectionLimit || now < t.nextTrial {
			continue
		}
		t.openTrials++
		t.nextTrial = now + interval
		return t
	}
	return nil
}
