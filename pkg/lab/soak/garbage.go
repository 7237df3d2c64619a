package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// garbageStream is the stream of random numbers of injectGarbage, apart from those of the
	// other faults.
	garbageStream = 11
	// garbageEvery is the number of responses of which one is garbage.
	garbageEvery = 3
)

// injectGarbage makes one target at a time send some responses that are no HTTP, until ctx ends.
// Callers check that none reaches them.
func (tb *testbed) injectGarbage(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, garbageStream))
	for {
		pause, length := time.Duration(rng.Int64N(int64(2*time.Second))), 500*time.Millisecond+time.Duration(rng.Int64N(int64(2*time.Second)))
		if sleep(ctx, pause) != nil {
			return
		}
		t := tb.randomTarget(rng)
		tb.addFault(report, fmt.Sprintf("%s sends garbage for %.1f s", t.ID, length.Seconds()))
		t.SetGarbageEvery(garbageEvery)
		_ = sleep(ctx, length)
		t.SetGarbageEvery(0)
	}
}
