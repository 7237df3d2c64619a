package health

import (
	"slices"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// minPeerSamples makes a target comparable.
	minPeerSamples = 5
	// minSlowSamples is the least number of answers for a latency comparison.
	minSlowSamples = 20
	// minSlowLog keeps latencies below about 8 ms, where the histogram and the
	// network dominate, from being compared.
	minSlowLog = 3.0
	// minLogDeviation bounds the assumed spread of latencies from below.
	minLogDeviation = 0.8
	// coldGrace after the last cold signal keeps a target that warms up from
	// being ejected as slow. It covers the balancers' slow start.
	coldGrace = 20 * time.Second
	// unqueuedLoad per slot is the average load up to which requests hardly wait
	// for a slot. With 1.0 a target that had a queue by chance was ejected.
	unqueuedLoad = 0.75
	// queuedThroughput is the share of its peers' throughput from which a slow
	// target with a queue counts as busy, not as slow.
	queuedThroughput = 0.7
)

// peers is what the other active targets of the service look like.
type peers struct {
	comparable int
	badShare   float64
	// highShare is the failure share that four fifths of the peers stay within.
	// In a growing overload the targets fail at different times; the median
	// alone would make the first of them look faulty.
	highShare float64
	slowCount int
	logMean   float64
	// answersPerSlot is the median throughput in the window.
	answersPerSlot float64
}

// evaluate updates the state of every configured target.
func (s *serviceHealth) evaluate(now time.Duration, svc config.Service) {
	s.evaluated = now
	s.forget(now, svc)
	p := s.profile(svc)
	names := make([]string, 0, len(svc.Targets))
	for name := range svc.Targets {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		t := s.target(name, now)
		t.averageLoad(now)
		t.slots = svc.Targets[name].Slots
		s.announce(name, t, now, svc.Targets[name].Leaving)
	}
	s.release(now, svc)
	recent := s.tallies(names, now, p.Window)
	long := s.tallies(names, now, longWindow)
	slow := s.tallies(names, now, p.SlowWindow)
	var suspects []string
	for _, name := range names {
		t := s.targets[name]
		switch t.state {
		case active, cold:
			if s.suspicious(name, t, now, p, recent, long, slow) {
				suspects = append(suspects, name)
			} else {
				t.floorHeld = false
			}
		case ejected:
			if now-t.since >= t.backOff() && !t.probe.failing(now) {
				s.move(name, t, trial, now)
			}
		case trial:
			s.judgeTrial(name, t, now, p, slow)
		}
	}
	s.eject(suspects, now, svc)
}

// announce applies what the target says about itself.
func (s *serviceHealth) announce(name string, t *targetHealth, now time.Duration, leaving bool) {
	switch {
	case leaving || t.isDraining(now):
		s.move(name, t, draining, now)
	case t.probe.cold && !withheld(t.state):
		s.move(name, t, cold, now)
	case t.state == draining || t.state == cold && !t.probe.cold:
		s.move(name, t, active, now)
	}
}

// release returns ejected targets when the capacity of others went away, so
// that ejections never hold the service below its floor. The least severe
// and oldest ejections end first.
func (s *serviceHealth) release(now time.Duration, svc config.Service) {
	released := floorReleases(svc, s.state, func(a, b string) bool {
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
		s.move(name, t, active, now)
		s.holdFloor(name, t)
	}
}

func (s *serviceHealth) holdFloor(name string, t *targetHealth) {
	if !t.floorHeld {
		t.floorHeld = true
		event.FloorHeld.Log(s.log).Str("service", s.name).Str("target", name).Stringer("cause", t.cause).Send()
	}
}

// tallies sums the windows of the active targets.
func (s *serviceHealth) tallies(names []string, now, span time.Duration) map[string]tally {
	sums := make(map[string]tally, len(names))
	for _, name := range names {
		t := s.targets[name]
		if t.state == active || t.state == trial || t.state == cold {
			since := t.since
			if t.state == cold {
				// Requests from before the target was known to be cold may
				// still be queued there.
				since += maxStall
			}
			sums[name] = t.window.sum(now, span, since)
		}
	}
	return sums
}

// peersOf describes the active targets other than name. Medians keep a
// minority of failing peers from hiding or feigning a fault.
func (s *serviceHealth) peersOf(name string, sums map[string]tally) peers {
	var shares, means, perSlot []float64
	for other, sum := range sums {
		if other == name || s.targets[other].state != active {
			continue
		}
		if sum.total() >= minPeerSamples {
			shares = append(shares, sum.badShare())
		}
		if sum.answers >= minPeerSamples {
			means = append(means, sum.logMean())
			perSlot = append(perSlot, float64(sum.answers)/float64(max(s.targets[other].slots, 1)))
		}
	}
	return peers{
		comparable: len(shares), badShare: median(shares), highShare: quantile(shares, 0.8),
		slowCount: len(means), logMean: median(means), answersPerSlot: median(perSlot),
	}
}

func median(values []float64) float64 { return quantile(values, 0.5) }

func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// minPeers is the number of comparable peers that an ejection needs.
func (s *serviceHealth) minPeers() int { return max(min(2, len(s.targets)-1), 1) }

// suspicious tells whether the target has been worse than its peers for long
// enough, and records the cause.
func (s *serviceHealth) suspicious(
	name string, t *targetHealth, now time.Duration, p Profile, recent, long, slow map[string]tally,
) bool {
	if sum := recent[name]; 2*sum.bad() >= p.MinBad && sum.badShare() >= minMargin {
		t.probe.hasten(now)
	}
	found := reasonNone
	confirm := p.Confirm
	switch {
	case s.failing(name, t, now, p, p.Window, suddenMargin, recent),
		s.failing(name, t, now, p, longWindow, minMargin, long):
		found = reasonErrors
		if sum := recent[name]; sum.stalls >= sum.errors {
			found = reasonStalls
			last := t.window.sum(now, partialWindow, t.since)
			if last.answers > 0 && last.badShare() < completeShare {
				confirm = max(confirm, partialConfirm)
			}
		}
	case t.probe.failing(now) && recent[name].answers == 0 && s.probesWork(name, now):
		found, confirm = reasonProbe, 0
	case s.slow(name, t, now, p, slow):
		found, confirm = reasonSlow, p.SlowConfirm
	}
	if found == reasonNone {
		t.suspect = reasonNone
		return false
	}
	if t.suspect == reasonNone {
		t.suspectSince = now
	}
	t.suspect = found
	return now-t.suspectSince >= confirm
}

func (s *serviceHealth) failing(
	name string, t *targetHealth, now time.Duration, p Profile, span time.Duration, margin float64, sums map[string]tally,
) bool {
	sum := sums[name]
	if sum.bad() < p.MinBad {
		return false
	}
	if sum.errors > sum.stalls {
		margin = minMargin // errors do not come from queues
	}
	if t.state == cold {
		margin = coldMargin
	}
	others := s.peersOf(name, sums)
	usual := others.highShare
	if sum.badShare() >= completeShare && others.badShare <= peerFloor {
		// More than a fifth of the targets may fail together, for example those
		// of one zone. The others show that the fault is not shared by all.
		usual = others.badShare
	}
	if others.comparable < s.minPeers() || sum.badShare() < usual+margin {
		return false
	}
	if t.badInstances(now, span) < min(p.MinInstances, len(s.reporters)) {
		return false
	}
	allowed := min(max(1.25*usual, peerFloor), 0.95)
	return evidence(sum.bad(), sum.total(), allowed) >= p.Evidence
}

// slow tells whether the target answers much later than its peers, for a
// reason other than warming up or a queue that has built up by chance. A queue
// by chance leaves the throughput as it is, a slow target's is lower. The whole
// window must be covered: the queues of the first second differ widely.
func (s *serviceHealth) slow(
	name string, t *targetHealth, now time.Duration, p Profile, sums map[string]tally,
) bool {
	sum := sums[name]
	if sum.answers < minSlowSamples || sum.logMean() < minSlowLog {
		return false
	}
	if t.probe.warming(now) || now-t.since < p.SlowWindow {
		return false
	}
	others := s.peersOf(name, sums)
	if others.slowCount < s.minPeers() {
		return false
	}
	difference := sum.logMean() - others.logMean
	if difference < slowDoublings || slowScore(sum, difference) < p.SlowScore {
		return false
	}
	slots := float64(max(t.slots, 1))
	return t.loadAverage <= unqueuedLoad*slots || float64(sum.answers)/slots < queuedThroughput*others.answersPerSlot
}

// probesWork tells whether the probes of at least half of the other targets
// do not fail; otherwise the fault is likely to be shared.
func (s *serviceHealth) probesWork(name string, now time.Duration) bool {
	good, bad := 0, 0
	for other, t := range s.targets {
		switch {
		case other == name:
		case t.probe.failing(now):
			bad++
		default:
			good++
		}
	}
	return good > bad
}

// eject ejects the most severe suspects first, as far as the floor permits.
func (s *serviceHealth) eject(suspects []string, now time.Duration, svc config.Service) {
	sort.SliceStable(suspects, func(i, j int) bool {
		return s.targets[suspects[i]].suspect > s.targets[suspects[j]].suspect
	})
	inUse := SlotsInUse(svc, s.state)
	required := RequiredSlots(svc)
	for _, name := range suspects {
		t := s.targets[name]
		t.cause = t.suspect
		slots := svc.Targets[name].Slots
		if t.state == cold {
			slots = 0 // a cold target is not in use
		}
		if inUse-slots < required {
			s.holdFloor(name, t)
			continue
		}
		inUse -= slots
		if t.everReturned && now-t.returnedAt < flapMemory {
			t.level++
		} else {
			t.level = 0
		}
		t.floorHeld = false
		s.move(name, t, ejected, now)
	}
}
