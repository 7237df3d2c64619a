package placement

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// SetRetryRule bounds the retries of each service over all instances. Without a rule, each
// instance keeps to its own retryBudget. It must be called before the first request.
func (b *Balancer) SetRetryRule(rule RetryRule) { b.retryRule = &rule }

// earnRetries adds the retries that one new request earns.
func (s *service) earnRetries(now time.Duration) {
	if s.retries == nil {
		s.retryBudget.earn(now)
		return
	}
	s.retries.AddRequest(now)
	s.retries.recent.requests.add(now)
}

// takeRetry takes one retry for the request and reports whether one was left. A retry of a
// rejected request is not sent while the targets reject for load.
func (s *service) takeRetry(r proxy.Request, now time.Duration) bool {
	switch {
	case s.retries == nil:
		return s.retryBudget.spend(now)
	case r.Previous == proxy.Shed && s.shedding.byLoad(s.ordered, now):
		s.retries.counts.Overloaded[priorityIndex(r.Priority)]++
		s.retries.refuse(now)
		return false
	default:
		return s.retries.spendRetry(r, s.typicalLatency, now)
	}
}

// mayTry reports whether enough retries are left for a trial.
func (s *service) mayTry(now time.Duration) bool {
	if s.retries == nil {
		return s.retryBudget.has(trialRetryReserve, now)
	}
	return s.retries.mayTry(now)
}

// setRetryShare applies this instance's share of the rule's constant. The caller holds the
// service's mutex.
func (b *Balancer) setRetryShare(s *service, now time.Duration) {
	if s.retries != nil {
		s.retries.SetShare(b.peers.View().FixedShare, now)
	}
}

// fillRetries adds the report of the service's retries to a heartbeat.
func (b *Balancer) fillRetries(s *service, h *peerpb.Heartbeat, to fleet.Audience, now time.Duration) {
	if s.retries != nil && to.Serving() {
		b.setRetryShare(s, now)
		s.retries.forget(now)
		s.retries.fill(s.name, h, now)
	}
}

// mergeRetries applies the reports of another instance.
func (s *service) mergeRetries(from string, reports []*peerpb.ServiceRetries, now time.Duration) {
	if s.retries == nil {
		return
	}
	for _, r := range reports {
		if r.Service == s.name {
			s.retries.merge(from, r, now)
		}
	}
}

// RetryState is the state of a service's retry account, for operators.
type RetryState struct {
	Service string `json:"service"`
	// Level is the number of retries that this instance has, Capacity what it would have if
	// none had been sent lately. Share is its fraction of the rule's constant.
	Level    float64 `json:"level"`
	Capacity float64 `json:"capacity"`
	Share    float64 `json:"share"`
	// Wanted is what it asks others for, Spare what it can lend.
	Wanted float64 `json:"wanted"`
	Spare  float64 `json:"spare"`
	// RejectedForLoad says that targets reject for load, so that rejected requests are not
	// sent again.
	RejectedForLoad bool        `json:"rejected_for_load"`
	Counts          RetryCounts `json:"counts"`
}

// Retries returns the state of the retry accounts; none without a rule.
func (b *Balancer) Retries() []RetryState {
	now := b.clock.SinceBoot()
	var states []RetryState
	for _, s := range b.allServices() {
		s.mu.Lock()
		if a := s.retries; a != nil {
			level, capacity := a.Level(now)
			states = append(states, RetryState{
				Service: s.name, Level: level, Capacity: capacity, Share: b.peers.View().FixedShare, Wanted: a.wanted, Spare: a.spare,
				RejectedForLoad: s.shedding.byLoad(s.ordered, now), Counts: a.counts,
			})
		}
		s.mu.Unlock()
	}
	return states
}
