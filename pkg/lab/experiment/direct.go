package experiment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutuslink/arbutuslink/pkg/lab/caller"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

// directCallsPerSecond is the rate of calls that go to a target without the
// fleet. Their latency shows what the machine itself adds in the same run.
const directCallsPerSecond = 20

// directLoad sends calls straight to random targets and records their latency
// beyond the time that the target had the request.
type directLoad struct {
	mu sync.Mutex
	// callers are keyed by target address.
	callers map[string]*caller.Caller
	// addedLatency is in microseconds.
	addedLatency *hdrhistogram.Histogram
	calls        sync.WaitGroup
}

func newDirectLoad() *directLoad {
	return &directLoad{addedLatency: report.NewHistogram(), callers: map[string]*caller.Caller{}}
}

// start sends calls at fixed intervals until ctx ends.
func (d *directLoad) start(ctx context.Context, r *Run) {
	d.calls.Add(1)
	go func() {
		defer d.calls.Done()
		rng := rand.New(rand.NewPCG(r.Options.Seed, 99))
		for n := int64(0); sleepUntil(ctx, time.Now().Add(time.Second/directCallsPerSecond)); n++ {
			target := r.Fleet.Targets[rng.IntN(len(r.Fleet.Targets))]
			d.calls.Add(1)
			go func() {
				defer d.calls.Done()
				d.call(target.Address, caller.NewID("direct", n))
			}()
		}
	}()
}

// call sends one request and records its added latency if it succeeds.
func (d *directLoad) call(address, id string) {
	answer := d.caller(address).Do(context.Background(), caller.Request{ID: id, Method: "GET", Path: "/direct"})
	if answer.Err != nil || answer.Status != 200 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.addedLatency.RecordValue(max(1, (answer.Latency - answer.TargetTime).Microseconds()))
}

// caller returns the caller for a target address. It reuses its connections, as
// the callers of the fleet do.
func (d *directLoad) caller(address string) *caller.Caller {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.callers[address] == nil {
		d.callers[address] = caller.New(caller.Options{Seeds: []string{address}, Pinned: true, MaxTries: 1, Timeout: callerTimeout})
	}
	return d.callers[address]
}

// result waits until all calls have ended and summarizes their added latency.
func (d *directLoad) result() *report.Quantiles {
	d.calls.Wait()
	q := report.Summarize(d.addedLatency)
	return &q
}
