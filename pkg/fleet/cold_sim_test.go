package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// The platform's bound for cold targets: in any second, warmupExcess times the rate and
// warmupSlack more requests arrive. A listing is up to listingAge old.
const (
	warmupExcess = 1.5
	warmupSlack  = 8
	listingAge   = 2 * time.Second
	reportEvery  = 1500 * time.Millisecond
	// slowInterval is that of pkg/fleet: instances that were separated hear each other again
	// within it.
	slowInterval = 3 * time.Second
	// relayMaxAge is that of pkg/edge.
	relayMaxAge = 1350 * time.Millisecond
	coldStep    = 5 * time.Millisecond
)

var nopLog = zerolog.Nop()

// coldFleet is a fleet of real balancers and real views in front of targets that become cold,
// in virtual time.
type coldFleet struct {
	rng       *rand.Rand
	clock     *clock.Manual
	warmup    time.Duration
	perSecond float64
	demand    float64 // requests per second at each serving instance
	loss      float64 // share of the heartbeats that is lost
	instances []*coldInstance
	targets   []*coldTarget
	// cut reports whether two instances do not hear each other, separated whether there are any.
	cut       func(a, b string) bool
	separated bool
	// joinedAt is the time since boot at which a separation last ended.
	joinedAt time.Duration
	// passedOn are the listings in heartbeats, by their digests.
	passedOn []*discovery.Catalogue
	// later holds what happens at a time.
	later []coldEvent
}

type coldEvent struct {
	at time.Duration
	do func()
}

// coldInstance is one instance; it is replaced by a restart.
type coldInstance struct {
	*fleet.Fleet
	*placement.Balancer
	sim       *coldFleet
	self      fleet.Member
	down      bool
	catalogue *discovery.Catalogue
	// readAt is the time since boot of its last own listing.
	readAt time.Duration
	// cutOff says that it does not reach the store.
	cutOff bool
	// unreached are the targets that it cannot connect to.
	unreached map[string]bool
}

func (n *coldInstance) Catalogue() *discovery.Catalogue { return n.catalogue }
func (n *coldInstance) View() *fleet.View               { return n.Fleet.View() }

// coldTarget is a target as it is, and its entry in the store.
type coldTarget struct {
	entry      discovery.Target
	version    int64
	up, listed bool
	coldUntil  time.Duration
	reportAt   time.Duration
	countFrom  time.Duration
	arrivals   []time.Duration
}

func newColdFleet(seed uint64, perZone, zones, targetsPerZone int, perSecond float64, warmup time.Duration) *coldFleet {
	s := &coldFleet{
		rng: rand.New(rand.NewPCG(seed, 2)), clock: clock.NewManual(time.Unix(0, 0)), warmup: warmup, perSecond: perSecond,
		demand: 60, cut: func(string, string) bool { return false },
	}
	s.clock.Advance(time.Hour)
	for i := range targetsPerZone * zones {
		s.targets = append(s.targets, &coldTarget{up: true, listed: true, version: int64(i), entry: discovery.Target{
			ID: fmt.Sprintf("t%02d", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:1", i), Zone: fmt.Sprint(i % zones), Slots: 6,
		}})
	}
	for i := range perZone * zones {
		name := fmt.Sprintf("e%02d", i)
		s.instances = append(s.instances, &coldInstance{sim: s, self: fleet.Member{
			Instance: name, Zone: fmt.Sprint(i % zones), GossipAddress: name, CallerAddress: "c-" + name, Capacity: 100,
		}})
	}
	for i := range s.instances {
		s.start(i)
	}
	return s
}

// start starts an instance, or starts it anew.
func (s *coldFleet) start(i int) {
	old := s.instances[i]
	n := &coldInstance{sim: s, self: old.self, unreached: old.unreached}
	if n.unreached == nil {
		n.unreached = map[string]bool{}
	}
	n.self.Incarnation++
	n.catalogue = &discovery.Catalogue{Services: map[string][]*discovery.Entry{}}
	n.Balancer = placement.New(s.clock, n, n, &nopLog)
	n.Fleet = fleet.New(fleet.Options{
		Self: n.self, Clock: s.clock, Transport: n, StateExchangers: []fleet.StateExchanger{n.Balancer, relay{n}}, Rate: n.Rate,
		Ready: func() bool { return n.catalogue.Version > 0 }, OnStep: n.step, Log: &nopLog,
	})
	n.OnCold = func() { s.after(0, func() { n.Push(true) }) }
	s.instances[i] = n
	var listed []fleet.Member
	for _, m := range s.instances {
		listed = append(listed, m.self)
	}
	n.JoinNow(listed)
	s.list(n)
}

func (n *coldInstance) step() {
	n.StepCold(map[string]placement.ColdRate{"s": {Warmup: n.sim.warmup, PerSecond: n.sim.perSecond}})
}

// Send delivers a datagram after a while, unless it is lost.
func (n *coldInstance) Send(address string, data []byte) {
	s := n.sim
	if n.down || s.rng.Float64() < s.loss || s.cut(n.self.Instance, address) {
		return
	}
	s.after(time.Duration(1+s.rng.IntN(15))*time.Millisecond, func() {
		for _, to := range s.instances {
			if to.self.Instance == address && !to.down {
				to.Receive(data)
			}
		}
	})
}

func (s *coldFleet) after(d time.Duration, do func()) {
	s.later = append(s.later, coldEvent{s.clock.SinceBoot() + d, do})
}

// list reads the listing at a lister, and at an instance whose listing is old.
func (s *coldFleet) list(n *coldInstance) {
	now := s.clock.SinceBoot()
	if n.down || n.cutOff || !(n.isLister() || now-n.catalogue.ReadAt >= relayMaxAge) {
		return
	}
	listed := discovery.Listed{RowVersions: map[string]int64{}}
	next := &discovery.Catalogue{Version: n.catalogue.Version + 1, ReadAt: now, Services: map[string][]*discovery.Entry{}}
	for _, t := range s.targets {
		if t.listed {
			listed.Targets = append(listed.Targets, t.entry)
			listed.RowVersions[t.entry.ID] = t.version
			entry := t.entry
			entry.WarmupLeft = 0
			next.Services["s"] = append(next.Services["s"], &discovery.Entry{Target: entry})
		}
	}
	n.catalogue = next
	n.readAt = now
	n.ObserveListing(listed, now, now)
}

// relay passes a listing on in heartbeats, without the warm-up of targets.
type relay struct{ *coldInstance }

func (r relay) Fill(h *peerpb.Heartbeat, to fleet.Audience) {
	if now := r.sim.clock.SinceBoot(); r.catalogue.ReadAt == r.readAt || !to.Serving() {
		h.Listing = &peerpb.Listing{Digest: uint64(len(r.sim.passedOn)), AgeMs: uint32((now - r.catalogue.ReadAt).Milliseconds())}
		r.sim.passedOn = append(r.sim.passedOn, r.catalogue)
	}
}

func (r relay) Merge(_ string, h *peerpb.Heartbeat) {
	if h.Listing == nil || r.sim.passedOn[h.Listing.Digest].ReadAt <= r.catalogue.ReadAt {
		return
	}
	copied := *r.sim.passedOn[h.Listing.Digest]
	copied.Version = r.catalogue.Version + 1
	r.catalogue = &copied
}

// isLister reports whether the instance knows of fewer than two serving instances before it
// that read the store.
func (n *coldInstance) isLister() bool {
	before := 0
	for _, m := range n.View().Peers {
		i := slices.IndexFunc(n.sim.instances, func(o *coldInstance) bool { return o.self.Instance == m.Instance })
		if m.Instance < n.self.Instance && !n.sim.instances[i].cutOff {
			before++
		}
	}
	return before < 2
}

// report writes a target's entry.
func (t *coldTarget) report(now time.Duration) {
	t.version += 1000
	t.reportAt = now + reportEvery
	t.entry.WarmupLeft = max(0, t.coldUntil-now)
}

// setCold makes a target cold, as its entry says at once; counted from the given time on.
func (s *coldFleet) setCold(t *coldTarget, countFrom time.Duration) {
	now := s.clock.SinceBoot()
	t.coldUntil, t.countFrom = now+s.warmup, countFrom
	t.report(now)
}

// run advances the fleet.
func (s *coldFleet) run(d time.Duration) {
	for end := s.clock.SinceBoot() + d; s.clock.SinceBoot() < end; {
		s.clock.Advance(coldStep)
		now := s.clock.SinceBoot()
		for _, t := range s.targets {
			if now >= t.reportAt && t.up {
				t.report(now)
			}
			if t.listed && now-t.reportAt > 2*reportEvery { // three reports are missing
				t.listed = false
			}
		}
		due := s.later
		s.later = nil
		for _, e := range due {
			if e.at <= now {
				e.do()
			} else {
				s.later = append(s.later, e)
			}
		}
		for i, n := range s.instances {
			phase := time.Duration(i*37) * time.Millisecond
			if n.down {
				continue
			}
			if (now+phase)%(250*time.Millisecond) < coldStep {
				n.Recheck()
			}
			if (now+phase)%(500*time.Millisecond) < coldStep || ((now+phase)%(125*time.Millisecond) < coldStep && now-n.catalogue.ReadAt >= relayMaxAge) {
				s.list(n)
			}
			demand := s.demand
			if !n.View().Serving {
				demand /= 20
			}
			for requests := demand * coldStep.Seconds(); requests > s.rng.Float64(); requests-- {
				s.send(n, now)
			}
		}
	}
}

// send sends a request through an instance.
func (s *coldFleet) send(n *coldInstance, now time.Duration) {
	a := n.AcquireNow(proxy.Request{Service: "s", Idempotent: s.rng.IntN(2) == 0, Objective: time.Second, Deadline: now + 2*time.Second}, nil)
	if a == nil {
		return
	}
	t := s.targets[slices.IndexFunc(s.targets, func(t *coldTarget) bool { return t.entry.ID == a.Target() })]
	connect := time.Duration(1+s.rng.IntN(60)) * time.Millisecond
	if !t.up || n.unreached[t.entry.ID] {
		s.after(connect, func() { a.Done(proxy.NotSent, 0, proxy.Load{}) })
		return
	}
	s.after(connect, func() {
		now := s.clock.SinceBoot()
		if !t.up {
			a.Done(proxy.Broken, connect, proxy.Load{})
			return
		}
		if now >= t.countFrom && now < t.coldUntil {
			t.arrivals = append(t.arrivals, now)
		}
		s.after(time.Duration(100+s.rng.IntN(400))*time.Millisecond, func() {
			result := proxy.Answered
			if !t.up {
				result = proxy.Broken
			}
			a.Done(result, 300*time.Millisecond, proxy.Load{})
		})
	})
}

// knownFrom returns the time since boot from which all instances can know that a target has
// come back now. One that did not use it meanwhile is told by others, or by the listing.
func (s *coldFleet) knownFrom() time.Duration {
	if s.separated || s.clock.SinceBoot()-s.joinedAt < slowInterval {
		return s.clock.SinceBoot() + listingAge
	}
	return s.clock.SinceBoot()
}

// The kinds of faults, and those of them that make targets cold.
const (
	faults           = 12
	firstTargetFault = 6
	lastTargetFault  = 9
)

// fault does one thing of those that happen to a fleet.
func (s *coldFleet) fault(kind int) {
	now := s.clock.SinceBoot()
	n := s.rng.IntN(len(s.instances))
	t := s.targets[s.rng.IntN(len(s.targets))]
	switch kind {
	case 0: // a partition between instances, into two or three parts
		part, parts := map[string]int{}, 2+s.rng.IntN(2)
		for _, m := range s.instances {
			part[m.self.Instance] = s.rng.IntN(parts)
		}
		s.cut, s.separated = func(a, b string) bool { return part[a] != part[b] }, true
	case 1:
		if s.separated {
			s.joinedAt = now
		}
		s.cut, s.separated = func(string, string) bool { return false }, false
	case 2: // each instance is alone
		s.cut, s.separated = func(a, b string) bool { return a != b }, true
	case 3:
		s.instances[n].down = true
	case 4:
		s.start(n)
	case 5: // an instance loses the store, or has it again
		s.instances[n].cutOff = !s.instances[n].cutOff
	case 6: // a target restarts; after less than a second, only the listing tells all of it
		if !t.up {
			return
		}
		t.up = false
		s.after(time.Duration(1000+s.rng.IntN(3000))*time.Millisecond, func() {
			t.up, t.listed = true, true
			t.entry.Started++
			s.setCold(t, s.knownFrom())
		})
	case 7: // a target is cold again by itself
		if t.up {
			s.setCold(t, now+listingAge)
		}
	case 8: // a target is not reached for a while, and cold afterwards
		if !t.up {
			return
		}
		t.up = false
		s.after(time.Duration(1500+s.rng.IntN(3000))*time.Millisecond, func() {
			t.up, t.listed = true, true
			s.setCold(t, s.knownFrom())
		})
	case 9: // all targets of a zone are not listed for a while, and cold afterwards
		zone := t.entry.Zone
		for _, t := range s.targets {
			if t.entry.Zone == zone && t.listed {
				t.listed = false
				s.after(2500*time.Millisecond, func() {
					t.listed = true
					s.setCold(t, s.clock.SinceBoot())
				})
			}
		}
	case 10: // an instance cannot connect to a target, or can again
		s.instances[n].unreached[t.entry.ID] = !s.instances[n].unreached[t.entry.ID]
	case 11:
		s.loss = 0.2 - s.loss
	}
}
