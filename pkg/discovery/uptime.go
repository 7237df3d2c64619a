package discovery

import (
	"math"
	"time"
)

const (
	// relistTime is the time after the store's return within which live targets whose entries
	// had expired are listed again; the platform names about 2 s.
	relistTime = 2200 * time.Millisecond
	// minExpiryOutage is the shortest time without an answer of the store in which entries of
	// live targets can expire. Targets report to the store at an interval set by the
	// deployment and expire after three missed reports; missing two of them during
	// the outage is enough, as the last report before it may be one interval old. It is
	// longer than the listings of an instance that relies on others may be apart.
	minExpiryOutage = 2 * time.Second
	// minObservedOutage takes the place of minExpiryOutage if two calls of this instance in a
	// row have failed meanwhile: entries also expire in a series of shorter outages, and are
	// not written again during one. A single lost call does not take so long.
	minObservedOutage = time.Second
	// maxNoticeDelay is the longest time from the last call that failed to the first one that
	// is answered, for an instance that calls the store each retryInterval. One that has not
	// called it for longer cannot tell when it returned, and assumes that it was then.
	maxNoticeDelay = 600 * time.Millisecond
	// never is a time since boot after all others.
	never = time.Duration(math.MaxInt64) - relistTime
)

// uptime is the latest span of time, as times since boot, for which the store is known to have
// been up without an outage, from the answers that any instance got. Only answers change it:
// failed calls tell an outage from a time in which nobody called the store.
type uptime struct {
	// known is false while no answer is known.
	known bool
	// since is when the store is known to have been up at the latest: the end of the first call
	// that it answered. until is the start of the last one.
	since, until time.Duration
	// afterOutage is set if an outage came before since; otherwise, nothing is known of that time.
	afterOutage bool
	// lostAt is the start of the last call that was answered before the outage, or beforeBoot
	// if it is not known.
	lostAt time.Duration
	// returnedBy is the latest time at which the store is assumed to have returned, by the
	// failures that this instance knows; never if it knows of the outage only from others. It
	// is no evidence, so that others do not get it.
	returnedBy time.Duration
}

// failureTimes are the times since boot of failures of the store that are known.
type failureTimes struct {
	// lastAt is the time of the last failure that this instance has seen or heard of, the start
	// of the call if it was its own.
	lastAt time.Duration
	// lastOwnAt and previousOwnAt are the starts of the last two listings of this instance that failed.
	lastOwnAt, previousOwnAt time.Duration
}

// minOutage returns the shortest time without an answer after a given time that counts as an outage.
func (f *failureTimes) minOutage(after time.Duration) time.Duration {
	if f.previousOwnAt > after {
		return minObservedOutage
	}
	return minExpiryOutage
}

// answeredCall returns the uptime that one answered call shows.
func answeredCall(startedAt, endedAt time.Duration) uptime {
	return uptime{known: true, since: endedAt, until: startedAt, lostAt: beforeBoot, returnedBy: never}
}

// settledAt returns the time from which on a listing tells whether targets that it lacks are
// gone: live ones whose entries had expired in an outage are listed again by then.
func (u uptime) settledAt() time.Duration {
	if !u.afterOutage {
		return beforeBoot
	}
	return min(u.since, u.returnedBy) + relistTime
}

// join returns what is known of the store with further evidence.
func (u uptime) join(e uptime, failures *failureTimes) uptime {
	switch {
	case !u.known:
		return e
	case e.since-u.until >= failures.minOutage(u.until):
		return e.after(u, failures)
	case u.since > e.until && u.keptApartFrom(e):
		u.lostAt = max(u.lostAt, e.until)
		return u
	}
	joined := uptime{known: true, since: min(u.since, e.since), until: max(u.until, e.until), lostAt: beforeBoot, returnedBy: never}
	for _, part := range []uptime{u, e} {
		// The other part may show that there was no outage, or that it ended earlier.
		if part.afterOutage && joined.since-part.lostAt >= minObservedOutage {
			joined.afterOutage, joined.lostAt = true, max(joined.lostAt, part.lostAt)
			joined.returnedBy = min(joined.returnedBy, part.returnedBy)
		}
	}
	return joined
}

// after returns u as the uptime that follows an earlier one, with a time between them for which
// no answer is known. It counts as an outage if others say so or a call has failed in it.
func (u uptime) after(earlier uptime, failures *failureTimes) uptime {
	switch {
	case u.afterOutage:
		u.lostAt = max(u.lostAt, earlier.until)
	case failures.lastAt > earlier.until:
		u.afterOutage, u.lostAt, u.returnedBy = true, earlier.until, failures.lastAt+maxNoticeDelay
	}
	return u
}

// keptApartFrom reports whether the time between earlier evidence and u may hide an outage.
func (u uptime) keptApartFrom(earlier uptime) bool {
	if u.afterOutage {
		return u.since-max(u.lostAt, earlier.until) >= minObservedOutage
	}
	return u.since-earlier.until >= minExpiryOutage
}
