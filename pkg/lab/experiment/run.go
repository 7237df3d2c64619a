// Package experiment runs load and fault experiments on a fleet of real
// processes and measures how the fleet behaves.
package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// Options configure one run.
type Options struct {
	// Name selects the scenario unless Script is set.
	Name       string
	Deployment deployment.Deployment
	Instances  int
	// Seconds is the length of the measured load, after the warm-up.
	Seconds int
	// Load is the offered load as a fraction of the capacity of the targets.
	Load float64
	// RateShare is the offered load as a fraction of the sum of the teams' rates.
	RateShare float64
	// Policy is the balance policy of the instances.
	Policy string
	// Issuers is the number of token issuers per team; 0 means the default.
	Issuers int
	Seed    uint64
	// Directory keeps settings and logs; empty uses a temporary one.
	Directory string
	// Script, if not nil, replaces the scenario that Name selects.
	Script func(ctx context.Context, r *Run) error
	// Progress receives one line per phase; nil for none.
	Progress io.Writer
}

// Run is an experiment in progress.
type Run struct {
	Options Options
	Fleet   *fleet.Fleet
	Config  *config.Config
	// Keys maps teams to their keys.
	Keys map[string]string
	// Version is the version of the last applied configuration.
	Version int64

	scenario *scenario
	// started is the time when the measurement started, after the warm-up.
	started time.Time
	monitor *monitor

	mu sync.Mutex
	// rateFactor multiplies the load of teams; teams without an entry have 1.
	rateFactor map[string]float64
	// faultPeriods holds the last fault of each target that had one.
	faultPeriods map[string]faultPeriod
}

// faultPeriod is the time in which a target has a fault; until is zero while the
// fault lasts.
type faultPeriod struct{ from, until time.Time }

// NotReadyError reports that the fleet did not reach an expected state in time.
type NotReadyError struct{ What string }

// Error names the state.
func (e *NotReadyError) Error() string { return "the fleet is not ready: " + e.What }

const (
	joinTimeout     = 60 * time.Second
	inForceTimeout  = 20 * time.Second
	warmUpTime      = 3 * time.Second
	idleMeasureTime = 4 * time.Second
)

// Start starts the fleet and waits until its configuration is in force. The
// caller must call Close.
func Start(ctx context.Context, o Options) (*Run, error) {
	s, err := chooseScenario(o)
	if err != nil {
		return nil, err
	}
	r := &Run{Options: o, scenario: s, rateFactor: map[string]float64{}, faultPeriods: map[string]faultPeriod{}}
	r.progress("starting %d instances and their targets", o.Instances)
	r.Fleet, err = fleet.New(fleet.Options{
		Deployment: o.Deployment, Instances: o.Instances, Directory: o.Directory, Relays: s.relays, Seed: o.Seed,
		Adjust: func(e *settings.Entry) {
			e.BalancePolicy = o.Policy
			if o.Issuers > 0 {
				e.Limits.IssuersPerTeam = o.Issuers
			}
			e.LogLevel = "warn"
		},
	})
	if err != nil {
		return nil, err
	}
	if err := r.prepare(ctx); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// Close stops all processes of the fleet.
func (r *Run) Close() { r.Fleet.Close() }

// prepare starts the processes, waits until all instances are members, and
// applies a configuration whose rates match the offered load.
func (r *Run) prepare(ctx context.Context) error {
	if err := r.Fleet.Start(ctx); err != nil {
		return err
	}
	if err := r.WaitMembers(ctx, r.Options.Instances); err != nil {
		return err
	}
	rate := r.Options.Deployment.Capacity() * r.Options.Load / r.Options.RateShare
	r.Config, r.Keys = r.Options.Deployment.Config(rate, r.Fleet.TargetAddresses(), time.Now())
	return r.Apply(ctx, r.Config)
}

// Operator returns a client of the operator API of the n-th instance, from 0.
func (r *Run) Operator(n int) Operator {
	return Operator{Address: r.Fleet.Instances[n].Settings.OperatorAddress}
}

// WaitMembers waits until the fleet has exactly count members and every running
// instance has a valid fence, so that it may serve.
func (r *Run) WaitMembers(ctx context.Context, count int) error {
	deadline := time.Now().Add(joinTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if r.membersReady(count) {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.WithStack(&NotReadyError{What: fmt.Sprintf("%d members", count)})
}

func (r *Run) membersReady(count int) bool {
	for n, instance := range r.Fleet.Instances {
		if !instance.Process.Running() {
			continue
		}
		s, err := r.Operator(n).Status()
		if err != nil || !s.Member || !s.Fresh || s.Members != count {
			return false
		}
	}
	return true
}

// Apply submits a merge patch to the configuration and waits until it is in force.
func (r *Run) Apply(ctx context.Context, patch any) error {
	version, err := r.Operator(0).Patch(r.Version, patch)
	if err != nil {
		return err
	}
	r.Version = version
	return r.WaitInForce(ctx, version)
}

// WaitInForce waits until the first instance reports that the version, or a later
// one, is in force.
func (r *Run) WaitInForce(ctx context.Context, version int64) error {
	deadline := time.Now().Add(inForceTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s, err := r.Operator(0).Status()
		if err == nil && s.ConfigVersion >= version && s.ConfigState == "in force" {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.WithStack(&NotReadyError{What: fmt.Sprintf("version %d in force", version)})
}

// Measure measures the idle fleet, then runs the load and the scenario, and
// returns the report.
func (r *Run) Measure(ctx context.Context) (*report.Report, error) {
	r.progress("measuring the idle fleet")
	cost, err := r.measureIdleCost()
	if err != nil {
		return nil, err
	}
	r.progress("warming up")
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	l := newLoad(r)
	l.start(loadCtx)
	directCalls := newDirectLoad()
	directCalls.start(loadCtx, r)
	time.Sleep(warmUpTime)
	r.started = time.Now()
	r.monitor = newMonitor(r)
	r.monitor.start(loadCtx)
	r.progress("measuring %s for %d s", r.Options.Name, r.Options.Seconds)
	scriptErr := make(chan error, 1)
	go func() { scriptErr <- r.scenario.script(loadCtx, r) }()
	if !sleepUntil(ctx, r.started.Add(time.Duration(r.Options.Seconds)*time.Second)) {
		return nil, errors.WithStack(ctx.Err())
	}
	ended := time.Now()
	stopLoad()
	if err := <-scriptErr; err != nil && !errors.Is(err, context.Canceled) {
		return nil, err
	}
	records := l.wait()
	r.monitor.wait()
	r.progress("collecting")
	rep, err := r.report(records, cost, ended)
	if err != nil {
		return nil, err
	}
	rep.DirectLatency = directCalls.result()
	return rep, nil
}

func (r *Run) progress(format string, args ...any) {
	if r.Options.Progress != nil {
		_, _ = fmt.Fprintf(r.Options.Progress, format+"\n", args...)
	}
}

// offeredRate returns the current load of a team in requests per second.
func (r *Run) offeredRate(team string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	rateFactor, ok := r.rateFactor[team]
	if !ok {
		rateFactor = 1
	}
	return r.Config.Teams[team].RatePerSecond * r.Options.RateShare * rateFactor
}

// SetRateFactor multiplies the normal offered rate of a team by rateFactor.
func (r *Run) SetRateFactor(team string, rateFactor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateFactor[team] = rateFactor
}

// pickRoute chooses a service at random in proportion to its capacity, and a
// route of it by weight.
func (r *Run) pickRoute(rng *rand.Rand) deployment.Route {
	d := r.Options.Deployment
	x := rng.Float64() * d.Capacity()
	for _, s := range d.Services {
		if x -= s.Capacity(); x < 0 {
			return pickServiceRoute(d, s.Name, rng)
		}
	}
	return d.Routes[0]
}

// pickServiceRoute chooses a route of the service at random by weight.
func pickServiceRoute(d deployment.Deployment, service string, rng *rand.Rand) deployment.Route {
	x := rng.Float64()
	var last deployment.Route
	for _, route := range d.Routes {
		if route.Service != service {
			continue
		}
		last = route
		if x -= route.Weight; x < 0 {
			break
		}
	}
	return last
}

// InjectFault sets faults of a target and records when they began. Ejections of
// the target then count as justified.
func (r *Run) InjectFault(t *fleet.Target, faults map[string]any) error {
	if err := SetTargetFaults(t, faults); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faultPeriods[t.ID] = faultPeriod{from: time.Now()}
	return nil
}

// ClearFaults clears the faults of a target and records when they ended.
func (r *Run) ClearFaults(t *fleet.Target) error {
	none := map[string]any{
		"stall": 0, "error_rate": 0, "slow_factor": 0, "flap_period_ms": 0, "silent": false, "half_response": 0, "health": "",
	}
	if err := SetTargetFaults(t, none); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	period := r.faultPeriods[t.ID]
	period.until = time.Now()
	r.faultPeriods[t.ID] = period
	return nil
}

// recoveryTime is the time after the end of a fault in which an ejection still
// counts as justified.
const recoveryTime = 15 * time.Second

// hasFault reports whether the target had a fault at the given time or less than
// recoveryTime before it.
func (r *Run) hasFault(target string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p, ok := r.faultPeriods[target]
	return ok && at.After(p.from) && (p.until.IsZero() || at.Before(p.until.Add(recoveryTime)))
}
