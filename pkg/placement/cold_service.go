package placement

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// assignCold sets this instance's shares of the rates for cold targets.
func (s *service) assignCold(v *fleet.View, now time.Duration) {
	if s.coldRate.PerSecond == 0 {
		return
	}
	for _, t := range s.ordered {
		t.cold.assign(divideColdRate(v, t.entry.Zone, t.entry.ID), len(v.Peers)+len(v.Silent), now)
	}
}

// observeKnowledge sets whether this instance cannot know which targets are cold: it has just
// started, or it was cut off from the store and from most others until lately.
func (s *service) observeKnowledge(listingReadAt, createdAt time.Duration, v *fleet.View, now time.Duration) {
	if now-listingReadAt >= staleListing && (len(v.Silent) >= len(v.Peers) || now < s.unsureUntil) {
		s.unsureUntil = now + startSpan
	}
	unsure := now-createdAt < startSpan || now < s.unsureUntil
	if unsure != s.unsure || s.unsureTargets != len(s.ordered) {
		s.unsure, s.unsureTargets = unsure, len(s.ordered)
		for _, t := range s.ordered {
			t.cold.setUnsure(unsure, now)
		}
	}
}

// observeCold applies the result of an attempt that began at the given time. The caller holds
// the service's mutex.
func (b *Balancer) observeCold(t *target, result proxy.Result, began, now time.Duration) {
	switch result {
	case proxy.NotSent:
		t.cold.arrived(began)
		// An instance without any path says nothing of its targets.
		if !b.pathsLost() {
			t.cold.lost(now)
		}
	case proxy.Broken:
		t.cold.broken(now)
	case proxy.Answered, proxy.ServerError, proxy.Shed:
		t.cold.arrived(began)
		t.cold.reached(began, now)
	}
}

// StepCold applies what the configuration sets for cold targets, by service, and logs which
// targets have become cold or warm. It is called at short intervals.
func (b *Balancer) StepCold(rates map[string]ColdRate) {
	for name, rate := range rates {
		if rate.PerSecond > 0 {
			b.service(name)
		}
	}
	now := b.clock.SinceBoot()
	for _, s := range b.allServices() {
		s.mu.Lock()
		if rate := rates[s.name]; rate != s.coldRate {
			s.coldRate, s.reassign = rate, true
			for _, t := range s.ordered {
				t.cold.configure(rate)
			}
		}
		if s.coldRate.PerSecond > 0 {
			b.update(s, now)
			for _, t := range s.ordered {
				b.logCold(s, t, now)
			}
		}
		s.mu.Unlock()
	}
}

// logCold logs that the target has become cold or warm since the last call.
func (b *Balancer) logCold(s *service, t *target, now time.Duration) {
	c := &t.cold
	if cold := c.cold(now); cold != c.logged {
		c.logged = cold
		if !cold {
			event.TargetWarm.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Send()
			return
		}
		event.TargetCold.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Str("reason", c.reason).
			Dur("left", max(0, c.until-now)).Float64("per_second", c.PerSecond).Float64("share", c.shares.known).Send()
	}
}

// suspectZone marks all targets of a zone that was restored after an evacuation as possibly cold
// from now on. The caller holds mu.
func (s *service) suspectZone(zone string, now time.Duration) {
	for _, t := range s.ordered {
		if t.entry.Zone == zone {
			t.cold.suspect(coldRestored, now)
		}
	}
}
