package follow

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// read is a read of the source that several callers may wait for.
type read struct {
	// startedAt is the time since boot at which it began.
	startedAt time.Duration
	// ended is closed when the answer is applied, the read has failed, or readWait has passed.
	ended chan struct{}
}

// answer is the result of a call to the source.
type answer struct {
	update Update
	err    error
}

// read reads the newest configuration from the source and applies it, together with other
// callers. It returns when the answer is applied, the read has failed, readWait has passed, or
// ctx ends; the read itself goes on. It returns the time since boot at which the read began.
func (f *Follower) read(ctx context.Context) (startedAt time.Duration) {
	f.readMu.Lock()
	r := f.reading
	if r == nil {
		r = &read{startedAt: f.clock.SinceBoot(), ended: make(chan struct{})}
		f.reading = r
		go f.perform(r)
	}
	f.readMu.Unlock()
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
	return r.startedAt
}

// perform calls the source and applies its answer, also when it comes after readWait.
func (f *Follower) perform(r *read) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	answered := make(chan answer, 1)
	go func() {
		update, err := f.source.Await(ctx, Cursor{})
		answered <- answer{update, err}
	}()
	timer := time.NewTimer(readWait)
	defer timer.Stop()
	select {
	case a := <-answered:
		f.finish(r, a)
		f.end(r)
	case <-timer.C:
		if f.clock.SinceBoot()-r.startedAt < readWait+maxWaitDelay {
			f.recordFailure(r)
		}
		f.end(r)
		f.finish(r, <-answered)
	}
}

// end lets the callers go on that wait for r; later ones begin another read.
func (f *Follower) end(r *read) {
	f.readMu.Lock()
	f.reading = nil
	f.readMu.Unlock()
	close(r.ended)
}

// finish applies the answer to a read.
func (f *Follower) finish(r *read, a answer) {
	if a.err != nil {
		// A read that took far longer than its timeout spans a pause of the process and
		// says nothing about the source.
		if f.clock.SinceBoot()-r.startedAt < readTimeout+maxTimeoutDelay {
			f.recordFailure(r)
		}
		event.PlatformUnavailable.Log(f.log).Err(a.err).Int64("config_version", f.View().Config.Version).Send()
		return
	}
	f.applyFromSource(a.update, r.startedAt)
}

// applyFromSource applies an answer of the source to a call that began at the given time since
// boot. There was no newer version then, whatever other instances have named before: they may hold
// one that was lost in a restore of the store.
func (f *Follower) applyFromSource(update Update, startedAt time.Duration) {
	f.apply(update, fromStore)
	if f.outdatedAt.Load() <= int64(startedAt) {
		f.newestHeard.Store(f.View().Config.Version)
		f.outdatedAt.Store(0)
	}
	// The confirmation comes last: it lets requests pass that wait after a pause.
	f.confirmNewest(startedAt)
}

// recordFailure records that the source could not tell whether there is a newer version.
// A failure after readWait does not put the next read off once more.
func (f *Follower) recordFailure(r *read) {
	f.retryAt.Store(int64(min(f.clock.SinceBoot(), r.startedAt+readWait) + failedReadBackoff))
	f.failedAt.Store(int64(r.startedAt))
}
