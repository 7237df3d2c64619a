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

// directRate is the number of calls per second that go to a target without the
// fleet. They show what the machine itself adds in the same run.
const directRate = 20

// direct sends calls straight to targets.
type direct struct {
	mu    sync.Mutex
	added *hdrhistogram.Histogram
	group sync.WaitGroup
}

func newDirect() *direct { return &direct{added: report.NewHistogram()} }

func (d *direct) start(ctx context.Context, r *Run) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		rng := rand.New(rand.NewPCG(r.Options.Seed, 99))
		for n := int64(0); sleepUntil(ctx, time.Now().Add(time.Second/directRate)); n++ {
			target := r.Fleet.Targets[rng.IntN(len(r.Fleet.Targets))]
			d.group.Add(1)
			go func() {
				defer d.group.Done()
				d.call(target.Address, caller.NewID("direct", n))
			}()
		}
	}()
}

func (d *direct) call(address, id string) {
	c := caller.New(caller.Options{Seeds: []string{address}, Pinned: true, MaxTries: 1, Timeout: callerTimeout})
	answer := c.Do(context.Background(), caller.Request{ID: id, Method: "GET", Path: "/direct"})
	if answer.Err != nil || answer.Status != 200 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.added.RecordValue(max(1, (answer.Latency - answer.TargetTime).Microseconds()))
}

func (d *direct) result() *report.Quantiles {
	d.group.Wait()
	q := report.Summarize(d.added)
	return &q
}
