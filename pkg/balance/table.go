package balance

import (
	"math/rand/v2"
	"sort"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/cespare/xxhash/v2"
)

// table holds the services built from one version of the configuration and one
// of the membership, which config and membership give.
type table struct {
	config, membership int64
	services           map[string]*service
}

// current returns the table of the current View; it rebuilds the table if the
// configuration or the membership has changed.
func (b *Balancer) current() *table {
	view := b.viewer.View()
	var members int64
	if view.Membership != nil {
		members = view.Membership.Version
	}
	if t := b.table.Load(); t != nil && t.config == view.Config.Version && t.membership == members {
		return t
	}
	b.tableMu.Lock()
	defer b.tableMu.Unlock()
	previous := b.table.Load()
	if previous != nil && previous.config == view.Config.Version && previous.membership == members {
		return previous
	}
	b.collector.Retain(view.Config.Config.Services)
	routes := view.Config.Config.Routes
	b.budgets.retain(func(route string) bool {
		_, ok := routes[route]
		return ok
	})
	next := &table{config: view.Config.Version, membership: members, services: map[string]*service{}}
	for name, svc := range view.Config.Config.Services {
		var old *service
		if previous != nil {
			old = previous.services[name]
		}
		next.services[name] = b.buildService(name, svc, view, old)
	}
	b.table.Store(next)
	return next
}

// buildService updates the old service in place, so that attempts in flight remain
// counted, or makes a new one if old is nil.
func (b *Balancer) buildService(name string, svc config.Service, view *control.View, old *service) *service {
	members := 1
	if view.Membership != nil {
		members = max(len(view.Membership.Members), 1)
	}
	if old != nil {
		old.mu.Lock()
		defer old.mu.Unlock()
		old.update(b.collector, svc, members)
		return old
	}
	s := &service{
		name: name, zone: view.Self.Zone,
		random: rand.New(rand.NewPCG(b.seed, xxhash.Sum64String(name))),
	}
	s.update(b.collector, svc, members)
	return s
}

// update applies the configuration to the targets. Targets that remain configured
// keep their object, so that open attempts remain counted.
func (s *service) update(collector *health.Collector, svc config.Service, members int) {
	known := make(map[string]*target, len(s.targets))
	for _, t := range s.targets {
		known[t.name] = t
	}
	s.members = members
	s.appliedStandings = nil
	s.targets = make([]*target, 0, len(svc.Targets))
	for name, c := range svc.Targets {
		t := known[name]
		if t == nil {
			t = &target{name: name}
		}
		// The collector may have dropped and re-created the observations.
		t.observed = collector.Target(s.name, name)
		t.address, t.zone, t.slots = c.Address, c.Zone, max(c.Slots, 1)
		t.leaving, t.evacuated = c.Leaving, c.Evacuated
		t.connectionLimit = max(c.MaxConnections/members, 1)
		s.targets = append(s.targets, t)
	}
	sort.Slice(s.targets, func(i, j int) bool { return s.targets[i].name < s.targets[j].name })
}
