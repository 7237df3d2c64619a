package healthsim

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/eventsim"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Policy is the health and balancing policy that is measured.
type Policy string

// Policies.
const (
	// BaselinePolicy is balance.Baseline: round robin, and each instance ejects
	// targets by its own observations.
	BaselinePolicy Policy = "baseline"
	// FleetPolicy is the production policy: evaluators decide for the whole fleet.
	FleetPolicy Policy = "fleet"
)

// Times of a run.
const (
	// faultAt is the time at which the fault of the scenario begins.
	faultAt     = 10 * time.Second
	runDuration = 30 * time.Second
	// A flapping target stalls for flapStallTime, then works for flapWorkTime.
	flapStallTime = 3 * time.Second
	flapWorkTime  = 5 * time.Second
)

// Scenario is one kind of fault.
type Scenario string

// Scenarios. A fault affects 3 of 30, 1 of 8, 3 of 25 and 1 of 6 targets of the
// services, or all targets if the name says so.
const (
	Healthy Scenario = "healthy"
	// GrayStall makes targets answer probes but no requests.
	GrayStall Scenario = "gray-stall"
	// GrayErrors makes targets answer probes but fail 30% of the requests.
	GrayErrors Scenario = "gray-errors"
	// Slow triples the service times of targets.
	Slow Scenario = "slow"
	// Flapping makes targets alternate between stalling and working.
	Flapping Scenario = "flapping"
	// AllSlowOverloaded triples the service times of all targets, which overloads
	// them. AllSlowWithinCapacity multiplies them by 1.5, which leaves some capacity.
	AllSlowOverloaded     Scenario = "all-slow-x3"
	AllSlowWithinCapacity Scenario = "all-slow-x1.5"
	// ColdStart makes targets cold, as after a restart.
	ColdStart Scenario = "cold-start"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Healthy, GrayStall, GrayErrors, Slow, Flapping, AllSlowOverloaded, AllSlowWithinCapacity, ColdStart}
}

// simulation is the state of one run.
type simulation struct {
	engine        *eventsim.Engine
	random        *rand.Rand
	seed          uint64
	config        *config.Config
	instances     []*instance
	byIncarnation map[string]*instance
	targets       map[string]*simTarget
	// names holds the sorted target names of each service.
	names map[string][]string
	// affected holds, for each service, the targets that a fault of single
	// targets affects.
	affected map[string][]string
	stats    stats
}

// Result holds the figures of one or several runs. The figures of requests leave
// out the time before faultAt.
type Result struct {
	Runs int
	// DetectionTimes holds the times from the fault to the detection of each faulty
	// target, by profile. A target that was not detected counts with the time from
	// the fault to the end of the run.
	DetectionTimes map[config.Profile][]time.Duration
	// MissedDetections counts the faulty targets that were not detected.
	MissedDetections int
	// FalseEjections counts the ejections of healthy targets, which are those
	// that are not faulty in the sense of simTarget.faulty.
	FalseEjections int
	// FalseTargetSeconds sums the seconds for which healthy targets were ejected,
	// each weighted by the fraction of the instances that ejected the target.
	FalseTargetSeconds float64
	// MinInUsePercent is the minimum percentage of a service's slots that were in
	// use at any instance.
	MinInUsePercent float64
	// SamplesBelowFloor counts samples in which ejections left less than the floor.
	SamplesBelowFloor int
	Requests          int
	// Failed counts requests without a successful answer, except those in Shed:
	// requests whose last attempt a target shed.
	Failed, Shed int
	// Latencies holds the latencies of the last attempts of answered requests.
	Latencies []time.Duration
}

// Run simulates one scenario. Equal arguments give equal results.
func Run(policy Policy, scenario Scenario, seed uint64) Result {
	sim := &simulation{
		engine: &eventsim.Engine{}, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		names: map[string][]string{}, affected: map[string][]string{}, stats: newStats(),
	}
	sim.buildFleet(policy)
	sim.buildTargets()
	sim.startTraffic()
	sim.scheduleFaults(scenario)
	sim.engine.Every(sampleInterval, sampleInterval, sim.sample)
	sim.engine.RunUntil(runDuration)
	return sim.result()
}

// scheduleFaults schedules the faults of the scenario.
func (sim *simulation) scheduleFaults(scenario Scenario) {
	singleFaults := map[Scenario]fault{
		GrayStall: {stall: true}, GrayErrors: {errorFraction: 0.3}, Slow: {slowFactor: 3}, Flapping: {stall: true},
	}
	for _, s := range serviceSpecs {
		for _, name := range sim.names[s.name] {
			t := sim.targets[name]
			affected := slices.Contains(sim.affected[s.name], name)
			f, hasSingleFault := singleFaults[scenario]
			switch {
			case scenario == AllSlowOverloaded:
				sim.engine.After(faultAt, func() { t.fault = fault{slowFactor: 3} })
			case scenario == AllSlowWithinCapacity:
				sim.engine.After(faultAt, func() { t.fault = fault{slowFactor: 1.5} })
			case scenario == ColdStart && affected:
				sim.engine.After(faultAt, t.restartCold)
			case hasSingleFault && affected:
				t.faulty = true
				sim.engine.After(faultAt, func() { t.fault = f })
				if scenario == Flapping {
					sim.engine.Every(faultAt+flapStallTime, flapStallTime+flapWorkTime, func() { t.fault = fault{} })
					sim.engine.Every(faultAt+flapStallTime+flapWorkTime, flapStallTime+flapWorkTime, func() { t.fault = f })
				}
			}
		}
	}
}

func (sim *simulation) result() Result {
	m := &sim.stats
	r := Result{
		Runs: 1, DetectionTimes: map[config.Profile][]time.Duration{},
		FalseEjections: m.falseEjections, FalseTargetSeconds: m.falseTargetSeconds,
		MinInUsePercent: m.minInUsePercent, SamplesBelowFloor: m.samplesBelowFloor,
		Requests: m.requests.total, Failed: m.requests.failed, Shed: m.requests.shed, Latencies: m.requests.latency,
	}
	for _, s := range serviceSpecs {
		for _, name := range sim.affected[s.name] {
			if !sim.targets[name].faulty {
				continue
			}
			d, ok := m.detectionTimes[name]
			if !ok {
				d = runDuration - faultAt
				r.MissedDetections++
			}
			r.DetectionTimes[s.profile] = append(r.DetectionTimes[s.profile], d)
		}
	}
	return r
}

// Add merges the figures of another run.
func (r *Result) Add(o Result) {
	if r.Runs == 0 {
		r.DetectionTimes, r.MinInUsePercent = map[config.Profile][]time.Duration{}, 100
	}
	r.Runs += o.Runs
	for profile, d := range o.DetectionTimes {
		r.DetectionTimes[profile] = append(r.DetectionTimes[profile], d...)
	}
	r.MissedDetections += o.MissedDetections
	r.FalseEjections += o.FalseEjections
	r.FalseTargetSeconds += o.FalseTargetSeconds
	r.MinInUsePercent = min(r.MinInUsePercent, o.MinInUsePercent)
	r.SamplesBelowFloor += o.SamplesBelowFloor
	r.Requests += o.Requests
	r.Failed += o.Failed
	r.Shed += o.Shed
	r.Latencies = append(r.Latencies, o.Latencies...)
}

// Quantile returns the q-quantile of the values, or 0 without values.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
