package healthsim

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/eventsim"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Policy selects what is measured.
type Policy string

// Policies.
const (
	BaselinePolicy Policy = "baseline"
	FleetPolicy    Policy = "fleet"
)

const (
	faultAt = 10 * time.Second
	runFor  = 30 * time.Second
	// A flapping target stalls for flapBad, then works for flapGood.
	flapBad  = 3 * time.Second
	flapGood = 5 * time.Second
)

// Scenario is one kind of fault.
type Scenario string

// Scenarios. Faults affect 3 of 30, 1 of 8, 3 of 25 and 1 of 6 targets unless
// the name says all.
const (
	Healthy    Scenario = "healthy"
	GrayStall  Scenario = "gray-stall"
	GrayErrors Scenario = "gray-errors"
	Slow       Scenario = "slow"
	Flapping   Scenario = "flapping"
	// AllSlow overloads every target; AllSlower leaves some capacity.
	AllSlow   Scenario = "all-slow-x3"
	AllSlower Scenario = "all-slow-x1.5"
	ColdStart Scenario = "cold-start"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario {
	return []Scenario{Healthy, GrayStall, GrayErrors, Slow, Flapping, AllSlow, AllSlower, ColdStart}
}

type world struct {
	engine        *eventsim.Engine
	random        *rand.Rand
	seed          uint64
	config        *config.Config
	instances     []*instance
	byIncarnation map[string]*instance
	targets       map[string]*simTarget
	names         map[string][]string
	affected      map[string][]string
	measure       measure
}

// Result holds the figures of one or several runs.
type Result struct {
	Runs int
	// Detection holds the detection times by profile; a missed target counts
	// with the time that was left in the run.
	Detection map[config.Profile][]time.Duration
	Missed    int
	// Mistaken counts the ejections of healthy targets.
	Mistaken              int
	MistakenTargetSeconds float64
	// LowestPercent is the smallest share of slots in use at any instance.
	LowestPercent float64
	// FloorCrossed counts samples in which ejections left less than the floor.
	FloorCrossed int
	Requests     int
	Failed, Shed int
	Latency      []time.Duration
}

// Run simulates one scenario. Equal arguments give equal results.
func Run(policy Policy, scenario Scenario, seed uint64) Result {
	w := &world{
		engine: &eventsim.Engine{}, seed: seed, random: rand.New(rand.NewPCG(seed, 1)),
		names: map[string][]string{}, affected: map[string][]string{}, measure: newMeasure(),
	}
	w.buildFleet(policy)
	w.buildTargets()
	w.startTraffic()
	w.schedule(scenario)
	w.engine.Every(measureEvery, measureEvery, w.sample)
	w.engine.RunUntil(runFor)
	return w.result()
}

// schedule plans the faults of the scenario.
func (w *world) schedule(scenario Scenario) {
	single := map[Scenario]fault{
		GrayStall: {stall: true}, GrayErrors: {errorShare: 0.3}, Slow: {slow: 3}, Flapping: {stall: true},
	}
	for _, s := range shapes {
		for _, name := range w.names[s.name] {
			t := w.targets[name]
			affected := slices.Contains(w.affected[s.name], name)
			f, isSingle := single[scenario]
			switch {
			case scenario == AllSlow:
				w.engine.After(faultAt, func() { t.fault = fault{slow: 3} })
			case scenario == AllSlower:
				w.engine.After(faultAt, func() { t.fault = fault{slow: 1.5} })
			case scenario == ColdStart && affected:
				w.engine.After(faultAt, t.restartCold)
			case isSingle && affected:
				t.faulty = true
				w.engine.After(faultAt, func() { t.fault = f })
				if scenario == Flapping {
					w.engine.Every(faultAt+flapBad, flapBad+flapGood, func() { t.fault = fault{} })
					w.engine.Every(faultAt+flapBad+flapGood, flapBad+flapGood, func() { t.fault = f })
				}
			}
		}
	}
}

func (w *world) result() Result {
	m := &w.measure
	r := Result{
		Runs: 1, Detection: map[config.Profile][]time.Duration{},
		Mistaken: m.mistaken, MistakenTargetSeconds: m.mistakenSeconds,
		LowestPercent: m.lowest, FloorCrossed: m.crossed,
		Requests: m.requests.total, Failed: m.requests.failed, Shed: m.requests.shed, Latency: m.requests.latency,
	}
	for _, s := range shapes {
		for _, name := range w.affected[s.name] {
			if !w.targets[name].faulty {
				continue
			}
			d, ok := m.detected[name]
			if !ok {
				d = runFor - faultAt
				r.Missed++
			}
			r.Detection[s.profile] = append(r.Detection[s.profile], d)
		}
	}
	return r
}

// Add merges the figures of another run.
func (r *Result) Add(o Result) {
	if r.Runs == 0 {
		r.Detection, r.LowestPercent = map[config.Profile][]time.Duration{}, 100
	}
	r.Runs += o.Runs
	for profile, d := range o.Detection {
		r.Detection[profile] = append(r.Detection[profile], d...)
	}
	r.Missed += o.Missed
	r.Mistaken += o.Mistaken
	r.MistakenTargetSeconds += o.MistakenTargetSeconds
	r.LowestPercent = min(r.LowestPercent, o.LowestPercent)
	r.FloorCrossed += o.FloorCrossed
	r.Requests += o.Requests
	r.Failed += o.Failed
	r.Shed += o.Shed
	r.Latency = append(r.Latency, o.Latency...)
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
