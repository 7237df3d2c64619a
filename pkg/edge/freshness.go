package edge

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
)

const (
	// pauseThreshold is the time without an observation from which the process counts
	// as paused. The fleet observes each 250 ms, whatever the store does. With the age
	// that state may have before, 1.35 s, what a shorter pause hides stays below the 2 s
	// within which a change must take effect.
	pauseThreshold = 600 * time.Millisecond
	// staleDatagramPeriod is how long after a pause received datagrams are dropped:
	// the ages in them count from their sending, and they may have waited in the
	// socket's buffer during the pause.
	staleDatagramPeriod = 200 * time.Millisecond
)

// freshness decides whether the configuration, the evacuated zones and the listing may be acted on. After a
// pause, they may have changed without this process noticing, so that one read of each
// must have ended that began after the pause: with an answer, or with a failure, which
// tells the pause from an outage of the store. At all times, follow.Follower.MayAct bounds how
// long the configuration may go unconfirmed. It implements control.ServeChecker.
type freshness struct {
	pauses   *clock.PauseDetector
	follower *follow.Follower
	registry *discovery.Registry
	instance *Instance
}

// MayServe reports whether a request may be admitted or sent to a target now.
func (f *freshness) MayServe() bool {
	return f.observe() && f.follower.MayServe() && f.follower.MayAct()
}

// observe records that the process runs, and reports whether nothing has been missed
// in a pause.
func (f *freshness) observe() bool {
	if f.pauses.Observe() {
		// Calls that ended during the pause say nothing about the store.
		f.follower.RetryNow()
		f.registry.RetryNow()
		event.ProcessPaused.Log(f.instance.Log).Send()
	}
	at := f.pauses.ResumedAt()
	return at == 0 || (f.follower.CheckedAt() >= at && f.registry.CheckedAt() >= at)
}

// refresh reads the configuration and the listing unless both have been checked since
// the last pause and read within maxAge, and the listing tells whether missing targets are gone.
func (f *freshness) refresh(ctx context.Context, maxAge time.Duration) {
	f.observe()
	at := f.pauses.ResumedAt()
	var reads sync.WaitGroup
	reads.Go(func() { f.follower.EnsureCheckedSince(ctx, at) })
	f.registry.EnsureCheckedSince(ctx, at)
	reads.Wait()
	f.registry.EnsureSettled(ctx, 0)
	f.ensureMaxAges(ctx, maxAge, maxAge)
}

// ensureMaxAges reads the listing and the configuration unless they are recent, at the same time:
// neither waits for a slow read of the other.
func (f *freshness) ensureMaxAges(ctx context.Context, listing, config time.Duration) {
	var reads sync.WaitGroup
	reads.Go(func() { f.follower.EnsureMaxAge(ctx, config) })
	f.registry.EnsureMaxAge(ctx, listing)
	reads.Wait()
}

// datagramsMayBeStale reports whether a datagram that is read now may have waited during
// a pause.
func (f *freshness) datagramsMayBeStale() bool {
	f.observe()
	at := f.pauses.ResumedAt()
	return at != 0 && f.instance.clock.SinceBoot()-at < staleDatagramPeriod
}
