package scenario

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// A random fault begins in each step and lasts minFaultSteps to maxFaultSteps steps.
const (
	faultStep     = 500 * time.Millisecond
	minFaultSteps = 1
	maxFaultSteps = 6
	// recoveryTimeout is the time that the fleet has to recover after the last fault:
	// killed members are removed and rejoin, which is retried until the platform is
	// back.
	recoveryTimeout = 30 * time.Second
)

// randomFaults begins and ends faults chosen by the seed: kills, freezes, cuts,
// outages of the platform and faults of targets, while patches are submitted. It
// finally ends all faults; every instance must then be a fresh member again and the
// newest accepted version must come into force.
func (tb *testbed) randomFaults(a *arguments) error {
	during := a.duration("for", 5*time.Second)
	if err := a.validate(); err != nil {
		return err
	}
	tb.logf("# random faults with seed %d", tb.options.Seed)
	rng := rand.New(rand.NewPCG(tb.options.Seed, 1))
	p := startPatcher(tb)
	defer p.stop()
	var active []*fault
	for begun := time.Now(); time.Since(begun) < during; time.Sleep(faultStep) {
		active = append(active, tb.randomFault(rng))
		if err := active[len(active)-1].begin(); err != nil {
			return err
		}
		var remaining []*fault
		for _, f := range active {
			if f.steps--; f.steps > 0 {
				remaining = append(remaining, f)
				continue
			}
			if err := f.end(); err != nil {
				return err
			}
		}
		active = remaining
	}
	for _, f := range active {
		if err := f.end(); err != nil {
			return err
		}
	}
	p.stop()
	if err := tb.waitMembers(len(tb.fleet.Instances), recoveryTimeout); err != nil {
		return err
	}
	tb.logf("# %d of %d patches were accepted", p.accepted, p.tried)
	tb.version = max(tb.version, p.newest)
	return tb.waitInForce(tb.version, inForceObjective)
}

// patcher submits patches through all instances in turn, one at a time. The patches
// change only the share of a batch, which no check depends on.
type patcher struct {
	addresses       []string
	cancel          context.CancelFunc
	group           sync.WaitGroup
	tried, accepted int
	// newest is the highest accepted version.
	newest int64
}

const patchInterval = 200 * time.Millisecond

func startPatcher(tb *testbed) *patcher {
	ctx, cancel := context.WithCancel(context.Background())
	p := &patcher{cancel: cancel}
	for _, i := range tb.fleet.Instances {
		p.addresses = append(p.addresses, i.Settings.OperatorAddress)
	}
	p.group.Go(func() { p.run(ctx) })
	return p
}

// stop ends the patches; it may be called more than once.
func (p *patcher) stop() {
	p.cancel()
	p.group.Wait()
}

func (p *patcher) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		address := p.addresses[n%len(p.addresses)]
		var s api.Status
		if get(address, api.StatusPath, &s) {
			p.tried++
			patch := `{"batches":{"short":{"share":` + strconv.Itoa(1+n%9) + `}}}`
			if r := patchAt(address, statusTimeout, s.ConfigVersion, []byte(patch)); r.version > 0 {
				p.accepted++
				p.newest = max(p.newest, r.version)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(patchInterval):
		}
	}
}

// fault is one random fault.
type fault struct {
	begin, end func() error
	// steps is the number of steps until the fault ends.
	steps int
}

// targetFaults are JSON faults of a target, as the target command takes them.
var targetFaults = []string{
	`{"stall":0.9,"health":"ok"}`, `{"silent":true,"health":"ok"}`, `{"half_response":0.5}`,
	`{"error_rate":0.5}`, `{"slow_factor":20}`,
}

// randomFault chooses the next fault. It draws the same number of random values for
// every kind of fault.
func (tb *testbed) randomFault(rng *rand.Rand) *fault {
	kind, n, other := rng.IntN(7), rng.IntN(len(tb.fleet.Instances)), rng.IntN(len(tb.fleet.Instances))
	target, mode := tb.fleet.Targets[rng.IntN(len(tb.fleet.Targets))], targetFaults[rng.IntN(len(targetFaults))]
	f := &fault{steps: minFaultSteps + rng.IntN(maxFaultSteps)}
	name := ""
	switch kind {
	case 0:
		name = "kill " + strconv.Itoa(n+1)
		f.begin = func() error { tb.killInstances([]int{n}); return nil }
		f.end = func() error {
			if tb.fleet.Instances[n].Process.Running() {
				return nil // another kill of the instance has ended and restarted it
			}
			return tb.restartInstances([]int{n})
		}
	case 1:
		name = "freeze " + strconv.Itoa(n+1)
		f.begin = func() error { tb.freezeInstance(n); return nil }
		f.end = func() error { tb.resumeInstance(n); return nil }
	case 2, 3:
		name = "cut " + strconv.Itoa(n+1) + " " + strconv.Itoa(other+1) + " one way " + strconv.FormatBool(kind == 3)
		f.begin = func() error { return tb.setCuts([]int{n}, []int{other}, true, kind == 3) }
		f.end = func() error { return tb.setCuts([]int{n}, []int{other}, false, false) }
	case 4:
		name = "platform"
		f.begin = func() error { return tb.platformCommand(parseArguments([]string{"down"})) }
		f.end = func() error { return tb.platformCommand(parseArguments([]string{"up"})) }
	case 5:
		name = "target " + target.ID + " " + mode
		f.begin = func() error { return tb.changeTarget(target, mode) }
		f.end = func() error { return tb.changeTarget(target, "heal") }
	case 6:
		name = "target " + target.ID + " silence"
		f.begin = func() error { return tb.changeTarget(target, "silence") }
		f.end = func() error { return nil }
	}
	tb.logf("# %s for %d steps", name, f.steps)
	return f
}
