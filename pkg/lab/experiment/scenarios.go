package experiment

import (
	"context"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
)

// scenario is what happens during an experiment.
type scenario struct {
	name  string
	short string
	// pinnedShare of the callers use the first instance only.
	pinnedShare float64
	// relays puts a relay before the peer listener of each instance.
	relays bool
	script func(ctx context.Context, r *Run) error
}

// UnknownScenarioError says that there is no experiment of a name.
type UnknownScenarioError struct{ Name string }

// Error names the known experiments.
func (e *UnknownScenarioError) Error() string {
	names := make([]string, 0, len(scenarios()))
	for _, s := range scenarios() {
		names = append(names, s.name)
	}
	return "experiment " + e.Name + " is unknown; known: " + strings.Join(names, ", ")
}

// List returns the names and descriptions of all experiments.
func List() [][2]string {
	list := make([][2]string, 0, len(scenarios()))
	for _, s := range scenarios() {
		list = append(list, [2]string{s.name, s.short})
	}
	return list
}

func chooseScenario(o Options) (*scenario, error) {
	if o.Script != nil {
		return &scenario{name: o.Name, script: o.Script}, nil
	}
	for _, s := range scenarios() {
		if s.name == o.Name {
			return &s, nil
		}
	}
	return nil, &UnknownScenarioError{Name: o.Name}
}

// Values of faults in the scenarios.
const (
	errorRate     = 0.3
	slowFactor    = 3
	flapPeriodMS  = 6000
	hotFactor     = 5
	faultyTargets = 2
	pinnedShare   = 0.8
)

func scenarios() []scenario {
	return []scenario{
		{name: "healthy", short: "no fault", script: nothing},
		{name: "gray-stall", short: "two targets stall real work while probes succeed", script: targetFault(map[string]any{"stall": 0.9, "health": "ok"})},
		{name: "gray-errors", short: "two targets fail 30% of their requests", script: targetFault(map[string]any{"error_rate": errorRate, "health": "ok"})},
		{name: "slow", short: "two targets are three times slower", script: targetFault(map[string]any{"slow_factor": slowFactor})},
		{name: "flapping", short: "two targets alternate between stalling and well", script: targetFault(map[string]any{"stall": 0.9, "flap_period_ms": flapPeriodMS})},
		{name: "all-slow", short: "all targets are slower by half for one shared cause", script: allSlow},
		{name: "cold-start", short: "four targets restart cold", script: coldStart},
		{name: "hot-team", short: "one team sends five times its rate", script: hotTeam},
		{name: "skewed-callers", short: "80% of the callers use one instance", pinnedShare: pinnedShare, script: nothing},
		{name: "expired-batch", short: "the contract of one batch expires", script: expiredBatch},
		{name: "silent-connections", short: "two targets accept requests and never answer", script: targetFault(map[string]any{"silent": true, "health": "ok"})},
		{name: "zone-cut", short: "the peers of one availability zone cannot be reached", relays: true, script: zoneCut},
		{name: "platform-outage", short: "the platform is down", script: platformOutage},
		{name: "entry-crash", short: "an instance is killed while the platform is down", script: entryCrash},
	}
}

func nothing(context.Context, *Run) error { return nil }

// quarter waits for a quarter of the measured time.
func (r *Run) quarter(ctx context.Context, n int) bool {
	return sleepUntil(ctx, r.started.Add(time.Duration(r.Options.Seconds)*time.Second*time.Duration(n)/4))
}

// victims picks targets of the largest service by the seed.
func (r *Run) victims(count int) []*fleet.Target {
	service := r.Options.Deployment.Services[0].Name
	var candidates []*fleet.Target
	for _, t := range r.Fleet.Targets {
		if t.Service == service {
			candidates = append(candidates, t)
		}
	}
	rng := rand.New(rand.NewPCG(r.Options.Seed, 7))
	rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}

func targetFault(faults map[string]any) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		if !r.quarter(ctx, 1) {
			return nil
		}
		victims := r.victims(faultyTargets)
		for _, t := range victims {
			if err := r.Fault(t, faults); err != nil {
				return err
			}
		}
		if !r.quarter(ctx, 3) {
			return nil
		}
		for _, t := range victims {
			if err := r.Heal(t); err != nil {
				return err
			}
		}
		return nil
	}
}

// sharedSlowFactor leaves the load below the capacity that remains.
const sharedSlowFactor = 1.5

func allSlow(ctx context.Context, r *Run) error {
	if !r.quarter(ctx, 1) {
		return nil
	}
	for _, t := range r.Fleet.Targets {
		if err := SetTargetFaults(t, map[string]any{"slow_factor": sharedSlowFactor}); err != nil {
			return err
		}
	}
	return nil
}

func coldStart(ctx context.Context, r *Run) error {
	if !r.quarter(ctx, 1) {
		return nil
	}
	for _, t := range r.victims(2 * faultyTargets) {
		if err := call("POST", "http://"+t.Admin+"/admin/restart", nil, map[string]any{}, nil); err != nil {
			return err
		}
	}
	return nil
}

func hotTeam(ctx context.Context, r *Run) error {
	if r.quarter(ctx, 1) {
		r.SetFactor(r.Options.Deployment.Teams[1].Name, hotFactor)
	}
	return nil
}

func expiredBatch(ctx context.Context, r *Run) error {
	if !r.quarter(ctx, 1) {
		return nil
	}
	names := make([]string, 0, len(r.Config.Batches))
	for name := range r.Config.Batches {
		names = append(names, name)
	}
	sort.Strings(names)
	expires := r.started.Add(time.Duration(r.Options.Seconds) * time.Second / 2).UTC().Truncate(time.Second)
	patch := map[string]any{"batches": map[string]any{names[0]: map[string]any{"expires": expires}}}
	if err := r.Apply(ctx, patch); err != nil {
		return err
	}
	batch := r.Config.Batches[names[0]]
	batch.Expires = expires
	r.Config.Batches[names[0]] = batch
	return nil
}

func zoneCut(ctx context.Context, r *Run) error {
	if !r.quarter(ctx, 1) {
		return nil
	}
	if err := r.cutZone(relay.Faults{CutToTarget: true, CutToClient: true}); err != nil {
		return err
	}
	if !r.quarter(ctx, 3) {
		return nil
	}
	return r.cutZone(relay.Faults{})
}

func (r *Run) cutZone(f relay.Faults) error {
	zone := r.Options.Deployment.Zones[0]
	for _, instance := range r.Fleet.Instances {
		if instance.Settings.AvailabilityZone == zone {
			if err := instance.Link.Set(f); err != nil {
				return err
			}
		}
	}
	return nil
}

func platformOutage(ctx context.Context, r *Run) error {
	if !r.quarter(ctx, 1) {
		return nil
	}
	return SetPlatformFaults(r.Fleet, map[string]any{"down": true})
}

func entryCrash(ctx context.Context, r *Run) error {
	if err := platformOutage(ctx, r); err != nil {
		return err
	}
	if r.quarter(ctx, 2) {
		r.Fleet.Instances[len(r.Fleet.Instances)-1].Process.Kill()
	}
	return nil
}
