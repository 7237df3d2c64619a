package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// copyInterval is the time between two copies of the store, maxCopies the number of
	// copies that are kept: a restore goes back by up to their product.
	copyInterval = 700 * time.Millisecond
	maxCopies    = 12
	// reportInterval is the longest time until a target writes its entry again.
	reportInterval = 1500 * time.Millisecond
	// maxLapseInterval is the longest time between two lapses of entries, maxLapse the
	// longest time for which they are missing.
	maxLapseInterval = 4 * time.Second
	maxLapse         = 2 * time.Second
)

// injectRestores restores the store from copies, at random times and ages, until ctx
// ends. The draws are apart from those of the other faults.
func (tb *testbed) injectRestores(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 3))
	copies := []storesim.Copy{tb.store.Copy()}
	next := rng.IntN(maxCopies)
	for sleep(ctx, copyInterval) == nil {
		if next--; next >= 0 {
			copies = append(copies, tb.store.Copy())
			copies = copies[max(0, len(copies)-maxCopies):]
			continue
		}
		n, hang := rng.IntN(len(copies)), rng.IntN(2) == 0
		tb.addFault(report, fmt.Sprintf("store restored from a copy, %d copies back, waiting calls hang: %t", len(copies)-n, hang))
		tb.restore(ctx, rng, copies[n], hang, func() {})
		copies, next = []storesim.Copy{tb.store.Copy()}, 4+rng.IntN(maxCopies)
	}
}

// restore restores the store from a copy. The operator then writes its configuration
// again, a little later the targets their entries, and those of targets that left expire.
// onReturn is called when the store is back.
func (tb *testbed) restore(ctx context.Context, rng *rand.Rand, from storesim.Copy, hang bool, onReturn func()) {
	end := tb.beginStoreFaults(storesim.Faults{Reset: rng.IntN(2) == 0})
	_ = sleep(ctx, time.Duration(rng.Int64N(int64(reportInterval))))
	tb.store.Restore(from, hang)
	end()
	onReturn()
	tb.mu.Lock()
	tb.submitConfig(nil)
	tb.submitEvacuations()
	tb.mu.Unlock()
	_ = sleep(ctx, time.Duration(rng.Int64N(int64(reportInterval))))
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, t := range tb.removedTargets {
		tb.store.Delete("servers", t.ID)
	}
	for _, t := range tb.targets {
		tb.store.Put("servers", t.ID, t.ListEntry("ready", t.pathRelay.Addr()))
	}
}

// injectLapses lets entries of targets lapse for some time, as when these cannot reach the
// store while callers still reach them, until ctx ends. The draws are apart from those of
// the other faults.
func (tb *testbed) injectLapses(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 4))
	for sleep(ctx, time.Duration(rng.Int64N(int64(maxLapseInterval)))) == nil {
		share, length := 0.2+0.5*rng.Float64(), time.Duration(rng.Int64N(int64(maxLapse)))
		tb.mu.Lock()
		lapsed := slices.DeleteFunc(slices.Clone(tb.targets), func(t *target) bool { return rng.Float64() >= share || !t.drainingSince.IsZero() })
		for _, t := range lapsed {
			tb.store.Delete("servers", t.ID)
		}
		tb.mu.Unlock()
		tb.addFault(report, fmt.Sprintf("entries of %d targets lapse for %.1f s", len(lapsed), length.Seconds()))
		_ = sleep(ctx, length)
		tb.mu.Lock()
		for _, t := range lapsed {
			if slices.Contains(tb.targets, t) && t.drainingSince.IsZero() {
				tb.store.Put("servers", t.ID, t.ListEntry("ready", t.pathRelay.Addr()))
			}
		}
		tb.mu.Unlock()
	}
}
