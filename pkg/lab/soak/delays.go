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
	// longStop is how long a process that starts with short processor time is stopped in turn; it is
	// below the length of a pause that the process notices.
	longStop = 450 * time.Millisecond
	// calmDelay is the length of a delay without another fault around: an instance that takes
	// an old configuration for the newest serves by it in the last second.
	calmDelay = maxApplyTime + timestampTolerance + time.Second
	// delayStream and calmDelayStream are the numbers of the streams of random numbers for these
	// faults.
	delayStream     = 9
	calmDelayStream = 10
)

// injectDelays delays what instances learn of changes, until ctx ends. The draws are apart from
// those of the other faults.
func (tb *testbed) injectDelays(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, delayStream))
	for ctx.Err() == nil {
		if sleep(ctx, startupTime+time.Duration(rng.Int64N(int64(2*time.Second)))) != nil {
			return
		}
		tb.delayNews(ctx, report, rng, 2*time.Second+time.Duration(rng.Int64N(int64(4*time.Second))))
	}
}

// delayInCalm delays what instances learn of a change without another fault around.
func (tb *testbed) delayInCalm(ctx context.Context, report *Report) error {
	tb.delayNews(ctx, report, rand.New(rand.NewPCG(tb.Seed, calmDelayStream)), calmDelay)
	return ctx.Err()
}

// delayNews changes the configuration after one of four faults: connections to the store are
// silent while new ones work, calls that wait for changes are not answered, or the processor time
// of an instance is short, which has been running or starts anew. The bound on the time of the
// change holds nevertheless.
func (tb *testbed) delayNews(ctx context.Context, report *Report, rng *rand.Rand, length time.Duration) {
	switch kind := rng.IntN(4); kind {
	case 0:
		tb.addFault(report, "connections to the store become silent")
		for _, i := range tb.instances {
			i.store.BlackholeExisting()
		}
		tb.change(rng)
		_ = sleep(ctx, length)
	case 1:
		tb.addFault(report, fmt.Sprintf("calls that wait for changes get no answer for %.1f s", length.Seconds()))
		tb.store.HoldFeeds(true)
		tb.change(rng)
		_ = sleep(ctx, length)
		tb.store.HoldFeeds(false)
	case 2:
		if i := tb.reserveInstance(rng); i != nil {
			tb.addFault(report, fmt.Sprintf("the processor time of %s is short for %.1f s", i.name, length.Seconds()))
			tb.change(rng)
			tb.shortenProcessor(ctx, i, length, shortStop)
			tb.release(i)
		}
	default:
		if i := tb.reserveInstance(rng); i != nil {
			tb.addFault(report, fmt.Sprintf("%s starts anew, and its processor time is short for %.1f s", i.name, length.Seconds()))
			if !tb.restart(i) {
				return
			}
			tb.shortenProcessor(ctx, i, length/4, longStop)
			tb.change(rng)
			tb.shortenProcessor(ctx, i, length-length/4, longStop)
			tb.release(i)
		}
	}
}

// restart kills a reserved instance and starts it again. It returns false if another fault has
// reserved the instance in the moment of its start.
func (tb *testbed) restart(i *instance) bool {
	end := tb.openSpan(&i.restartSpans)
	defer end()
	tb.stopProcess(i, true)
	if err := tb.startInstance(i, false); err != nil {
		tb.addViolation("process", "%s does not start: %s", i.name, err)
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	reserved := !i.exitExpected
	i.exitExpected = true
	return reserved
}

// change moves the moving route or withdraws a key.
func (tb *testbed) change(rng *rand.Rand) {
	if rng.IntN(2) == 0 {
		tb.moveRouteFault(rng).begin()
	} else {
		tb.withdrawKeyFault(rng).begin()
	}
}

// shortenProcessor stops and resumes a reserved instance in turn; stop is the length of each stop.
func (tb *testbed) shortenProcessor(ctx context.Context, i *instance, length, stop time.Duration) {
	end := tb.openSpan(&i.shortSpans)
	for began := time.Now(); ctx.Err() == nil && time.Since(began) < length; {
		i.process.Freeze()
		_ = sleep(ctx, stop)
		i.process.Resume()
		_ = sleep(ctx, shortRun)
	}
	end()
}

// release ends the reservation of an instance for a process fault.
func (tb *testbed) release(i *instance) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	i.exitExpected = false
}
