package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// injectStatements makes targets announce their leaving while the listing still names them as
// ready, and ask for pauses, one target or several at a time, until ctx ends. The draws are
// apart from those of the other faults.
func (tb *testbed) injectStatements(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 6))
	for ctx.Err() == nil {
		if sleep(ctx, time.Duration(rng.Int64N(int64(3*time.Second)))) != nil {
			return
		}
		length := time.Second + time.Duration(rng.Int64N(int64(5*time.Second)))
		if rng.IntN(2) == 0 {
			f := tb.replaceTarget(rng, "announces that it leaves", func(t *target) { t.SetLeaving(true) }, 0)
			tb.addFault(report, fmt.Sprintf("%s for %.1f s", f.name, length.Seconds()))
			f.begin()
			_ = sleep(ctx, length)
			f.end()
			continue
		}
		share, refusals, pause := rng.Float64(), []int{1, 3, -1}[rng.IntN(3)], time.Second+time.Duration(rng.Int64N(int64(4*time.Second)))
		tb.mu.Lock()
		targets := slices.DeleteFunc(slices.Clone(tb.targets), func(*target) bool { return rng.Float64() >= share })
		if 2*len(targets) >= len(tb.targets) {
			now := time.Now()
			tb.pauseSpans = append(tb.pauseSpans, span{now, now.Add(length + pause)})
		}
		tb.mu.Unlock()
		tb.addFault(report, fmt.Sprintf("%d targets ask for pauses of %.1f s, %d times, for %.1f s", len(targets), pause.Seconds(), refusals, length.Seconds()))
		for _, t := range targets {
			t.TurnAway(refusals, pause)
		}
		_ = sleep(ctx, length)
		for _, t := range targets {
			t.TurnAway(0, 0)
		}
	}
}

// passedOnLeaving records that an instance has passed on that the target which signed the
// response leaves.
func (tb *testbed) passedOnLeaving(r *request) {
	id, _, _ := strings.Cut(r.signature, ".")
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, t := range append(slices.Clone(tb.targets), tb.removedTargets...) {
		if t.ID == id {
			t.PassedOn(r.ip)
		}
	}
}

// checkStatements checks that instances heeded what targets told them. Excused are instances
// that had a fault or lost their paths since then, refusals that were held or lost on their way,
// and requests that were sent before and held.
func (tb *testbed) checkStatements() {
	for _, t := range append(slices.Clone(tb.targets), tb.removedTargets...) {
		excused := func(a upstreamsim.Arrival) bool {
			return a.Sent.Before(a.Told) || tb.hadFault(a.Instance, a.Told, a.At) || overlaps(t.pathSpans, a.Told, a.Told) ||
				slices.ContainsFunc(tb.pathCuts, func(c pathCut) bool {
					return slices.Contains(c.ips, a.Instance) && overlaps([]span{c.span}, a.Told, a.At)
				})
		}
		for _, line := range t.Ignored(excused) {
			tb.addViolation("what targets say is heeded", "%s", line)
		}
	}
}
