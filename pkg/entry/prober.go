package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// listedProber probes targets. A target that the platform lists as leaving counts
// as draining, whatever its health path answers.
type listedProber struct {
	health.Prober
	leaving *leavingList
}

func newListedProber(inner health.Prober, list platform.InstanceList, c clock.Clock, log *zerolog.Logger) *listedProber {
	return &listedProber{Prober: inner, leaving: &leavingList{list: list, clock: c, log: log}}
}

// Probe checks the platform's list and then, unless the target is leaving, its
// health path.
func (p *listedProber) Probe(ctx context.Context, address, path string) health.ProbeStatus {
	if p.leaving.contains(ctx, address) {
		return health.ProbeDraining
	}
	return p.Prober.Probe(ctx, address, path)
}

// listMaxAge is the age at which the platform's list is read again, and the timeout
// of the read. Only health evaluators probe, so the number of reads grows with the
// number of services and not with the number of instances.
const listMaxAge = time.Second

// leavingList caches the addresses that the platform lists as leaving. While the
// platform is unavailable, the last list stays in use.
type leavingList struct {
	list  platform.InstanceList
	clock clock.Clock
	log   *zerolog.Logger

	mu         sync.Mutex
	lastRead   time.Duration
	refreshing bool
	// failing says that the last read failed.
	failing   bool
	addresses map[string]bool
}

// contains reports whether the cached list has the address. It starts a refresh if
// there is no list or the last read began listMaxAge ago or earlier.
func (l *leavingList) contains(ctx context.Context, address string) bool {
	l.mu.Lock()
	now := l.clock.SinceBoot()
	needsRefresh := !l.refreshing && (l.addresses == nil || now-l.lastRead >= listMaxAge)
	if needsRefresh {
		l.refreshing, l.lastRead = true, now
	}
	leaving := l.addresses[address]
	l.mu.Unlock()
	if needsRefresh {
		// Refresh in the background: the probe must not wait for the platform.
		go l.refresh(context.WithoutCancel(ctx))
	}
	return leaving
}

// refresh reads the platform's list. It keeps the previous list after an error.
func (l *leavingList) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listMaxAge)
	defer cancel()
	listed, err := l.list.List(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refreshing = false
	if err != nil {
		if !l.failing {
			event.InstanceListFailed.Log(l.log).Err(err).Send()
		}
		l.failing = true
		return
	}
	l.failing = false
	l.addresses = map[string]bool{}
	for _, entry := range listed {
		if entry.State == platform.Leaving {
			l.addresses[entry.Address] = true
		}
	}
}
