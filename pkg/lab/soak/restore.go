package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
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
		tb.restore(ctx, rng, copies[n], hang)
		copies, next = []storesim.Copy{tb.store.Copy()}, 4+rng.IntN(maxCopies)
	}
}

// restore restores the store from a copy. The operator then writes its configuration
// again, a little later the targets their entries, and those of targets that left expire.
func (tb *testbed) restore(ctx context.Context, rng *rand.Rand, from storesim.Copy, hang bool) {
	end := tb.beginStoreFaults(storesim.Faults{Reset: rng.IntN(2) == 0})
	_ = sleep(ctx, time.Duration(rng.Int64N(int64(reportInterval))))
	tb.store.Restore(from, hang)
	end()
	tb.mu.Lock()
	tb.submitConfig(nil)
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
