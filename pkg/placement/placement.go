// Package placement chooses the target of each request from what this instance
// and the other serving instances have observed of the targets. It also limits
// retries and queues requests by priority while all targets are full.
package placement

import (
	"fmt"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// maxWaitRatio is the fraction of its objective that a request may wait for a
	// target with free capacity. It is refused then, so that its caller still has
	// time to retry.
	maxWaitRatio = 0.35
	// recheckInterval is the longest time after which a waiting request tries again
	// to get a target: the load reported for other instances decays without an event
	// that would wake the request.
	recheckInterval = 25 * time.Millisecond
)

// NoTargetError reports that no target of a service can take a request.
type NoTargetError struct {
	Service string
	// Listed is the number of the service's targets in the catalogue, Tried the number of
	// targets to which the request was already sent.
	Listed int
	Tried  int
	// Leaving and Paused count the listed targets that leave and those that want no requests
	// from this instance for a time, Evacuated those of evacuated zones.
	Leaving   int
	Paused    int
	Evacuated int
	// Waited is the time that the request waited for free capacity.
	Waited time.Duration
}

func (e *NoTargetError) Error() string {
	return fmt.Sprintf("choose a target of service %q: none of %d targets has free capacity (%d leaving, %d evacuated, %d paused, %d tried, waited %s)",
		e.Service, e.Listed, e.Leaving, e.Evacuated, e.Paused, e.Tried, e.Waited)
}

// CatalogueSource provides the listed targets. *discovery.Registry implements it.
type CatalogueSource interface{ Catalogue() *discovery.Catalogue }

// ViewSource provides the set of serving instances. *fleet.Fleet implements it.
type ViewSource interface{ View() *fleet.View }

// Balancer implements proxy.Balancer and fleet.StateExchanger. It is safe for
// concurrent use. The mutex of a service is never held while a request waits.
type Balancer struct {
	// PathsLost, if not nil, reports whether this instance has no path to any target of its
	// own. What it meets says nothing about the targets then.
	PathsLost func() bool
	// OnUnused, if not nil, is called when a target gets no further requests because it
	// leaves. It must not call the balancer.
	OnUnused func(address string)
	// Evacuations, if not nil, tells the zones whose targets get no requests. It is set
	// before the first call.
	Evacuations Evacuations
	// OnCold, if not nil, is called when this instance learns first that a target is cold, so
	// that heartbeats tell others at once. It must not call the balancer.
	OnCold func()

	clock   clock.Clock
	targets CatalogueSource
	peers   ViewSource
	log     *zerolog.Logger
	// rate is the request rate over all services.
	rate rate
	// hedgeLimits are the operators' limits on hedges; nil means none are sent.
	hedgeLimits atomic.Pointer[hedge.Limits]

	// mu guards services, which holds them by name.
	mu       sync.Mutex
	services map[string]*service

	listings listingTimes
	// createdAt is the time since boot of New.
	createdAt time.Duration
	// retryRule is nil if each instance bounds its retries by itself.
	retryRule *RetryRule
}

// New returns a balancer that has no observations of any target.
func New(c clock.Clock, targets CatalogueSource, peers ViewSource, log *zerolog.Logger) *Balancer {
	return &Balancer{clock: c, targets: targets, peers: peers, log: log, services: map[string]*service{}, createdAt: c.SinceBoot()}
}

// Rate returns the recent request rate in requests per second.
func (b *Balancer) Rate() float64 { return b.rate.get(b.clock.SinceBoot()) }

func (b *Balancer) pathsLost() bool { return b.PathsLost != nil && b.PathsLost() }

// service returns the state of the named service and creates it on first use.
func (b *Balancer) service(name string) *service {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil {
		s = newService(name, b.clock.SinceBoot())
		s.evacuations = b.Evacuations
		if b.retryRule != nil {
			s.retries = newRetryAccount(*b.retryRule, b.clock.SinceBoot())
		}
		b.services[name] = s
	}
	return s
}

// Acquire chooses a target that is not in tried and waits while all of them are
// full. tried is empty for a request's first attempt. Errors are
// *refusal.Refusal (no_target, overloaded).
func (b *Balancer) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	s := b.service(r.Service)
	began := b.clock.SinceBoot()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(tried) == 0 {
		b.setRetryShare(s, began)
		s.earnRetries(began)
		s.recordArrival(r.Idempotent, r.Objective, began)
		b.countForHedges(s, r)
		b.rate.add(began)
	}
	waitUntil := min(began+time.Duration(maxWaitRatio*float64(r.Objective)), r.Deadline-s.typicalLatency)
	var w *waiter
	for {
		now := b.clock.SinceBoot()
		b.update(s, now)
		if w != nil || !s.queue.mustWait(r.Priority) {
			t, noneUsable := s.choose(r, tried, now)
			if t != nil {
				s.dequeue(w)
				return b.newAttempt(s, t, r, tried, now), nil
			}
			if noneUsable && len(s.ordered) == 0 {
				s.dequeue(w)
				return nil, b.refuse(refusal.NoTarget, s, tried, now-began, retryAfter)
			}
		}
		s.recordShortage(now)
		if forced := s.forcedWait(tried, s.queue.ahead(w, r.Priority), now); forced.exceeds(waitUntil, now) {
			s.dequeue(w)
			return nil, b.refuse(forced.kind, s, tried, now-began, forced.retryAfter)
		}
		if now >= waitUntil {
			s.dequeue(w)
			after := s.overloadRetryAfter(s.queue.ahead(nil, r.Priority), now)
			return nil, b.refuse(refusal.Overloaded, s, tried, now-began, after)
		}
		if w == nil {
			w = &waiter{priority: r.Priority, arrived: now, wake: make(chan struct{}, 1)}
			s.queue.enqueue(w)
		}
		s.wait(w, min(recheckInterval, waitUntil-now))
	}
}

// AcquireNow is Acquire without a wait; it returns nil if no target can take the request
// now.
func (b *Balancer) AcquireNow(r proxy.Request, tried []string) proxy.Attempt {
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.SinceBoot()
	b.update(s, now)
	if s.queue.mustWait(r.Priority) {
		return nil
	}
	t, _ := s.choose(r, tried, now)
	if t == nil {
		return nil
	}
	return b.newAttempt(s, t, r, tried, now)
}

// newAttempt assigns the request to the target. The caller holds the service's mutex.
func (b *Balancer) newAttempt(s *service, t *target, r proxy.Request, tried []string, now time.Duration) *attempt {
	a := &attempt{balancer: b, service: s, target: t, zone: t.entry.Zone, route: r.Route, started: now, retryDelay: s.retryDelay(), last: !r.Idempotent || len(tried) > 0, choice: choice{
		preferred: t.preferred, sameZone: t.sameZone, load: t.load(now), failProb: t.failProb(now), listingAge: now - b.targets.Catalogue().ReadAt,
		limited: t.limit.limited, limit: t.limit.rate(), cold: t.cold.limited(now), coldRate: t.cold.rate(now),
	}}
	t.addOpen(now)
	return a
}

// dequeue removes a waiting request and wakes the first of the queue. w is nil
// for a request that did not wait.
func (s *service) dequeue(w *waiter) {
	if w != nil {
		s.queue.dequeue(w)
		s.queue.wakeFirst()
	}
}

// wait releases the service's mutex until the waiter is woken or d has passed.
func (s *service) wait(w *waiter, d time.Duration) {
	s.mu.Unlock()
	timer := time.NewTimer(d)
	select {
	case <-w.wake:
	case <-timer.C:
	}
	timer.Stop()
	s.mu.Lock()
}

// TakeRetry takes one retry from the service's account, or from this instance's budget if
// there is no rule, and reports whether one was left.
func (b *Balancer) TakeRetry(r proxy.Request) bool {
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.SinceBoot()
	b.setRetryShare(s, now)
	granted := s.takeRetry(r, now)
	if !granted {
		s.recordShortage(now)
	}
	return granted
}

// retryDelayFactor times the typical latency is how long an idempotent request
// waits for a response before it may go to another target.
const retryDelayFactor = 3.5

// retryDelay returns how long an idempotent request waits for a response before it may
// go to another target.
func (s *service) retryDelay() time.Duration {
	return time.Duration(retryDelayFactor * float64(s.typicalLatency))
}

// Fill adds this instance's evidence on targets to a heartbeat for other serving
// instances.
func (b *Balancer) Fill(h *peerpb.Heartbeat, to fleet.Audience) {
	now, lost := b.clock.SinceBoot(), b.pathsLost()
	b.fillCold(h, to, now)
	if !to.Serving() {
		return
	}
	for _, s := range b.allServices() {
		s.mu.Lock()
		s.fillRateLimits(h, now)
		s.fillLeaving(h, now)
		b.fillRetries(s, h, to, now)
		if !lost {
			s.fillEvidence(h, to, now)
			s.fillOutcomes(h, now)
			if to == fleet.SameZonePeers {
				s.fillUnreachable(h, now)
			}
		}
		s.mu.Unlock()
	}
}

// fillEvidence adds this instance's evidence on the targets. The caller holds mu.
func (s *service) fillEvidence(h *peerpb.Heartbeat, to fleet.Audience, now time.Duration) {
	for _, t := range s.ordered {
		if now-t.lastResultAt >= maxReportAge {
			continue
		}
		t.own.decay(now)
		if !t.shouldReport(to, now) {
			continue
		}
		h.Targets = append(h.Targets, &peerpb.TargetEvidence{
			Target: t.entry.ID, FailingPermille: uint32(math.Round(1000 * t.own.failProb)), Slowness: int32(math.Round(100 * t.own.slowness)),
		})
	}
}

// Evidence against a target is reported to other instances only from these
// thresholds on and up to maxReportAge; other evidence does not justify the traffic.
// Instances of the same zone also receive all targets with a result within
// recentResultAge, because they use these targets when their own are full.
const (
	reportThreshold         = 0.3
	reportSlownessThreshold = 0.5
	maxReportAge            = 10 * time.Second
	recentResultAge         = time.Second
)

// shouldReport reports whether a heartbeat to the audience includes the target.
// The target's own evidence must have been decayed to now.
func (t *target) shouldReport(to fleet.Audience, now time.Duration) bool {
	age := now - t.lastResultAt
	if to == fleet.SameZonePeers && age < recentResultAge {
		return true
	}
	return age < maxReportAge && (t.own.failProb >= reportThreshold || t.own.slowness >= reportSlownessThreshold)
}

// applyReport applies another instance's evidence on the target. Evidence of
// failures raises the peer evidence. Evidence of good results lowers it, and also
// this instance's own unless that has a result within recentResultAge.
func (t *target) applyReport(e *peerpb.TargetEvidence, now time.Duration) {
	failProb := min(float64(e.FailingPermille)/1000, 1)
	t.lastReportAt = now
	t.peer.decay(now)
	t.own.decay(now)
	if failProb >= reportThreshold {
		t.peer.failProb = max(t.peer.failProb, failProb)
		if t.failedProb < reportThreshold {
			t.failedProb, t.failedAt = failProb, now
		}
	} else {
		t.peer.failProb = min(t.peer.failProb, failProb)
		t.failedProb = 0
		if now-t.lastResultAt > recentResultAge {
			t.own.failProb = min(t.own.failProb, failProb)
		}
	}
	t.peer.slowness = max(t.peer.slowness, min(float64(e.Slowness)/100, maxSlowness))
}

// Merge applies the evidence in another serving instance's heartbeat.
func (b *Balancer) Merge(from string, h *peerpb.Heartbeat) {
	now := b.clock.SinceBoot()
	for _, s := range b.allServices() {
		s.mu.Lock()
		for _, e := range h.Targets {
			if t := s.targets[e.Target]; t != nil {
				t.applyReport(e, now)
			}
		}
		s.mergeCold(from, h.ColdTargets, now)
		b.mergeRateLimits(s, from, h.RateLimits, now)
		b.mergeLeaving(s, from, h.LeavingTargets)
		s.mergeUnreachable(from, h.UnreachableTargets, now)
		s.mergeOutcomes(from, h.Outcomes, now)
		s.mergeRetries(from, h.Retries, now)
		s.mu.Unlock()
	}
}

// allServices returns a snapshot of the services, so that b.mu and a service's
// mutex are not held together.
func (b *Balancer) allServices() []*service {
	b.mu.Lock()
	defer b.mu.Unlock()
	services := make([]*service, 0, len(b.services))
	for _, s := range b.services {
		services = append(services, s)
	}
	return services
}
