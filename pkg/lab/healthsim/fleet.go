package healthsim

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/balance"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/rs/zerolog"
)

const (
	instances     = 48
	floorPercent  = 70
	maxWitnesses  = 15
	probeInterval = time.Second
	// probePollInterval is the time between two checks of an instance for due probes.
	probePollInterval = 50 * time.Millisecond
)

// serviceSpec describes one service of the simulated deployments.
type serviceSpec struct {
	name           string
	targets, slots int
	connections    int
	profile        config.Profile
	zones          int
	// idempotentFraction is the fraction of the requests that are idempotent.
	idempotentFraction float64
	// faultyTargets is the number of targets that a fault affects, unless it affects
	// all targets.
	faultyTargets int
}

// serviceSpecs are the services of both deployments of the design page (the print
// works and Skyline).
var serviceSpecs = []serviceSpec{
	{"portal", 30, 2, 400, config.ProfileCareful, 4, 0.6, 3},
	{"payments", 8, 2, 400, config.ProfileCareful, 4, 0, 1},
	{"booking", 25, 4, 350, config.ProfileFast, 3, 0.6, 3},
	{"manifest", 6, 4, 350, config.ProfileFast, 3, 0.3, 1},
}

// fixedViewer implements control.Viewer with the view of one instance, which does
// not change during a run.
type fixedViewer struct{ view *control.View }

// View returns the fixed view.
func (v fixedViewer) View() *control.View { return v.view }

// instance is one instance of the fleet. With BaselinePolicy it has only balancer
// and baseline, which are the same; otherwise baseline is nil.
type instance struct {
	balancer  proxy.Balancer
	follower  *health.Follower
	reporter  *health.Reporter
	evaluator *health.Evaluator
	baseline  *balance.Baseline
}

// ejected reports whether the instance sends no ordinary requests to the target:
// the target is ejected or on trial.
func (i *instance) ejected(service, target string) bool {
	if i.baseline != nil {
		return i.baseline.Ejected(service, target)
	}
	standings := i.follower.Standings(service)
	if standings == nil {
		return false
	}
	state := standings.Targets[target].State
	return state == peerpb.TargetState_TARGET_STATE_EJECTED || state == peerpb.TargetState_TARGET_STATE_TRIAL
}

func zoneName(i, zones int) string { return string(rune('a' + i%zones)) }

func buildConfig() *config.Config {
	c := config.Empty()
	for _, s := range serviceSpecs {
		svc := config.Service{
			FloorPercent: floorPercent, Profile: s.profile, HealthPath: "/health",
			ProbeIntervalMS: int(probeInterval.Milliseconds()), Targets: map[string]config.Target{},
		}
		for i := range s.targets {
			svc.Targets[fmt.Sprintf("%s%02d", s.name, i)] = config.Target{
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Zone: zoneName(i, s.zones),
				Slots: s.slots, MaxConnections: s.connections,
			}
		}
		c.Services[s.name] = svc
		c.Routes[s.name] = config.Route{PathPrefix: "/" + s.name, Service: s.name, OpenToAll: true}
	}
	return c
}

// buildFleet creates the instances. They send their reports over the simulated
// network.
func (sim *simulation) buildFleet(policy Policy) {
	members := make([]membership.Member, instances)
	for i := range members {
		members[i] = membership.Member{
			Incarnation: fmt.Sprintf("i%02d-%d", i, sim.seed), Instance: fmt.Sprintf("i%02d", i), Zone: zoneName(i, 4),
		}
	}
	m := (&membership.Membership{}).NextVersion(members, nil, maxWitnesses)
	sim.config = buildConfig()
	snapshot := config.NewSnapshot(1, sim.config)
	log := zerolog.Nop()
	sim.byIncarnation = map[string]*instance{}
	for n, member := range members {
		v := fixedViewer{&control.View{Config: snapshot, Membership: m, Self: member, Member: true}}
		i := &instance{}
		if policy == BaselinePolicy {
			i.baseline = balance.NewBaseline(sim.engine, v)
			i.balancer = i.baseline
		} else {
			collector := health.NewCollector(sim.engine)
			i.follower = health.NewFollower(sim.engine, v, collector, &log)
			i.reporter = health.NewReporter(sim.engine, v, collector, i.follower)
			i.evaluator = health.NewEvaluator(sim.engine, v, &log)
			i.balancer = balance.New(sim.engine, v, collector, i.follower, sim.seed<<8+uint64(n))
			sim.startLoops(i)
		}
		sim.instances = append(sim.instances, i)
		sim.byIncarnation[member.Incarnation] = i
	}
}

// startLoops schedules the reports, evaluations and probes of an instance.
func (sim *simulation) startLoops(i *instance) {
	phase := time.Duration(sim.random.Int64N(int64(health.ReportInterval)))
	sim.engine.Every(phase, health.ReportInterval, func() { sim.report(i) })
	sim.engine.Every(phase, health.ReportInterval, i.evaluator.EvaluateAll)
	sim.engine.Every(phase, probePollInterval, func() { sim.probe(i) })
}

// report sends the health reports of an instance to the evaluators and applies
// their replies.
func (sim *simulation) report(i *instance) {
	outgoing := i.reporter.Collect()
	sort.Slice(outgoing, func(a, b int) bool { return outgoing[a].To.Incarnation < outgoing[b].To.Incarnation })
	for _, out := range outgoing {
		sim.engine.After(3*networkDelay, func() {
			reply := sim.byIncarnation[out.To.Incarnation].evaluator.HandleReport(out.Request)
			sim.engine.After(3*networkDelay, func() { i.follower.ApplyReply(out.To.Incarnation, out.CreatedAt, reply) })
		})
	}
}

// probe sends the due probes of an instance.
func (sim *simulation) probe(i *instance) {
	due := i.evaluator.DueProbes()
	sort.Slice(due, func(a, b int) bool { return due[a].Target < due[b].Target })
	for _, task := range due {
		sim.targets[task.Target].probe(func(status health.ProbeStatus) { i.evaluator.ProbeDone(task, status) })
	}
}

// buildTargets creates the targets and chooses at random which of them a fault
// affects.
func (sim *simulation) buildTargets() {
	sim.targets = map[string]*simTarget{}
	for _, s := range serviceSpecs {
		names := make([]string, 0, s.targets)
		for name := range sim.config.Services[s.name].Targets {
			names = append(names, name)
		}
		sort.Strings(names)
		for _, name := range names {
			sim.targets[name] = &simTarget{
				engine: sim.engine, name: name, slots: s.slots,
				random: rand.New(rand.NewPCG(sim.seed, uint64(len(sim.targets)))),
			}
		}
		sim.names[s.name] = names
		for _, i := range sim.random.Perm(s.targets)[:s.faultyTargets] {
			sim.affected[s.name] = append(sim.affected[s.name], names[i])
		}
	}
}
