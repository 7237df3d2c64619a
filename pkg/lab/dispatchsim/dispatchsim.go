// Package dispatchsim simulates the print works in one goroutine and in
// simulated time, to compare ways to choose targets. It runs the product's own
// collectors, evaluators, followers, balancers and dispatchers. The instances
// wait for the dispatcher by events instead of goroutines, with dispatch.Path
// for the bounds; the rest of that step repeats dispatch.Balancer.
package dispatchsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/eventsim"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Policy is a way to choose targets.
type Policy string

// Policies.
const (
	RoundRobin Policy = "round-robin"
	// TwoChoices is balance.Balancer alone.
	TwoChoices Policy = "two-choices"
	// ReserveAll asks the dispatcher for every request.
	ReserveAll Policy = "reserve-all"
	// ReserveNonIdempotent asks it for non-idempotent requests only, and for all
	// while the service is busy. Two choices place the others, and the
	// dispatcher is told where.
	ReserveNonIdempotent Policy = "reserve-non-idempotent"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{RoundRobin, TwoChoices, ReserveAll, ReserveNonIdempotent}
}

// Scenario is the load and the fault of a run.
type Scenario struct {
	Name string
	// Load is the offered load as a share of all slots.
	Load float64
	// HeavyFactor multiplies the rate of the heavy team; 0 means 1.
	HeavyFactor float64
	// Crash stops the dispatchers of both services at crashAt.
	Crash bool
	// Freeze stops both dispatchers from answering at crashAt for this time.
	Freeze time.Duration
}

// Times of a run. Figures cover the time from warmUp on. A crashed instance is
// removed from the membership after removeAfter.
const (
	warmUp      = 3 * time.Second
	runFor      = 23 * time.Second
	crashAt     = 10 * time.Second
	removeAfter = 3200 * time.Millisecond
	// crashWindow is the time after a crash that is shown by itself.
	crashWindow = time.Second
)

// heavyTeam sends HeavyFactor times its rate. All other teams stay within the
// share of their batch then, so that each is entitled to its rate.
const heavyTeam = "clerks"

// Scenarios lists the scenarios to compare.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load-60", Load: 0.6},
		{Name: "load-80", Load: 0.8},
		{Name: "load-95", Load: 0.95},
		{Name: "load-95-heavy-team", Load: 0.95, HeavyFactor: 5},
		{Name: "load-60-crash", Load: 0.6, Crash: true},
		{Name: "load-60-freeze", Load: 0.6, Freeze: 400 * time.Millisecond},
	}
}

type world struct {
	engine        *eventsim.Engine
	random        *rand.Rand
	seed          uint64
	policy        Policy
	scenario      Scenario
	deployment    deployment.Deployment
	config        *config.Snapshot
	membership    *membership.Membership
	dispatchers   map[string][]*instance
	instances     []*instance
	byIncarnation map[string]*instance
	targets       map[string]*target
	ids           uint64
	result        Result
}

// Result holds the figures of one or several runs.
type Result struct {
	// Requests counts arrivals; Refused those that were not answered for lack
	// of room, of which FinalSheds were shed by a target without a retry.
	Requests, Refused, FinalSheds, Failed int
	// Writes counts requests written to targets, and Sheds those refused there.
	Writes, Sheds int
	// Calls counts messages to dispatchers, Late those without an answer in time.
	Calls, Late int
	// Added is the time before the write, Waits the time in targets' queues and
	// Latency the time of answered requests.
	Added, Waits, Latency []time.Duration
	// Teams holds the figures of each team.
	Teams map[string]*TeamResult
	// Window holds the figures of the time after the crash.
	Window WindowResult
}

// TeamResult counts the requests of one team.
type TeamResult struct{ Requests, Answered int }

// WindowResult counts the requests that arrive within crashWindow after the crash.
type WindowResult struct {
	Requests, Refused, Failed int
	Added                     []time.Duration
}

// Run simulates one scenario. Equal arguments give equal results.
func Run(policy Policy, scenario Scenario, seed uint64) Result {
	w := &world{
		engine: &eventsim.Engine{}, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), policy: policy, scenario: scenario,
		deployment: deployment.Olomouc(), result: Result{Teams: map[string]*TeamResult{}},
	}
	w.buildFleet()
	w.buildTargets()
	w.startTraffic()
	if scenario.Crash {
		w.engine.After(crashAt, w.crash)
	}
	w.engine.After(crashAt, w.freeze)
	w.engine.RunUntil(runFor)
	return w.result
}

// Add merges the figures of another run.
func (r *Result) Add(o Result) {
	if r.Teams == nil {
		r.Teams = map[string]*TeamResult{}
	}
	r.Requests += o.Requests
	r.Refused += o.Refused
	r.FinalSheds += o.FinalSheds
	r.Failed += o.Failed
	r.Writes += o.Writes
	r.Sheds += o.Sheds
	r.Calls += o.Calls
	r.Late += o.Late
	r.Added = append(r.Added, o.Added...)
	r.Waits = append(r.Waits, o.Waits...)
	r.Latency = append(r.Latency, o.Latency...)
	for name, team := range o.Teams {
		t := r.team(name)
		t.Requests += team.Requests
		t.Answered += team.Answered
	}
	r.Window.Requests += o.Window.Requests
	r.Window.Refused += o.Window.Refused
	r.Window.Failed += o.Window.Failed
	r.Window.Added = append(r.Window.Added, o.Window.Added...)
}

func (r *Result) team(name string) *TeamResult {
	t := r.Teams[name]
	if t == nil {
		t = &TeamResult{}
		r.Teams[name] = t
	}
	return t
}

// WorstTeam returns the lowest answered share of an entitlement, which is the
// team's rate without the factor of the heavy team.
func (r *Result) WorstTeam(scenario Scenario) (string, float64) {
	worst, lowest := "", 2.0
	for name, team := range r.Teams {
		entitled := float64(team.Requests)
		if name == heavyTeam {
			entitled /= max(scenario.HeavyFactor, 1)
		}
		if share := float64(team.Answered) / entitled; share < lowest || share == lowest && name < worst {
			worst, lowest = name, share
		}
	}
	return worst, lowest
}

// Quantile returns the q-quantile of the values, or 0 without values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
