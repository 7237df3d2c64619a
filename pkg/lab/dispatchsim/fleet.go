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
	probePoll     = 50 * time.Millisecond
	// Messages between instances take peerNetwork one way plus an exponential
	// jitter; one in slowOneIn also meets a pause of a process.
	peerNetwork = 1500 * time.Microsecond
	peerJitter  = 50 * time.Microsecond
	slowOneIn   = 1000
	slowJitter  = 5 * time.Millisecond
)

// viewer is the View of one instance.
type viewer struct{ view *control.View }

// View returns the current view.
func (v *viewer) View() *control.View { return v.view }

type instance struct {
	viewer     *viewer
	balancer   proxy.Balancer
	follower   *health.Follower
	reporter   *health.Reporter
	evaluator  *health.Evaluator
	dispatcher *dispatch.Dispatcher
	down       bool
	// frozenUntil is the time until which messages wait.
	frozenUntil time.Duration
	paths       map[*instance]*dispatch.Breaker
	releases    map[releaseKey][]uint64
	flushing    map[releaseKey]bool
	busyUntil   map[releaseKey]time.Duration
}

type releaseKey struct {
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
	w.assign()
}

func (w *world) newInstance(n int, member membership.Member) *instance {
	log := zerolog.Nop()
	v := &viewer{&control.View{Config: w.config, Membership: w.membership, Self: member, Member: true}}
	i := &instance{
		viewer: v, paths: map[*instance]*dispatch.Breaker{},
		releases: map[releaseKey][]uint64{}, flushing: map[releaseKey]bool{}, busyUntil: map[releaseKey]time.Duration{},
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
	i.dispatcher = dispatch.NewDispatcher(w.engine, v, i.follower, w.options(seed))
	i.dispatcher.SetUnresponsiveCheck(func(m membership.Member) bool { return i.path(w.byIncarnation[m.Incarnation]).Unresponsive() })
	phase := time.Duration(w.random.Int64N(int64(health.ReportInterval)))
	w.engine.Every(phase, health.ReportInterval, func() { w.report(i) })
	w.engine.Every(phase, health.ReportInterval, i.evaluator.EvaluateAll)
	w.engine.Every(phase, probePoll, func() { w.probe(i) })
	return i
}

func (w *world) options(seed uint64) dispatch.Options {
	return dispatch.Options{Seed: seed, AlwaysReserve: w.policy == ReserveAll}
}

// assign finds the dispatchers of each service in the current membership.
func (w *world) assign() {
	w.dispatchers = map[string][]*instance{}
	for _, s := range w.deployment.Services {
		for _, member := range health.EvaluatorsOf(w.membership, s.Name) {
			w.dispatchers[s.Name] = append(w.dispatchers[s.Name], w.byIncarnation[member.Incarnation])
		}
	}
}

// crash stops the dispatchers; the membership follows later.
func (w *world) crash() {
	var gone []string
	for _, dispatchers := range w.dispatchers {
		if i := dispatchers[0]; !i.down {
			i.down = true
			gone = append(gone, i.incarnation())
		}
	}
	w.instances = slices.DeleteFunc(w.instances, func(i *instance) bool { return i.down })
	w.engine.After(removeAfter, func() {
		w.membership = w.membership.NextVersion(nil, gone, maxWitnesses)
		for _, i := range w.instances {
			next := *i.viewer.view
			next.Membership = w.membership
			i.viewer.view = &next
		}
		w.assign()
	})
}

// freeze stops the dispatchers from handling messages for a while.
func (w *world) freeze() {
	for _, dispatchers := range w.dispatchers {
		dispatchers[0].frozenUntil = w.engine.SinceBoot() + w.scenario.Freeze
	}
}

// deliver runs the handling of a message at an instance, unless it is down.
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

// peerDelay is the time of one message between instances.
func (w *world) peerDelay() time.Duration {
	d := peerNetwork + time.Duration(w.random.ExpFloat64()*float64(peerJitter))
	if w.random.IntN(slowOneIn) == 0 {
		d += time.Duration(w.random.ExpFloat64() * float64(slowJitter))
	}
	return d
}

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
				world: w, slots: s.Slots, median: s.Median,
				random: rand.New(rand.NewPCG(w.seed, uint64(len(w.targets)))),
			}
		}
	}
}
