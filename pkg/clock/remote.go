package clock

import (
	"sync"
	"time"
)

// remoteWindow is the time after which older readings no longer count if there are newer ones,
// because steady clocks drift: 50 millionths are 6 ms in two windows.
const remoteWindow = time.Minute

// Remote estimates the steady clock of another machine from its readings in answers to calls.
// The clock of a machine that has been restored may go back; such runs of it are told apart by
// their eras. It is safe for concurrent use; the zero value knows nothing.
type Remote struct {
	mu          sync.Mutex
	known       bool
	era         int64
	windowStart time.Duration
	// current are the bounds from the readings of the current window, previous from those of
	// the one before.
	current, previous bounds
}

// bounds are the least and the greatest difference of the remote clock to the own one.
type bounds struct{ low, high time.Duration }

func (b bounds) intersect(o bounds) bounds { return bounds{max(b.low, o.low), min(b.high, o.high)} }

func (b bounds) empty() bool { return b.low > b.high }

// Observe records what the remote clock showed in the answer to a call, and when the call was
// sent and its answer received, as time since boot.
func (r *Remote) Observe(era int64, reading, sentAt, receivedAt time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known && era < r.era {
		return
	}
	observed := bounds{low: reading - receivedAt, high: reading - sentAt}
	elapsed := receivedAt - r.windowStart
	switch combined := r.current.intersect(observed); {
	case !r.known || era != r.era || elapsed >= 2*remoteWindow:
		r.known, r.era, r.windowStart, r.previous, r.current = true, era, receivedAt, observed, observed
	case elapsed >= remoteWindow:
		r.windowStart, r.previous, r.current = receivedAt, r.current, observed
	case combined.empty():
		r.previous, r.current = observed, observed
	default:
		r.current = combined
	}
}

// At returns the era of the remote clock and the earliest and the latest time that it may show at
// a time since boot. It returns false if nothing is known of that clock.
func (r *Remote) At(at time.Duration) (era int64, earliest, latest time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := r.current.intersect(r.previous)
	if b.empty() {
		b = r.current
	}
	return r.era, at + b.low, at + b.high, r.known
}
