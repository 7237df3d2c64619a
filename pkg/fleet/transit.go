package fleet

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// transitWindow is the time after which an older fastest heartbeat no longer counts, because
// steady clocks drift: 50 millionths are 6 ms in two windows.
const transitWindow = time.Minute

// maxAddedDelay bounds the delay that is added to an age.
const maxAddedDelay = time.Hour

// transit tells how long the heartbeats of one process were under way, in its socket, on the
// links and in the own socket. The clocks of two machines have different origins, so that only
// the difference to the fastest heartbeat of the last windows is known.
type transit struct {
	incarnation uint64
	windowStart time.Duration
	// fastest is the least difference between the clocks at receipt and at sending in the
	// current window, previous that in the one before.
	fastest, previous time.Duration
}

// delay returns how much longer than the fastest one a heartbeat that is received now was under
// way; 0 for one of an earlier release.
func (t *transit) delay(h *peerpb.Heartbeat, now time.Duration) time.Duration {
	if h.SentMs == 0 {
		return 0
	}
	difference := now - time.Duration(h.SentMs)*time.Millisecond
	switch {
	case t.incarnation != h.Incarnation || now-t.windowStart >= 2*transitWindow:
		*t = transit{incarnation: h.Incarnation, windowStart: now, fastest: difference, previous: difference}
	case now-t.windowStart >= transitWindow:
		t.windowStart, t.previous, t.fastest = now, t.fastest, difference
	default:
		t.fastest = min(t.fastest, difference)
	}
	return difference - min(t.fastest, t.previous)
}

// addDelay adds the time for which a heartbeat was under way to the ages of what it tells,
// which count from its sending.
func addDelay(h *peerpb.Heartbeat, delay time.Duration) {
	ms := uint32(min(delay, maxAddedDelay).Milliseconds())
	h.ConfigAgeMs += ms
	if h.Listing != nil {
		h.Listing.AgeMs += ms
	}
	if h.ConnectedAgeMs != nil {
		*h.ConnectedAgeMs += ms
	}
	for _, limit := range h.RateLimits {
		limit.AgeMs += ms
	}
	for _, target := range h.ColdTargets {
		target.AgeMs += ms
		if target.ReachedAgeMs != nil {
			*target.ReachedAgeMs += ms
		}
	}
}

// HeartbeatDelay returns the longest time that heartbeats were under way since it was last
// called, beyond that of their sender's fastest one.
func (f *Fleet) HeartbeatDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := f.heartbeatDelay
	f.heartbeatDelay = 0
	return longest
}
