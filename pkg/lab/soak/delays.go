package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// shortRun and shortStop are how long a process runs and is stopped in turn while its
	// processor time is short. Neither is a pause that the process notices.
	shortRun  = 30 * time.Millisecond
	shortStop = 120 * time.Millisecond
	// delayStream is the number of the stream of random numbers for these faults.
	delayStream = 9
)

// injectDelays delays what instances learn, until ctx ends: connections to the store become
// silent while new ones work, calls that wait for changes are not answered, or the processor time
// of an instance is short. No bound on the time of a configuration change is lifted for these
// faults. The draws are apart from those of the other faults.
func (tb *testbed) injectDelays(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, delayStream))
	for ctx.Err() == nil {
		if sleep(ctx, startupTime+time.Duration(rng.Int64N(int64(2*time.Second)))) != nil {
			return
		}
		kind, length := rng.IntN(3), time.Second+time.Duration(rng.Int64N(int64(4*time.Second)))
		chosen := tb.instances[rng.IntN(len(tb.instances))]
		switch kind {
		case 0:
			all := rng.IntN(2) == 0
			tb.addFault(report, fmt.Sprintf("connections to the store become silent at %s (all: %t)", chosen.name, all))
			for _, i := range tb.instances {
				if all || i == chosen {
					i.store.BlackholeExisting()
				}
			}
		case 1:
			tb.addFault(report, fmt.Sprintf("calls that wait for changes get no answer for %.1f s", length.Seconds()))
			tb.store.HoldFeeds(true)
			_ = sleep(ctx, length)
			tb.store.HoldFeeds(false)
		default:
			if i := tb.reserveInstance(rng); i != nil {
				tb.addFault(report, fmt.Sprintf("the processor time of %s is short for %.1f s", i.name, length.Seconds()))
				tb.shorten(ctx, i, length)
			}
		}
	}
}

// shorten stops and resumes a reserved instance in turn.
func (tb *testbed) shorten(ctx context.Context, i *instance, length time.Duration) {
	end := tb.openSpan(&i.shortSpans)
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < length; {
		i.process.Freeze()
		_ = sleep(ctx, shortStop)
		i.process.Resume()
		_ = sleep(ctx, shortRun)
	}
	end()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	i.exitExpected = false
}
