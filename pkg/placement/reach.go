package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// minReachTestDelay is the shortest time after a failed connection in which no request
	// tests whether the instance reaches the target again; the longest is twice as long. The
	// times differ because a cut often affects many targets at once.
	minReachTestDelay = 5 * time.Second
	// unreachableReportTime is how long another instance's report counts. Heartbeats
	// within a zone repeat it each quarter of a second.
	unreachableReportTime = time.Second
	// untilReached is the end of this instance's own mark, which only a response ends.
	untilReached = time.Duration(math.MaxInt64)
)

// reachability records which instances of the zone cannot connect to a target. The path
// from its owner may be cut while others reach it; the next instance in order is its owner
// then. The zero value is that of a target that all instances reach.
type reachability struct {
	// until holds, by the name of the instance, the time since boot up to which the target
	// counts as unreachable from there.
	until map[string]time.Duration
	// testAt is the time since boot from which this instance, if it does not reach the
	// target, may send it a request as a test.
	testAt time.Duration
}

// mark records that an instance does not reach the target. It reports whether that is new.
func (r *reachability) mark(instance string, until, now time.Duration) (changed bool) {
	changed = !r.lost(instance, now)
	if r.until == nil {
		r.until = map[string]time.Duration{}
	}
	r.until[instance] = until
	return changed
}

// clear records that an instance reaches the target. It reports whether that is new.
func (r *reachability) clear(instance string, now time.Duration) (changed bool) {
	changed = r.lost(instance, now)
	delete(r.until, instance)
	return changed
}

// lost reports whether the target is unreachable from an instance.
func (r *reachability) lost(instance string, now time.Duration) bool { return now < r.until[instance] }

// owner returns the index in owners of the instance that owns the target with the given
// number: the first in order that reaches it, or the first one if none does.
func (r *reachability) owner(owners []fleet.Member, number int, now time.Duration) int {
	for k := range owners {
		if i := (number + k) % len(owners); !r.lost(owners[i].Instance, now) {
			return i
		}
	}
	return number % len(owners)
}

// prune removes what has lapsed. It returns the time since boot at which the next entry
// lapses, or 0 if there is none.
func (r *reachability) prune(now time.Duration) (next time.Duration) {
	for instance, until := range r.until {
		if now >= until {
			delete(r.until, instance)
		} else if next == 0 || until < next {
			next = until
		}
	}
	return next
}

// observeReach applies the result of an attempt at the target. It reports whether this
// instance has ceased or begun to reach it. The caller holds the service's mutex.
func (s *service) observeReach(t *target, result proxy.Result, now time.Duration) (changed bool) {
	switch {
	case !t.sameZone:
	case result == proxy.NotSent:
		changed = t.reach.mark(s.self, untilReached, now)
		t.reach.testAt = now + minReachTestDelay + rand.N(minReachTestDelay)
	case result == proxy.Answered || result == proxy.ServerError || result == proxy.Shed:
		changed = t.reach.clear(s.self, now)
	}
	s.reassign = s.reassign || changed
	return changed
}

// logReach logs that this instance has ceased or begun to reach a target.
func (b *Balancer) logReach(s *service, t *target, reached bool) {
	change := event.TargetUnreached
	if reached {
		change = event.TargetReached
	}
	change.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Bool("owner", t.preferred).Send()
}

// reachTest returns a target that this instance did not reach and should try again, or nil.
// Another instance keeps the target in use meanwhile.
func (s *service) reachTest(now time.Duration) *target {
	for _, t := range s.unreached {
		if now >= t.reach.testAt && t.reach.lost(s.self, now) && t.obstacle(idleLoadPerSlot, now) == noObstacle {
			t.reach.testAt = now + minReachTestDelay
			return t
		}
	}
	return nil
}

// fillUnreachable adds the targets of the own zone that this instance does not reach.
func (s *service) fillUnreachable(h *peerpb.Heartbeat, now time.Duration) {
	for _, t := range s.unreached {
		if t.reach.lost(s.self, now) {
			h.UnreachableTargets = append(h.UnreachableTargets, t.entry.ID)
		}
	}
}

// mergeUnreachable applies the reports in another instance's heartbeat.
func (s *service) mergeUnreachable(from string, unreachable []string, now time.Duration) {
	if len(unreachable) == 0 && !s.unreachedElsewhere {
		return
	}
	for _, t := range s.ordered {
		if t.reach.lost(from, now) && !slices.Contains(unreachable, t.entry.ID) {
			s.reassign = t.reach.clear(from, now) || s.reassign
		}
	}
	for _, id := range unreachable {
		if t := s.targets[id]; t != nil {
			s.unreachedElsewhere = true
			s.reassign = t.reach.mark(from, now+unreachableReportTime, now) || s.reassign
		}
	}
}

// ForgetPaths forgets which targets this instance could not connect to, and its failures at
// targets: it reaches them in another way from now on.
func (b *Balancer) ForgetPaths() {
	now := b.clock.SinceBoot()
	for _, s := range b.allServices() {
		s.mu.Lock()
		for _, t := range s.ordered {
			t.failedDials, t.blockedUntil = 0, 0
			t.cold.unreachable = false
			if !t.lastAnswered {
				t.own, t.failedProb = newEvidence(now), 0
			}
			s.reassign = t.reach.clear(s.self, now) || s.reassign
		}
		s.queue.wakeFirst()
		s.mu.Unlock()
	}
}
