package placement

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// hedgeRetryReserve is the number of retries that a hedge leaves in the budget: one for
	// a request that fails meanwhile.
	hedgeRetryReserve = 1
	// minComparedTargets is the number of targets in use without which nothing is concluded
	// from how many of them are slow.
	minComparedTargets = 2
	// slowZoneRatio is the fraction of a zone's targets in use that are slow from which on the
	// zone counts as the cause.
	slowZoneRatio = 0.5
)

// SetHedgeLimits sets the operators' limits on hedges, which must not be changed after. No
// request is hedged before the first call.
func (b *Balancer) SetHedgeLimits(l *hedge.Limits) { b.hedgeLimits.Store(l) }

// HedgeLimits returns the operators' limits on hedges, which must not be changed.
func (b *Balancer) HedgeLimits() *hedge.Limits {
	if l := b.hedgeLimits.Load(); l != nil {
		return l
	}
	return &hedge.Limits{}
}

// hedgeLimit returns the account and the operators' limit for a request; 0 means no hedges.
func (b *Balancer) hedgeLimit(r proxy.Request) (key string, percent float64) {
	limits := b.hedgeLimits.Load()
	if limits == nil {
		return "", 0
	}
	return limits.Find(r.PathPrefix, r.Service)
}

// countForHedges counts a new request for the operators' limit. The caller holds the service's
// mutex.
func (b *Balancer) countForHedges(s *service, r proxy.Request) {
	if key, percent := b.hedgeLimit(r); percent > 0 {
		if s.hedges == nil {
			s.hedges = hedge.NewDecider()
		}
		s.hedges.Arrived(key, percent)
	}
}

// recordShortage keeps hedges away from the service for a time, because a request waits or
// was refused, or a retry was. The caller holds mu.
func (s *service) recordShortage(now time.Duration) {
	if s.hedges != nil {
		s.hedges.Shortage(now)
	}
}

// withHedges calls f with the state of hedging of the request's service, unless the limit
// for the request is 0.
func (b *Balancer) withHedges(r proxy.Request, f func(s *service, key string, percent float64, now time.Duration)) {
	key, percent := b.hedgeLimit(r)
	if percent <= 0 {
		return
	}
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hedges != nil {
		f(s, key, percent, b.clock.SinceBoot())
	}
}

// HedgeDelay implements proxy.Hedger.
func (b *Balancer) HedgeDelay(r proxy.Request, retryIn, left time.Duration) (delay time.Duration) {
	b.withHedges(r, func(s *service, _ string, percent float64, now time.Duration) {
		delay = s.hedges.Delay(r.Route, percent, retryIn, left, now)
	})
	return delay
}

// StartHedge implements proxy.Hedger. It answers at once.
func (b *Balancer) StartHedge(r proxy.Request, tried []string, age, left time.Duration) <-chan proxy.Attempt {
	var started chan proxy.Attempt
	b.withHedges(r, func(s *service, key string, _ float64, now time.Duration) {
		b.update(s, now)
		latenesses := s.lateTargets(tried, age, now)
		q := hedge.Question{Key: key, Route: r.Route, Left: left, Load: hedge.Load{
			Waiting: len(s.queue), Utilization: s.utilization(now), SlowRatio: latenesses.slowRatio(),
		}}
		if s.hedges.Ask(q, now) != hedge.Allowed {
			return
		}
		t := s.hedgeTarget(r, tried, latenesses.excludedZone(), now)
		if t == nil {
			s.hedges.RefuseTarget()
			return
		}
		if s.hedges.Take(key, s, now) != hedge.Allowed {
			return
		}
		a := b.newAttempt(s, t, r, tried, now)
		a.last = false // the first attempt decides how the request ends if the hedge fails
		started = make(chan proxy.Attempt, 1)
		started <- a
	})
	return started
}

// ObserveFirst implements proxy.Hedger.
func (b *Balancer) ObserveFirst(r proxy.Request, latency time.Duration, bytes int64, canceled bool) {
	b.withHedges(r, func(s *service, _ string, _ float64, now time.Duration) {
		if canceled {
			s.hedges.ObserveCanceled(r.Route, latency, bytes, now)
			return
		}
		s.hedges.Observe(r.Route, latency, bytes, now)
	})
}

// HedgeEnded implements proxy.Hedger.
func (b *Balancer) HedgeEnded(r proxy.Request, won bool, wasted time.Duration) {
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hedges != nil {
		s.hedges.Ended(won, wasted)
	}
}

// ObserveSlow implements proxy.AttemptWithAge.
func (a *attempt) ObserveSlow(age time.Duration) {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.target.own.observeLatency(float64(age)/float64(max(a.service.typicalLatency, time.Millisecond)), a.balancer.clock.SinceBoot())
}

// TakeHedge implements hedge.Budget with the retry account of all instances, or the retry budget
// of this one. Hedges come last: one gets none while requests wait for a target, while targets
// reject for load, within hedgeRest of a refused retry of any instance, or if the account has no
// more than what the retries and trials of the next second need. The caller holds mu.
func (s *service) TakeHedge(now time.Duration) bool {
	if s.retries != nil {
		return s.retries.spendHedge(len(s.queue) > 0 || s.shedding.byLoad(s.ordered, now), now)
	}
	return s.retryBudget.has(1+hedgeRetryReserve, now) && s.retryBudget.spend(now)
}

// utilization returns the fraction of the slots in use at the targets that this instance
// prefers, whose load it knows best, or at all if it prefers none.
func (s *service) utilization(now time.Duration) float64 {
	targets := s.byDistance[distancePreferred]
	if len(targets) == 0 {
		targets = s.ordered
	}
	load, slots := 0.0, 0
	for _, t := range targets {
		if !t.obstacle(maxLoadPerSlot, now).excludes() {
			load += t.load(now)
			slots += t.entry.Slots
		}
	}
	if slots == 0 {
		return 1
	}
	return load / float64(slots)
}

// lateness counts targets in use, and those of them at which a request is at least as old as
// the one that is to be hedged or that another instance reports as slow.
type lateness struct{ used, late int }

func (l lateness) ratio() float64 {
	if l.used < minComparedTargets {
		return 0
	}
	return float64(l.late) / float64(l.used)
}

// latenesses are those in the zone of the first attempt, without its target, and elsewhere.
type latenesses struct {
	zone              string
	inZone, elsewhere lateness
}

// lateTargets compares the first attempt, which has reached an age, with the requests at
// other targets.
func (s *service) lateTargets(tried []string, age, now time.Duration) latenesses {
	var l latenesses
	if len(tried) > 0 && s.targets[tried[0]] != nil {
		l.zone = s.targets[tried[0]].entry.Zone
	}
	for _, t := range s.ordered {
		t.peer.decay(now)
		reported := t.peer.slowness >= reportSlownessThreshold
		if slices.Contains(tried, t.entry.ID) || (len(t.openStarts) == 0 && !reported) {
			continue
		}
		counts := &l.elsewhere
		if t.entry.Zone == l.zone {
			counts = &l.inZone
		}
		counts.used++
		if reported || now-t.openStarts[0] >= age {
			counts.late++
		}
	}
	return l
}

func (l latenesses) zoneIsSlow() bool { return l.inZone.ratio() >= slowZoneRatio }

// excludedZone returns the zone that a hedge must avoid because it is the cause; empty if none.
func (l latenesses) excludedZone() string {
	if l.zoneIsSlow() {
		return l.zone
	}
	return ""
}

// slowRatio returns the fraction of slow targets among those that a hedge may go to.
func (l latenesses) slowRatio() float64 {
	if l.zoneIsSlow() {
		return l.elsewhere.ratio()
	}
	return lateness{l.inZone.used + l.elsewhere.used, l.inZone.late + l.elsewhere.late}.ratio()
}

// hedgeTarget returns the target with the lowest cost for a hedge, or nil. A hedge goes to a
// target with a free slot of which nothing bad is known: one that is warming up, limits its
// rate, is suspected or has a stalled request is left to requests that need it.
func (s *service) hedgeTarget(r proxy.Request, tried []string, excludedZone string, now time.Duration) *target {
	var best *target
	lowestCost := math.Inf(1)
	for d, targets := range s.byDistance {
		zoneCost := distanceCost[d]
		if d == distanceOtherZone {
			zoneCost += s.sizes.zoneCost(r.Route)
		}
		compared := 0
		for i, first := 0, randomOffset(len(targets)); i < len(targets) && (d == distancePreferred || compared < maxCompared); i++ {
			t := targets[(first+i)%len(targets)]
			if t.entry.Zone == excludedZone || !s.mayHedgeAt(t, now) || slices.Contains(tried, t.entry.ID) {
				continue
			}
			compared++
			if cost := zoneCost + s.cost(t, false, now); cost < lowestCost {
				best, lowestCost = t, cost
			}
		}
	}
	return best
}

// mayHedgeAt reports whether the target may get a hedge.
func (s *service) mayHedgeAt(t *target, now time.Duration) bool {
	return t.obstacle(idleLoadPerSlot, now) == noObstacle && !t.limit.limited && now >= t.entry.WarmUntil &&
		t.failProb(now) <= failProbPrior && !t.stalled(now, s.typicalLatency)
}

// Hedges returns the state of hedging by service, of those that have had requests while it was on.
func (b *Balancer) Hedges() map[string]hedge.State {
	states := map[string]hedge.State{}
	for _, s := range b.allServices() {
		s.mu.Lock()
		if s.hedges != nil {
			states[s.name] = s.hedges.State()
		}
		s.mu.Unlock()
	}
	return states
}
