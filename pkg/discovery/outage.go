package discovery

import "time"

const (
	// failureReportTime is how long after its last failed listing an instance reports failing
	// calls although others pass listings on. Listers whose calls fail repeat them sooner, so
	// that they report it all the time; the others do not call the store again while they get
	// listings.
	failureReportTime = 3 * time.Second
	// beforeBoot is a time since boot before all others.
	beforeBoot = -time.Hour
)

// outage is what an instance knows of the store's failures, by its own listings and by
// those of other instances.
type outage struct {
	// failing is set while this instance's last listing failed.
	failing bool
	// lastOwnEndAt is the time since boot at which the last listing of this instance that failed
	// ended.
	lastOwnEndAt time.Duration
	// failures are the times of the failures that are known.
	failures failureTimes
	// failingSince holds the instances that reported failing calls last, with the time since boot
	// from which on they have.
	failingSince map[string]time.Duration
}

// newOutage returns the state of an instance that knows of no failure.
func newOutage() outage {
	return outage{
		lastOwnEndAt: beforeBoot, failingSince: map[string]time.Duration{},
		failures: failureTimes{lastAt: beforeBoot, lastOwnAt: beforeBoot, previousOwnAt: beforeBoot},
	}
}

// reportsFailing reports whether this instance tells others that its calls to the store fail.
// knownAt is the time of the newest listing that it knows.
func (o *outage) reportsFailing(knownAt, now time.Duration) bool {
	return o.failing && (knownAt < o.lastOwnEndAt || now-o.lastOwnEndAt < failureReportTime)
}

// observeReport records whether another instance reports failing calls. They count as a
// failure of the store until a listing is known that was read after the first such report:
// afterwards, the calls may have failed long ago. knownAt is the time of the newest listing, or beforeBoot.
func (o *outage) observeReport(from string, failing bool, knownAt, now time.Duration) {
	if !failing {
		delete(o.failingSince, from)
		return
	}
	since, ok := o.failingSince[from]
	if !ok {
		since = now
		o.failingSince[from] = now
	}
	if since > knownAt {
		o.failures.lastAt = now
	}
}

// observeOwnFailure records that a listing of this instance failed, and the start of its last call.
func (o *outage) observeOwnFailure(startedAt, lastCallAt, endedAt time.Duration) {
	o.failing, o.lastOwnEndAt = true, endedAt
	f := &o.failures
	f.lastAt = max(f.lastAt, lastCallAt)
	f.previousOwnAt, f.lastOwnAt = f.lastOwnAt, startedAt
}
