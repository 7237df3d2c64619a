// Package dispatchsim simulates the print works deployment in one goroutine and
// in simulated time, to compare policies for the choice of targets. It runs the
// production collectors, evaluators, followers, balancers and dispatchers. The
// calls to the dispatcher wait by events instead of goroutines, with
// dispatch.Breaker for the bounds; apart from that they repeat the logic of
// dispatch.Balancer.
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

// Policy is a policy for the choice of targets.
type Policy string

// Policies.
const (
	RoundRobin Policy = "round-robin"
	// TwoChoices is balance.Balancer alone.
	TwoChoices Policy = "two-choices"
	// ReserveAll asks the dispatcher for every request.
	ReserveAll Policy = "reserve-all"
	// ReserveNonIdempotent asks the dispatcher for non-idempotent requests only, and
	// for all requests while the service is busy. balance.Balancer chooses the
	// targets of the others, and the instance reports them to the dispatcher.
	ReserveNonIdempotent Policy = "reserve-non-idempotent"
)

// Policies lists all policies.
func Policies() []Policy {
	return []Policy{RoundRobin, TwoChoices, ReserveAll, ReserveNonIdempotent}
}

// Scenario is the load and the fault of a run.
type Scenario struct {
	Name string
	// Load is the offered load as a fraction of all slots.
	Load float64
	// HeavyFactor multiplies the rate of heavyTeam; 0 means 1.
	HeavyFactor float64
	// Crash stops the dispatchers of both services at faultAt.
	Crash bool
	// Freeze stops both dispatchers from answering at faultAt for this time.
	Freeze time.Duration
}

// Times of a run. The figures cover the time from warmUp on. A crashed instance
// is removed from the membership after removalDelay.
const (
	warmUp       = 3 * time.Second
	runDuration  = 23 * time.Second
	faultAt      = 10 * time.Second
	removalDelay = 3200 * time.Millisecond
	// faultWindow is the time after faultAt whose figures are also counted
	// separately.
	faultWindow = time.Second
)

// heavyTeam is the team that sends HeavyFactor times its rate. All other teams
// then stay within the share of their batch, so that each is entitled to its rate.
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

// simulation is the state of one run.
type simulation struct {
	engine     *eventsim.Engine
	random     *rand.Rand
	seed       uint64
	policy     Policy
	scenario   Scenario
	deployment deployment.Deployment
	config     *config.Snapshot
	membership *membership.Membership
	// dispatchers holds the dispatcher of each service, followed by its stand-ins.
	dispatchers map[string][]*instance
	// instances are those that have not crashed; byIncarnation holds all.
	instances     []*instance
	byIncarnation map[string]*instance
	targets       map[string]*target
	lastRequestID uint64
	result        Result
}

// Result holds the figures of one or several runs.
type Result struct {
	// Requests counts arrivals. Refused counts the requests that were not answered
	// for lack of capacity; a target shed FinalSheds of these in their last attempt.
	// Failed counts the other requests without an answer.
	Requests, Refused, FinalSheds, Failed int
	// Writes counts requests written to targets, and Sheds those that the targets
	// shed.
	Writes, Sheds int
	// Calls counts the messages to dispatchers, including those that only release
	// slots. LateCalls counts those whose answer a request waited for and did not
	// get in time.
	Calls, LateCalls int
	// AddedDelays are the times from the arrival to the first write to a target,
	// QueueWaits the times in targets' queues, and Latencies the times from the
	// arrival to the answer.
	AddedDelays, QueueWaits, Latencies []time.Duration
	// Teams holds the figures of each team.
	Teams map[string]*TeamResult
	// FaultWindow holds the figures of the time after faultAt.
	FaultWindow FaultWindowResult
}

// TeamResult counts the requests of one team.
type TeamResult struct{ Requests, Answered int }

// FaultWindowResult counts the requests that arrive within faultWindow after
// faultAt.
type FaultWindowResult struct {
	Requests, Refused, Failed int
	AddedDelays               []time.Duration
}

// Run simulates one scenario. Equal arguments give equal results.
func Run(policy Policy, scenario Scenario, seed uint64) Result {
	sim := &simulation{
		engine: &eventsim.Engine{}, seed: seed, random: rand.New(rand.NewPCG(seed, 7)), policy: policy, scenario: scenario,
		deployment: deployment.Olomouc(), result: Result{Teams: map[string]*TeamResult{}},
	}
	sim.buildFleet()
	sim.buildTargets()
	sim.startTraffic()
	if scenario.Crash {
		sim.engine.After(faultAt, sim.crash)
	}
	sim.engine.After(faultAt, sim.freeze)
	sim.engine.RunUntil(runDuration)
	return sim.result
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
	r.LateCalls += o.LateCalls
	r.AddedDelays = append(r.AddedDelays, o.AddedDelays...)
	r.QueueWaits = append(r.QueueWaits, o.QueueWaits...)
	r.Latencies = append(r.Latencies, o.Latencies...)
	for name, team := range o.Teams {
		t := r.team(name)
		t.Requests += team.Requests
		t.Answered += team.Answered
	}
	r.FaultWindow.Requests += o.FaultWindow.Requests
	r.FaultWindow.Refused += o.FaultWindow.Refused
	r.FaultWindow.Failed += o.FaultWindow.Failed
	r.FaultWindow.AddedDelays = append(r.FaultWindow.AddedDelays, o.FaultWindow.AddedDelays...)
}

// team returns the figures of the team; it creates them if necessary.
func (r *Result) team(name string) *TeamResult {
	t := r.Teams[name]
	if t == nil {
		t = &TeamResult{}
		r.Teams[name] = t
	}
	return t
}

// WorstTeam returns the team with the lowest fraction of its entitlement that was
// answered, and that fraction. The entitlement is the number of the team's
// requests; that of the heavy team leaves out HeavyFactor.
func (r *Result) WorstTeam(scenario Scenario) (string, float64) {
	worst, lowest := "", 2.0
	for name, team := range r.Teams {
		entitled := float64(team.Requests)
		if name == heavyTeam {
			entitled /= max(scenario.HeavyFactor, 1)
		}
		if fraction := float64(team.Answered) / entitled; fraction < lowest || fraction == lowest && name < worst {
			worst, lowest = name, fraction
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
