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

// scenario is a named script of the events during an experiment.
type scenario struct {
	name        string
	description string
	// pinnedFraction is the fraction of the callers that use only the first
	// instance.
	pinnedFraction float64
	// relays starts a TCP relay in front of the peer listener of each instance, so that
	// script can cut the connections between instances.
	relays bool
	script func(ctx context.Context, r *Run) error
}

// UnknownScenarioError reports that no experiment has the given name.
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
		list = append(list, [2]string{s.name, s.description})
	}
	return list
}

// chooseScenario returns the scenario of o.Name, or one that runs o.Script. The
// error is an *UnknownScenarioError.
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

// Sizes of the faults in the scenarios. errorRate and pinnedFraction are
// fractions; slowFactor multiplies the service time, and hotTeamFactor the rate.
const (
	errorRate      = 0.3
	slowFactor     = 3
	flapPeriodMS   = 6000
	hotTeamFactor  = 5
	faultyTargets  = 2
	pinnedFraction = 0.8
)

func scenarios() []scenario {
	return []scenario{
		{name: "healthy", description: "no fault", script: noAction},
		{name: "gray-stall", description: "two targets stall real work while probes succeed", script: targetFault(map[string]any{"stall": 0.9, "health": "ok"})},
		{name: "gray-errors", description: "two targets fail 30% of their requests", script: targetFault(map[string]any{"error_rate": errorRate, "health": "ok"})},
		{name: "slow", description: "two targets are three times slower", script: targetFault(map[string]any{"slow_factor": slowFactor})},
		{name: "flapping", description: "two targets alternate between stalling and normal operation", script: targetFault(map[string]any{"stall": 0.9, "flap_period_ms": flapPeriodMS})},
		{name: "all-slow", description: "all targets are 1.5 times slower for a shared cause", script: allSlow},
		{name: "cold-start", description: "four targets restart cold", script: coldStart},
		{name: "hot-team", description: "one team sends five times its rate", script: hotTeam},
		{name: "skewed-callers", description: "80% of the callers use one instance", pinnedFraction: pinnedFraction, script: noAction},
		{name: "expired-batch", description: "the contract of one batch expires", script: expiredBatch},
		{name: "silent-connections", description: "two targets accept requests and never answer", script: targetFault(map[string]any{"silent": true, "health": "ok"})},
		{name: "zone-cut", description: "the peers of one availability zone cannot be reached", relays: true, script: zoneCut},
		{name: "platform-outage", description: "the platform is down", script: platformOutage},
		{name: "entry-crash", description: "an instance is killed while the platform is down", script: instanceCrash},
	}
}

func noAction(context.Context, *Run) error { return nil }

// waitQuarters waits until n quarters of the measured time have passed. It
// returns false when ctx ends first.
func (r *Run) waitQuarters(ctx context.Context, n int) bool {
	return sleepUntil(ctx, r.started.Add(time.Duration(r.Options.Seconds)*time.Second*time.Duration(n)/4))
}

// chosenTargets picks up to count targets of the first, largest service at
// random. Equal seeds give equal targets.
func (r *Run) chosenTargets(count int) []*fleet.Target {
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

// targetFault returns a script that gives faultyTargets targets the faults during
// the second and third quarter.
func targetFault(faults map[string]any) func(context.Context, *Run) error {
	return func(ctx context.Context, r *Run) error {
		if !r.waitQuarters(ctx, 1) {
			return nil
		}
		chosenTargets := r.chosenTargets(faultyTargets)
		for _, t := range chosenTargets {
			if err := r.InjectFault(t, faults); err != nil {
				return err
			}
		}
		if !r.waitQuarters(ctx, 3) {
			return nil
		}
		for _, t := range chosenTargets {
			if err := r.ClearFaults(t); err != nil {
				return err
			}
		}
		return nil
	}
}

// sharedSlowFactor multiplies the service time of all targets. It leaves the load
// below the capacity that remains.
const sharedSlowFactor = 1.5

func allSlow(ctx context.Context, r *Run) error {
	if !r.waitQuarters(ctx, 1) {
		return nil
	}
	for _, t := range r.Fleet.Targets {
		if err := SetTargetFaults(t, map[string]any{"slow_factor": sharedSlowFactor}); err != nil {
			return err
		}
	}
	return nil
}

// coldStart restarts four targets, which are slow at first.
func coldStart(ctx context.Context, r *Run) error {
	if !r.waitQuarters(ctx, 1) {
		return nil
	}
	for _, t := range r.chosenTargets(2 * faultyTargets) {
		if err := call("POST", "http://"+t.Admin+"/admin/restart", nil, map[string]any{}, nil); err != nil {
			return err
		}
	}
	return nil
}

func hotTeam(ctx context.Context, r *Run) error {
	if r.waitQuarters(ctx, 1) {
		r.SetRateFactor(r.Options.Deployment.Teams[1].Name, hotTeamFactor)
	}
	return nil
}

// expiredBatch lets the contract of the first batch by name end at half of the
// measured time.
func expiredBatch(ctx context.Context, r *Run) error {
	if !r.waitQuarters(ctx, 1) {
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
	if !r.waitQuarters(ctx, 1) {
		return nil
	}
	if err := r.setZoneRelayFaults(relay.Faults{CutToTarget: true, CutToClient: true}); err != nil {
		return err
	}
	if !r.waitQuarters(ctx, 3) {
		return nil
	}
	return r.setZoneRelayFaults(relay.Faults{})
}

// setZoneRelayFaults sets the faults of the peer relays of all instances in the
// first zone.
func (r *Run) setZoneRelayFaults(f relay.Faults) error {
	zone := r.Options.Deployment.Zones[0]
	for _, instance := range r.Fleet.Instances {
		if instance.Settings.AvailabilityZone == zone {
			if err := instance.PeerRelay.SetFaults(f); err != nil {
				return err
			}
		}
	}
	return nil
}

func platformOutage(ctx context.Context, r *Run) error {
	if !r.waitQuarters(ctx, 1) {
		return nil
	}
	return SetPlatformFaults(r.Fleet, map[string]any{"down": true})
}

func instanceCrash(ctx context.Context, r *Run) error {
	if err := platformOutage(ctx, r); err != nil {
		return err
	}
	if r.waitQuarters(ctx, 2) {
		r.Fleet.Instances[len(r.Fleet.Instances)-1].Process.Kill()
	}
	return nil
}
