package placement

import (
	"maps"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

// targetRun identifies one run of a target's process at one address.
type targetRun struct {
	id, address string
	started     int64
}

func runOf(e *discovery.Entry) targetRun { return targetRun{e.ID, e.Address, e.Started} }

// unlistedMemory is the time for which the state of a target is kept that is not in the
// catalogue. Its entry may lapse while the target cannot reach the platform's store; its
// process runs on, and what it stated and the requests that it has open still hold.
const unlistedMemory = 5 * time.Minute

// update applies the current catalogue and set of serving instances. The caller holds the
// service's mutex.
func (b *Balancer) update(s *service, now time.Duration) {
	catalogue, view := b.targets.Catalogue(), b.peers.View()
	for _, t := range s.update(catalogue, view, now) {
		b.closeConnections(t)
	}
	if s.coldRate.PerSecond > 0 {
		s.observeKnowledge(catalogue.ReadAt, b.createdAt, view, now)
	}
}

// update applies a new catalogue, set of serving instances or set of evacuated zones, and
// returns the targets that drain or are evacuated since. The caller holds mu.
func (s *service) update(c *discovery.Catalogue, v *fleet.View, now time.Duration) (draining []*target) {
	s.self = v.Self.Instance
	if s.sharesVersion != v.SharesVersion {
		s.sharesVersion = v.SharesVersion
		s.assignCold(v, now)
	}
	if s.catalogueVersion == c.Version && s.viewVersion == v.Version && len(s.ordered) > 0 {
		if gone, changed := s.evacuationChange(now); changed {
			s.assignPreferred(v, now)
			return gone
		}
		if s.reassign || (s.reassignAt > 0 && now >= s.reassignAt) {
			s.assignPreferred(v, now)
		}
		return nil
	}
	s.catalogueVersion, s.viewVersion = c.Version, v.Version
	draining, _ = s.evacuationChange(now)
	draining = append(draining, s.updateTargets(c.Services[s.name], now)...)
	s.assignPreferred(v, now)
	s.retryBudget.setServing(v.Serving, now)
	s.outcomes.forget(v)
	return draining
}

// updateTargets applies the entries of the catalogue. A target that was restarted or moved
// to another address begins without evidence. It returns those that drain since. The caller
// holds mu.
func (s *service) updateTargets(entries []*discovery.Entry, now time.Duration) (draining []*target) {
	s.ordered = s.ordered[:0]
	listed := make(map[string]*target, len(entries))
	for _, entry := range entries {
		run := runOf(entry)
		t := s.targets[entry.ID]
		if t == nil || runOf(t.entry) != run {
			t = s.unlisted[run]
		}
		if t == nil {
			t = newTarget(entry, now)
			s.inheritStatements(t)
		}
		t.cold.configure(s.coldRate)
		if s.seeded && (s.targets[entry.ID] != t) {
			// New, restarted, or listed again.
			t.cold.suspect(coldListed, now)
			t.cold.extend(entry.WarmUntil)
		}
		delete(s.unlisted, run)
		if entry.Draining && !t.entry.Draining {
			draining = append(draining, t)
		}
		t.entry, t.evacuations = entry, s.evacuations
		listed[entry.ID] = t
		s.ordered = append(s.ordered, t)
	}
	for id, t := range s.targets {
		if listed[id] != t {
			t.unlistedAt = now
			s.unlisted[runOf(t.entry)] = t
		}
	}
	maps.DeleteFunc(s.unlisted, func(_ targetRun, t *target) bool { return now-t.unlistedAt >= unlistedMemory })
	s.targets = listed
	s.seeded = s.seeded || len(listed) > 0
	return draining
}
