package fleet

import (
	"math"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// maxAddedDelay bounds the delay that is added to an age, and is added to that of a
// configuration if the delay is unknown.
const maxAddedDelay = time.Hour

// stamp records in a heartbeat when it is built, if the store's clock is known.
func stamp(h *peerpb.Heartbeat, store *clock.Remote, now time.Duration) {
	if store == nil {
		return
	}
	if era, earliest, _, ok := store.At(now); ok {
		h.SentMs, h.SentEra = earliest.Milliseconds(), era
	}
}

// transitTime returns the longest time that a heartbeat received now may have been under way, in
// the socket of its sender, on the links and in the own socket. It returns false if that is
// unknown: sender and receiver have not both read the store's clock in the same era, or the
// sender is of an earlier release.
func transitTime(h *peerpb.Heartbeat, store *clock.Remote, now time.Duration) (time.Duration, bool) {
	if h.SentMs == 0 || store == nil {
		return 0, false
	}
	era, _, latest, ok := store.At(now)
	if !ok || era != h.SentEra {
		return 0, false
	}
	return max(0, latest-time.Duration(h.SentMs)*time.Millisecond), true
}

// addDelay adds the time for which a heartbeat was under way to the ages of what it tells, which
// count from its sending. If that time is unknown, the heartbeat confirms no configuration; the
// other ages stay as they are.
func addDelay(h *peerpb.Heartbeat, delay time.Duration, known bool) {
	if !known {
		addToAge(&h.ConfigAgeMs, maxAddedDelay)
		return
	}
	addToAge(&h.ConfigAgeMs, delay)
	if h.Listing != nil {
		addToAge(&h.Listing.AgeMs, delay)
	}
	if h.ConnectedAgeMs != nil {
		addToAge(h.ConnectedAgeMs, delay)
	}
	for _, limit := range h.RateLimits {
		addToAge(&limit.AgeMs, delay)
	}
	for _, target := range h.ColdTargets {
		addToAge(&target.AgeMs, delay)
		if target.ReachedAgeMs != nil {
			addToAge(target.ReachedAgeMs, delay)
		}
	}
}

// addToAge adds a delay to an age in ms, without overflow.
func addToAge(age *uint32, delay time.Duration) {
	ms := uint32(min(delay, maxAddedDelay).Milliseconds())
	*age += min(ms, math.MaxUint32-*age)
}

// HeartbeatDelay returns the longest time that heartbeats were under way since it was last
// called, as far as it is known.
func (f *Fleet) HeartbeatDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	longest := f.heartbeatDelay
	f.heartbeatDelay = 0
	return longest
}
