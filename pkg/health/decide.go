package health

import (
	"slices"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// minPeerRequests is the number of requests in the window that a target
	// needs to be included in the statistics of its peers.
	minPeerRequests = 5
	// minSlowAnswers is the minimum number of answers for a latency comparison.
	minSlowAnswers = 20
	// minSlowMeanLog2 is the minimum mean log2 latency in ms for a latency
	// comparison. Below about 8 ms the histogram and the network dominate.
	minSlowMeanLog2 = 3.0
	// minLog2Deviation is the minimum standard deviation of log2 latencies that
	// slowScore assumes.
	minLog2Deviation = 0.8
	// coldGrace is the time after the last cold signal in which a target
	// that warms up is not ejected as slow. It covers the balancers' slow start.
	coldGrace = 20 * time.Second
	// maxUnqueuedLoadPerSlot is the average load per slot up to which requests
	// hardly wait for a slot. With 1.0, targets with a random queue were ejected.
	maxUnqueuedLoadPerSlot = 0.75
	// busyThroughputRatio is the ratio of a target's throughput per slot to the
	// median of its peers from which a target with high latency and a queue
	// counts as busy instead of slow.
	busyThroughputRatio = 0.7
)

// peerStats summarizes the peers of a target: the other active targets of the
// same service.
type peerStats struct {
	// comparableCount is the number of peers with at least minPeerRequests
	// requests; the failure ratios are taken over these.
	comparableCount int
	// failureRatio is the median failure ratio.
	failureRatio float64
	// highFailureRatio is the 80th percentile of the failure ratios. In a growing
	// overload the targets start to fail at different times; compared with the
	// median, the first of them would look faulty.
	highFailureRatio float64
	// latencyCount is the number of peers with at least minPeerRequests answers;
	// the latency and the throughput are taken over these.
	latencyCount int
	// meanLatencyLog2 is the median of the mean log2 latencies in ms.
	meanLatencyLog2 float64
	// answersPerSlot is the median throughput: answers per slot in the window.
	answersPerSlot float64
}

// evaluate updates the state of every configured target from the reports and
// probe results received so far.
func (s *serviceHealth) evaluate(now time.Duration, svc config.Service) {
	s.evaluatedAt = now
	s.dropOutdated(now, svc)
	p := s.profile(svc)
	names := make([]string, 0, len(svc.Targets))
	for name := range svc.Targets {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := s.target(name, now)
		t.updateLoadAverage(now)
		t.slots, t.evacuated = svc.Targets[name].Slots, svc.Targets[name].Evacuated
		s.applySelfReport(name, t, now, svc.Targets[name].OutOfUse())
	}
	s.restoreFloor(now, svc)
	recent := s.sumWindows(names, now, p.Window)
	long := s.sumWindows(names, now, longWindow)
	slow := s.sumWindows(names, now, p.SlowWindow)
	var suspects []string
	for _, name := range names {
		t := s.targets[name]
		switch t.state {
		case active, cold:
			if s.updateSuspicion(name, t, now, p, recent, long, slow) {
				suspects = append(suspects, name)
			} else {
				t.floorHeld = false
			}
		case ejected:
			if now-t.since >= t.backOff() && !t.probe.failing(now) {
				s.setState(name, t, trial, now)
			}
		case trial:
			s.judgeTrial(name, t, now, p, slow)
		}
	}
	s.ejectSuspects(suspects, now, svc)
}

// applySelfReport sets the state that the configuration or the target itself
// announces: draining, cold, or active again.
func (s *serviceHealth) applySelfReport(name string, t *targetHealth, now time.Duration, outOfUse bool) {
	switch {
	case outOfUse || t.isDraining(now):
		s.setState(name, t, draining, now)
	case t.probe.cold && !ejectedOrTrial(t.state):
		s.setState(name, t, cold, now)
	case t.state == draining || t.state == cold && !t.probe.cold:
		s.setState(name, t, active, now)
	}
}

// restoreFloor makes ejected targets active again when other targets have
// dropped out, so that ejections never keep the service below its floor. The
// least severe ejections end first, and among them the oldest.
func (s *serviceHealth) restoreFloor(now time.Duration, svc config.Service) {
	released := targetsToRestore(svc, s.state, func(a, b string) bool {
		x, y := s.targets[a], s.targets[b]
		if x.cause != y.cause {
			return x.cause < y.cause
		}
		if x.since != y.since {
			return x.since < y.since
		}
		return a < b
	})
	for _, name := range released {
		t := s.targets[name]
		s.setState(name, t, active, now)
		s.recordFloorHeld(name, t)
	}
}

// recordFloorHeld logs, once until the condition ends, that the floor keeps a faulty
// target in use.
func (s *serviceHealth) recordFloorHeld(name string, t *targetHealth) {
	if !t.floorHeld {
		t.floorHeld = true
		event.FloorHeld.Log(s.log).Str("service", s.name).Str("target", name).Stringer("cause", t.cause).Send()
	}
}

// sumWindows returns the observations of the last span for each target in state
// active, trial or cold, not counting those from before the current state.
func (s *serviceHealth) sumWindows(names []string, now, span time.Duration) map[string]tally {
	sums := make(map[string]tally, len(names))
	for _, name := range names {
		t := s.targets[name]
		if t.state == active || t.state == trial || t.state == cold {
			since := t.since
			if t.state == cold {
				// Requests sent before the target was known to be cold may
				// still be queued there.
				since += maxStallThreshold
			}
			sums[name] = t.window.sum(now, span, since)
		}
	}
	return sums
}

// peerStatsOf summarizes the active targets other than name. It uses medians so
// that a minority of failing peers neither hides a fault nor makes a healthy
// target look faulty.
func (s *serviceHealth) peerStatsOf(name string, sums map[string]tally) peerStats {
	var failureRatios, latencies, perSlot []float64
	for other, sum := range sums {
		if other == name || s.targets[other].state != active {
			continue
		}
		if sum.total() >= minPeerRequests {
			failureRatios = append(failureRatios, sum.failureRatio())
		}
		if sum.answers >= minPeerRequests {
			latencies = append(latencies, sum.meanLatencyLog2())
			perSlot = append(perSlot, float64(sum.answers)/float64(max(s.targets[other].slots, 1)))
		}
	}
	return peerStats{
		comparableCount: len(failureRatios), failureRatio: median(failureRatios),
		highFailureRatio: quantile(failureRatios, 0.8),
		latencyCount:     len(latencies), meanLatencyLog2: median(latencies), answersPerSlot: median(perSlot),
	}
}

func median(values []float64) float64 { return quantile(values, 0.5) }

// quantile sorts values and returns the q-quantile, or 0 without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// minPeers is the minimum number of comparable peers for an ejection.
func (s *serviceHealth) minPeers() int { return max(min(2, len(s.targets)-1), 1) }

// updateSuspicion compares the target with its peers, records the cause when it
// is worse, and reports whether it has been worse for long enough to be ejected.
// recent, long and slow hold the sums of Window, longWindow and SlowWindow.
func (s *serviceHealth) updateSuspicion(
	name string, t *targetHealth, now time.Duration, p Profile, recent, long, slow map[string]tally,
) bool {
	if sum := recent[name]; 2*sum.failures() >= p.MinFailures && sum.failureRatio() >= minFailureMargin {
		t.probe.expedite(now)
	}
	cause := causeNone
	confirmTime := p.ConfirmTime
	switch {
	case s.failing(name, t, now, p, p.Window, shortWindowMargin, recent),
		s.failing(name, t, now, p, longWindow, minFailureMargin, long):
		cause = causeErrors
		if sum := recent[name]; sum.stalls >= sum.errors {
			cause = causeStalls
			last := t.window.sum(now, partialStallWindow, t.since)
			if last.answers > 0 && last.failureRatio() < completeFailureRatio {
				confirmTime = max(confirmTime, partialStallConfirmTime)
			}
		}
	case t.probe.failing(now) && recent[name].answers == 0 && s.otherProbesWork(name, now):
		cause, confirmTime = causeProbe, 0
	case s.slow(name, t, now, p, slow):
		cause, confirmTime = causeSlow, p.SlowConfirmTime
	}
	if cause == causeNone {
		t.suspectedCause = causeNone
		return false
	}
	if t.suspectedCause == causeNone {
		t.suspectedSince = now
	}
	t.suspectedCause = cause
	return now-t.suspectedSince >= confirmTime
}

// failing reports whether the target's failure ratio in the last span exceeds
// that of its peers by at least margin, with enough statistical evidence and at
// enough instances. sums holds the sums of the last span.
func (s *serviceHealth) failing(
	name string, t *targetHealth, now time.Duration, p Profile, span time.Duration, margin float64, sums map[string]tally,
) bool {
	sum := sums[name]
	if sum.failures() < p.MinFailures {
		return false
	}
	if sum.errors > sum.stalls {
		margin = minFailureMargin // queues cause stalls, not errors
	}
	if t.state == cold {
		margin = coldFailureMargin
	}
	others := s.peerStatsOf(name, sums)
	peerRatio := others.highFailureRatio
	if sum.failureRatio() >= completeFailureRatio && others.failureRatio <= alwaysAllowedRatio {
		// More than a fifth of the targets may fail together, for example those
		// of one zone, and raise the 80th percentile. The low median shows that
		// not all targets share the fault.
		peerRatio = others.failureRatio
	}
	if others.comparableCount < s.minPeers() || sum.failureRatio() < peerRatio+margin {
		return false
	}
	if t.failingInstances(now, span) < min(p.MinInstances, len(s.reporters)) {
		return false
	}
	allowed := min(max(1.25*peerRatio, alwaysAllowedRatio), 0.95)
	return evidence(sum.failures(), sum.total(), allowed) >= p.MinEvidence
}

// slow reports whether the target's latency is much higher than that of its peers
// for a reason other than warming up or a random queue. A random queue does not
// lower the throughput, whereas a slow target's throughput is lower. The target
// must have been in its state for the whole window, because the queues of the
// first second differ widely.
func (s *serviceHealth) slow(
	name string, t *targetHealth, now time.Duration, p Profile, sums map[string]tally,
) bool {
	sum := sums[name]
	if sum.answers < minSlowAnswers || sum.meanLatencyLog2() < minSlowMeanLog2 {
		return false
	}
	if t.probe.wasCold(now) || now-t.since < p.SlowWindow {
		return false
	}
	others := s.peerStatsOf(name, sums)
	if others.latencyCount < s.minPeers() {
		return false
	}
	difference := sum.meanLatencyLog2() - others.meanLatencyLog2
	if difference < minSlowdownLog2 || slowScore(sum, difference) < p.MinSlowScore {
		return false
	}
	slots := float64(max(t.slots, 1))
	return t.loadAverage <= maxUnqueuedLoadPerSlot*slots || float64(sum.answers)/slots < busyThroughputRatio*others.answersPerSlot
}

// otherProbesWork reports whether the probes of more than half of the other
// targets do not fail. Otherwise the targets probably share the fault.
func (s *serviceHealth) otherProbesWork(name string, now time.Duration) bool {
	working, failed := 0, 0
	for other, t := range s.targets {
		switch {
		case other == name:
		case t.probe.failing(now):
			failed++
		default:
			working++
		}
	}
	return working > failed
}

// ejectSuspects ejects suspects as far as the floor permits, those with the most
// severe cause first.
func (s *serviceHealth) ejectSuspects(suspects []string, now time.Duration, svc config.Service) {
	sort.SliceStable(suspects, func(i, j int) bool {
		return s.targets[suspects[i]].suspectedCause > s.targets[suspects[j]].suspectedCause
	})
	inUse := SlotsInUse(svc, s.state)
	required := RequiredSlots(svc)
	for _, name := range suspects {
		t := s.targets[name]
		t.cause = t.suspectedCause
		slots := svc.Targets[name].Slots
		if t.state == cold {
			slots = 0 // a cold target's slots are not counted as in use
		}
		if inUse-slots < required {
			s.recordFloorHeld(name, t)
			continue
		}
		inUse -= slots
		if t.everReturned && now-t.returnedAt < flapWindow {
			t.backOffLevel++
		} else {
			t.backOffLevel = 0
		}
		t.floorHeld = false
		s.setState(name, t, ejected, now)
	}
}
