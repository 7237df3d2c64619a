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

func (w *world) buildConfig() *config.Config {
	c := config.Empty()
	for _, s := range w.deployment.Services {
		svc := config.Service{
			FloorPercent: s.FloorPercent, Profile: s.Profile, HealthPath: "/health",
			ProbeIntervalMS: int(probeInterval.Milliseconds()), Targets: map[string]config.Target{},
		}
		for i := range s.Targets {
			svc.Targets[fmt.Sprintf("%s%02d", s.Name, i)] = config.Target{
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: w.zone(i), Slots: s.Slots, MaxConnections: s.MaxConnections,
			}
		}
		c.Services[s.Name] = svc
	}
	for _, r := range w.deployment.Routes {
		c.Routes[r.Name] = config.Route{PathPrefix: r.Path, Service: r.Service, OpenToAll: true, Idempotent: r.Idempotent}
	}
	for name, share := range w.deployment.Batches {
		c.Batches[name] = config.Batch{Share: share}
	}
	return c
}

func (w *world) zone(i int) string { return w.deployment.Zones[i%len(w.deployment.Zones)] }

func (w *world) buildFleet() {
	members := make([]membership.Member, instances)
	for i := range members {
		members[i] = membership.Member{
			Incarnation: fmt.Sprintf("i%02d-%d", i, w.seed), Instance: fmt.Sprintf("i%02d", i), Zone: w.zone(i),
		}
	}
	w.membership = (&membership.Membership{}).NextVersion(members, nil, maxWitnesses)
	w.config = config.NewSnapshot(1, w.buildConfig())
	w.byIncarnation = map[string]*instance{}
	for n, member := range members {
		i := w.newInstance(n, member)
		w.instances = append(w.instances, i)
		w.byIncarnation[member.Incarnation] = i
	}
	w.assignDispatchers()
}

// newInstance creates an instance and schedules its reports, evaluations and
// probes.
func (w *world) newInstance(n int, member membership.Member) *instance {
	log := zerolog.Nop()
	v := &viewer{&control.View{Config: w.config, Membership: w.membership, Self: member, Member: true}}
	i := &instance{
		viewer: v, breakers: map[*instance]*dispatch.Breaker{},
		pendingReleases: map[dispatcherKey][]uint64{}, releaseScheduled: map[dispatcherKey]bool{}, busyUntil: map[dispatcherKey]time.Duration{},
	}
	collector := health.NewCollector(w.engine)
	i.follower = health.NewFollower(w.engine, v, collector, &log)
	i.reporter = health.NewReporter(w.engine, v, collector, i.follower)
	i.evaluator = health.NewEvaluator(w.engine, v, &log)
	seed := w.seed<<8 + uint64(n)
	if w.policy == RoundRobin {
		i.balancer = balance.NewBaseline(w.engine, v)
	} else {
		i.balancer = balance.New(w.engine, v, collector, i.follower, seed)
	}
	i.dispatcher = dispatch.NewDispatcher(w.engine, v, i.follower, w.dispatchOptions(seed))
	i.dispatcher.SetUnresponsiveCheck(func(m membership.Member) bool { return i.breaker(w.byIncarnation[m.Incarnation]).Unresponsive() })
	phase := time.Duration(w.random.Int64N(int64(health.ReportInterval)))
	w.engine.Every(phase, health.ReportInterval, func() { w.report(i) })
	w.engine.Every(phase, health.ReportInterval, i.evaluator.EvaluateAll)
	w.engine.Every(phase, probePollInterval, func() { w.probe(i) })
	return i
}

func (w *world) dispatchOptions(seed uint64) dispatch.Options {
	return dispatch.Options{Seed: seed, AlwaysReserve: w.policy == ReserveAll}
}

// assignDispatchers determines the dispatchers of each service in the current
// membership.
func (w *world) assignDispatchers() {
	w.dispatchers = map[string][]*instance{}
	for _, s := range w.deployment.Services {
		for _, member := range health.EvaluatorsOf(w.membership, s.Name) {
			w.dispatchers[s.Name] = append(w.dispatchers[s.Name], w.byIncarnation[member.Incarnation])
		}
	}
}

// crash stops the dispatcher of each service. The membership drops them after
// removalDelay.
func (w *world) crash() {
	var removed []string
	for _, dispatchers := range w.dispatchers {
		if i := dispatchers[0]; !i.down {
			i.down = true
			removed = append(removed, i.incarnation())
		}
	}
	w.instances = slices.DeleteFunc(w.instances, func(i *instance) bool { return i.down })
	w.engine.After(removalDelay, func() {
		w.membership = w.membership.NextVersion(nil, removed, maxWitnesses)
		for _, i := range w.instances {
			next := *i.viewer.view
			next.Membership = w.membership
			i.viewer.view = &next
		}
		w.assignDispatchers()
	})
}

// freeze stops the dispatchers from handling messages for Scenario.Freeze.
func (w *world) freeze() {
	for _, dispatchers := range w.dispatchers {
		dispatchers[0].frozenUntil = w.engine.SinceBoot() + w.scenario.Freeze
	}
}

// deliver runs handle when a message to the dispatcher arrives at an instance that
// is not down, or when the freeze of the instance ends.
func (w *world) deliver(to *instance, handle func()) {
	w.engine.After(w.peerDelay(), func() {
		switch {
		case to.down:
		case w.engine.SinceBoot() < to.frozenUntil:
			w.engine.After(to.frozenUntil-w.engine.SinceBoot(), handle)
		default:
			handle()
		}
	})
}

// peerDelay returns the delay of one message between instances.
func (w *world) peerDelay() time.Duration {
	d := peerNetworkDelay + time.Duration(w.random.ExpFloat64()*float64(peerJitter))
	if w.random.IntN(slowMessageOneIn) == 0 {
		d += time.Duration(w.random.ExpFloat64() * float64(slowJitter))
	}
	return d
}

// report sends the health reports of an instance to the evaluators and applies
// their replies.
func (w *world) report(i *instance) {
	if i.down {
		return
	}
	outgoing := i.reporter.Collect()
	sort.Slice(outgoing, func(a, b int) bool {
		return strings.Compare(outgoing[a].To.Incarnation, outgoing[b].To.Incarnation) < 0
	})
	for _, out := range outgoing {
		to := w.byIncarnation[out.To.Incarnation]
		w.engine.After(w.peerDelay(), func() {
			if to.down {
				return
			}
			reply := to.evaluator.HandleReport(out.Request)
			w.engine.After(w.peerDelay(), func() { i.follower.ApplyReply(out.To.Incarnation, out.CreatedAt, reply) })
		})
	}
}

// probe sends the due probes of an instance.
func (w *world) probe(i *instance) {
	if i.down {
		return
	}
	due := i.evaluator.DueProbes()
	sort.Slice(due, func(a, b int) bool { return due[a].Target < due[b].Target })
	for _, task := range due {
		w.targets[task.Target].probe(func(status health.ProbeStatus) { i.evaluator.ProbeDone(task, status) })
	}
}

func (w *world) buildTargets() {
	w.targets = map[string]*target{}
	for _, s := range w.deployment.Services {
		for i := range s.Targets {
			name := fmt.Sprintf("%s%02d", s.Name, i)
			w.targets[name] = &target{
				world: w, slots: s.Slots, medianServiceTime: s.MedianServiceTime,
				random: rand.New(rand.NewPCG(w.seed, uint64(len(w.targets)))),
			}
		}
	}
}
