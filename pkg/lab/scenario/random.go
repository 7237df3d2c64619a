package scenario

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Random faults: one begins in each step, and each lasts some steps.
const (
	faultStep  = 500 * time.Millisecond
	longestMin = 1
	longestMax = 6
	// healLimit is the time that a healed fleet gets: removal and rejoining of
	// killed members, which repeat while the platform comes back.
	healLimit = 30 * time.Second
)

// randomFaults begins and ends faults chosen from the seed: kills, freezes,
// cuts, outages of the platform and faults of targets, while patches are
// submitted. All are ended at the end; the fleet must then become whole again
// and have the newest accepted version in force.
func (w *world) randomFaults(a *arguments) error {
	during := a.duration("for", 5*time.Second)
	if err := a.finish(); err != nil {
		return err
	}
	w.logf("# random faults with seed %d", w.options.Seed)
	rng := rand.New(rand.NewPCG(w.options.Seed, 1))
	p := startPatcher(w)
	defer p.stop()
	var open []*fault
	for begun := time.Now(); time.Since(begun) < during; time.Sleep(faultStep) {
		open = append(open, w.randomFault(rng))
		if err := open[len(open)-1].begin(); err != nil {
			return err
		}
		var still []*fault
		for _, f := range open {
			if f.steps--; f.steps > 0 {
				still = append(still, f)
				continue
			}
			if err := f.end(); err != nil {
				return err
			}
		}
		open = still
	}
	for _, f := range open {
		if err := f.end(); err != nil {
			return err
		}
	}
	p.stop()
	if err := w.waitMembers(len(w.fleet.Instances), healLimit); err != nil {
		return err
	}
	w.logf("# %d of %d patches were accepted", p.accepted, p.tried)
	w.version = max(w.version, p.newest)
	return w.waitInForce(w.version, inForceObjective)
}

// patcher submits patches through all instances in turn, one after the other.
// They change nothing that the checks depend on.
type patcher struct {
	addresses       []string
	cancel          context.CancelFunc
	group           sync.WaitGroup
	tried, accepted int
	newest          int64
}

const patchPause = 200 * time.Millisecond

func startPatcher(w *world) *patcher {
	ctx, cancel := context.WithCancel(context.Background())
	p := &patcher{cancel: cancel}
	for _, i := range w.fleet.Instances {
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
		case <-time.After(patchPause):
		}
	}
}

// fault is one fault in progress.
type fault struct {
	begin, end func() error
	steps      int
}

var targetFaults = []string{
	`{"stall":0.9,"health":"ok"}`, `{"silent":true,"health":"ok"}`, `{"half_response":0.5}`,
	`{"error_rate":0.5}`, `{"slow_factor":20}`,
}

// randomFault draws the same count of numbers for every kind of fault.
func (w *world) randomFault(rng *rand.Rand) *fault {
	kind, n, other := rng.IntN(7), rng.IntN(len(w.fleet.Instances)), rng.IntN(len(w.fleet.Instances))
	target, mode := w.fleet.Targets[rng.IntN(len(w.fleet.Targets))], targetFaults[rng.IntN(len(targetFaults))]
	f := &fault{steps: longestMin + rng.IntN(longestMax)}
	name := ""
	switch kind {
	case 0:
		name = "kill " + strconv.Itoa(n+1)
		f.begin = func() error { w.kill([]int{n}); return nil }
		f.end = func() error {
			if w.fleet.Instances[n].Process.Running() {
				return nil // another fault of the same kind has restarted it
			}
			return w.startAgain([]int{n})
		}
	case 1:
		name = "freeze " + strconv.Itoa(n+1)
		f.begin = func() error { w.freeze(n); return nil }
		f.end = func() error { w.resume(n); return nil }
	case 2, 3:
		name = "cut " + strconv.Itoa(n+1) + " " + strconv.Itoa(other+1) + " one way " + strconv.FormatBool(kind == 3)
		f.begin = func() error { return w.cutSets([]int{n}, []int{other}, true, kind == 3) }
		f.end = func() error { return w.cutSets([]int{n}, []int{other}, false, false) }
	case 4:
		name = "platform"
		f.begin = func() error { return w.platform(parse([]string{"down"})) }
		f.end = func() error { return w.platform(parse([]string{"up"})) }
	case 5:
		name = "target " + target.ID + " " + mode
		f.begin = func() error { return w.changeTarget(target, mode) }
		f.end = func() error { return w.changeTarget(target, "heal") }
	case 6:
		name = "target " + target.ID + " silence"
		f.begin = func() error { return w.changeTarget(target, "silence") }
		f.end = func() error { return nil }
	}
	w.logf("# %s for %d steps", name, f.steps)
	return f
}
