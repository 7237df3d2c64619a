package scenario

import (
	"math/rand/v2"
	"strconv"
	"time"
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
// cuts, outages of the platform and faults of targets. All are ended at the
// end, and the fleet must then become whole again.
func (w *world) randomFaults(a *arguments) error {
	during := a.duration("for", 5*time.Second)
	if err := a.finish(); err != nil {
		return err
	}
	w.logf("# random faults with seed %d", w.options.Seed)
	rng := rand.New(rand.NewPCG(w.options.Seed, 1))
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
	return w.waitMembers(len(w.fleet.Instances), healLimit)
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
