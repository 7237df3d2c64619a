package entry

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// listedProber probes targets. One that the platform lists as leaving counts
// as draining, whatever it answers.
type listedProber struct {
	health.Prober
	leaving *leavingList
}

func newProber(inner health.Prober, list platform.InstanceList, c clock.Clock) *listedProber {
	return &listedProber{Prober: inner, leaving: &leavingList{list: list, clock: c}}
}

// Probe asks the list and then the target for its health.
func (p *listedProber) Probe(ctx context.Context, address, path string) health.ProbeStatus {
	if p.leaving.contains(ctx, address) {
		return health.ProbeDraining
	}
	return p.Prober.Probe(ctx, address, path)
}

// listAge is the age at which the platform's list is read again. Only health
// evaluators probe, so that the reads grow with the number of services and not
// with the number of instances.
const listAge = time.Second

// leavingList keeps the addresses that the platform lists as leaving. While
// the platform is away the last answer stays in use.
type leavingList struct {
	list  platform.InstanceList
	clock clock.Clock

	mu        sync.Mutex
	read      time.Duration
	reading   bool
	addresses map[string]bool
}

func (l *leavingList) contains(ctx context.Context, address string) bool {
	l.mu.Lock()
	now := l.clock.SinceBoot()
	due := !l.reading && (l.addresses == nil || now-l.read >= listAge)
	if due {
		l.reading, l.read = true, now
	}
	known := l.addresses[address]
	l.mu.Unlock()
	if due {
		// The probe does not wait for the platform.
		go l.refresh(context.WithoutCancel(ctx))
	}
	return known
}

func (l *leavingList) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listAge)
	defer cancel()
	listed, err := l.list.List(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if err != nil {
		return
	}
	l.addresses = map[string]bool{}
	for _, entry := range listed {
		if entry.State == platform.Leaving {
			l.addresses[entry.Address] = true
		}
	}
}
