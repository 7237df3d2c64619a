package dispatchsim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/balance"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/dispatch"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/rs/zerolog"
)

const (
	instances     = 48
	maxWitnesses  = 15
	probeInterval = time.Second
	// probePollInterval is the time between two checks of an instance for due probes.
	probePollInterval = 50 * time.Millisecond
	// A message between instances takes peerNetworkDelay plus an exponentially
	// distributed jitter with mean peerJitter. One message in slowMessageOneIn is also
	// delayed by a pause of a process, which adds a jitter with mean slowJitter.
	peerNetworkDelay = 1500 * time.Microsecond
	peerJitter       = 50 * time.Microsecond
	slowMessageOneIn = 1000
	slowJitter       = 5 * time.Millisecond
)

// viewer implements control.Viewer with the view of one instance, which changes
// with the membership.
type viewer struct{ view *control.View }

// View returns the current view.
func (v *viewer) View() *control.View { return v.view }

// instance is one instance of the fleet.
type instance struct {
	viewer     *viewer
	balancer   proxy.Balancer
	follower   *health.Follower
	reporter   *health.Reporter
	evaluator  *health.Evaluator
	dispatcher *dispatch.Dispatcher
	// down is set once the instance has crashed.
	down bool
	// frozenUntil is the time until which messages to the dispatcher wait.
	frozenUntil time.Duration
	// breakers holds the circuit breaker for the calls to each other dispatcher.
	breakers map[*instance]*dispatch.Breaker
	// pendingReleases holds the ids of the requests whose slots the next message
	// releases.
	pendingReleases map[dispatcherKey][]uint64
	// releaseScheduled is set while a message that only releases slots is scheduled.
	releaseScheduled map[dispatcherKey]bool
	// busyUntil is the time until which a service counts as busy.
	busyUntil map[dispatcherKey]time.Duration
}

// dispatcherKey identifies a service at one of its dispatchers.
type dispatcherKey struct {
	to      *instance
	service string
}

func (i *instance) incarnation() string { return i.viewer.view.Self.Incarnation }

func (sim *simulation) buildConfig() *config.Config {
	c := config.Empty()
	for _, s := range sim.deployment.Services {
		svc := config.Service{
			FloorPercent: s.FloorPercent, Profile: s.Profile, HealthPath: "/health",
			ProbeIntervalMS: int(probeInterval.Milliseconds()), Targets: map[string]config.Target{},
		}
		for i := range s.Targets {
			svc.Targets[fmt.Sprintf("%s%02d", s.Name, i)] = config.Target{
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: sim.zone(i), Slots: s.Slots, MaxConnections: s.MaxConnections,
			}
		}
		c.Services[s.Name] = svc
	}
	for _, r := range sim.deployment.Routes {
		c.Routes[r.Name] = config.Route{PathPrefix: r.Path, Service: r.Service, OpenToAll: true, Idempotent: r.Idempotent}
	}
	for name, share := range sim.deployment.Batches {
		c.Batches[name] = config.Batch{Share: share}
	}
	return c
}

func (sim *simulation) zone(i int) string { return sim.deployment.Zones[i%len(sim.deployment.Zones)] }

func (sim *simulation) buildFleet() {
	members := make([]membership.Member, instances)
	for i := range members {
		members[i] = membership.Member{
			Incarnation: fmt.Sprintf("i%02d-%d", i, sim.seed), Instance: fmt.Sprintf("i%02d", i), Zone: sim.zone(i),
		}
	}
	sim.membership = (&membership.Membership{}).NextVersion(members, nil, maxWitnesses)
	sim.config = config.NewSnapshot(1, sim.buildConfig())
	sim.byIncarnation = map[string]*instance{}
	for n, member := range members {
		i := sim.newInstance(n, member)
		sim.instances = append(sim.instances, i)
		sim.byIncarnation[member.Incarnation] = i
	}
	sim.assignDispatchers()
}

// newInstance creates an instance and schedules its reports, evaluations and
// probes.
func (sim *simulation) newInstance(n int, member membership.Member) *instance {
	log := zerolog.Nop()
	v := &viewer{&control.View{Config: sim.config, Membership: sim.membership, Self: member, Member: true}}
	i := &instance{
		viewer: v, breakers: map[*instance]*dispatch.Breaker{},
		pendingReleases: map[dispatcherKey][]uint64{}, releaseScheduled: map[dispatcherKey]bool{}, busyUntil: map[dispatcherKey]time.Duration{},
	}
	collector := health.NewCollector(sim.engine)
	i.follower = health.NewFollower(sim.engine, v, collector, &log)
	i.reporter = health.NewReporter(sim.engine, v, collector, i.follower)
	i.evaluator = health.NewEvaluator(sim.engine, v, &log)
	seed := sim.seed<<8 + uint64(n)
	if sim.policy == RoundRobin {
		i.balancer = balance.NewBaseline(sim.engine, v)
	} else {
		i.balancer = balance.New(sim.engine, v, collector, i.follower, seed)
	}
	i.dispatcher = dispatch.NewDispatcher(sim.engine, v, i.follower, sim.dispatchOptions(seed))
	i.dispatcher.SetUnresponsiveCheck(func(m membership.Member) bool { return i.breaker(sim.byIncarnation[m.Incarnation]).Unresponsive() })
	phase := time.Duration(sim.random.Int64N(int64(health.ReportInterval)))
	sim.engine.Every(phase, health.ReportInterval, func() { sim.report(i) })
	sim.engine.Every(phase, health.ReportInterval, i.evaluator.EvaluateAll)
	sim.engine.Every(phase, probePollInterval, func() { sim.probe(i) })
	return i
}

func (sim *simulation) dispatchOptions(seed uint64) dispatch.Options {
	return dispatch.Options{Seed: seed, AlwaysReserve: sim.policy == ReserveAll}
}

// assignDispatchers determines the dispatchers of each service in the current
// membership.
func (sim *simulation) assignDispatchers() {
	sim.dispatchers = map[string][]*instance{}
	for _, s := range sim.deployment.Services {
		for _, member := range health.EvaluatorsOf(sim.membership, s.Name) {
			sim.dispatchers[s.Name] = append(sim.dispatchers[s.Name], sim.byIncarnation[member.Incarnation])
		}
	}
}

// crash stops the dispatcher of each service. The membership drops them after
// removalDelay.
func (sim *simulation) crash() {
	var removed []string
	for _, dispatchers := range sim.dispatchers {
		if i := dispatchers[0]; !i.down {
			i.down = true
			removed = append(removed, i.incarnation())
		}
	}
	sim.instances = slices.DeleteFunc(sim.instances, func(i *instance) bool { return i.down })
	sim.engine.After(removalDelay, func() {
		sim.membership = sim.membership.NextVersion(nil, removed, maxWitnesses)
		for _, i := range sim.instances {
			next := *i.viewer.view
			next.Membership = sim.membership
			i.viewer.view = &next
		}
		sim.assignDispatchers()
	})
}

// freeze stops the dispatchers from handling messages for Scenario.Freeze.
func (sim *simulation) freeze() {
	for _, dispatchers := range sim.dispatchers {
		dispatchers[0].frozenUntil = sim.engine.SinceBoot() + sim.scenario.Freeze
	}
}

// deliver runs handle when a message to the dispatcher arrives at an instance that
// is not down, or when the freeze of the instance ends.
func (sim *simulation) deliver(to *instance, handle func()) {
	sim.engine.After(sim.peerDelay(), func() {
		switch {
		case to.down:
		case sim.engine.SinceBoot() < to.frozenUntil:
			sim.engine.After(to.frozenUntil-sim.engine.SinceBoot(), handle)
		default:
			handle()
		}
	})
}

// peerDelay returns the delay of one message between instances.
func (sim *simulation) peerDelay() time.Duration {
	d := peerNetworkDelay + time.Duration(sim.random.ExpFloat64()*float64(peerJitter))
	if sim.random.IntN(slowMessageOneIn) == 0 {
		d += time.Duration(sim.random.ExpFloat64() * float64(slowJitter))
	}
	return d
}

// report sends the health reports of an instance to the evaluators and applies
// their replies.
func (sim *simulation) report(i *instance) {
	if i.down {
		return
	}
	outgoing := i.reporter.Collect()
	sort.Slice(outgoing, func(a, b int) bool {
		return strings.Compare(outgoing[a].To.Incarnation, outgoing[b].To.Incarnation) < 0
	})
	for _, out := range outgoing {
		to := sim.byIncarnation[out.To.Incarnation]
		sim.engine.After(sim.peerDelay(), func() {
			if to.down {
				return
			}
			reply := to.evaluator.HandleReport(out.Request)
			sim.engine.After(sim.peerDelay(), func() { i.follower.ApplyReply(out.To.Incarnation, out.CreatedAt, reply) })
		})
	}
}

// probe sends the due probes of an instance.
func (sim *simulation) probe(i *instance) {
	if i.down {
		return
	}
	due := i.evaluator.DueProbes()
	sort.Slice(due, func(a, b int) bool { return due[a].Target < due[b].Target })
	for _, task := range due {
		sim.targets[task.Target].probe(func(status health.ProbeStatus) { i.evaluator.ProbeDone(task, status) })
	}
}

func (sim *simulation) buildTargets() {
	sim.targets = map[string]*target{}
	for _, s := range sim.deployment.Services {
		for i := range s.Targets {
			name := fmt.Sprintf("%s%02d", s.Name, i)
			sim.targets[name] = &target{
				simulation: sim, slots: s.Slots, medianServiceTime: s.MedianServiceTime,
				random: rand.New(rand.NewPCG(sim.seed, uint64(len(sim.targets)))),
			}
		}
	}
}
