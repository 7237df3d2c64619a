package discovery

import "time"

const (
	// missingRetention is how long after an outage of the store, or after its restore
	// from a copy, targets that disappeared from the listing stay in use: live ones are
	// listed again within about 2 s.
	missingRetention = 2200 * time.Millisecond
	// minExpiryOutage is the shortest time without a listing in which entries of live
	// targets can expire. Targets report to the store at an interval set by the
	// deployment and expire after three missed reports; missing two of them during
	// the outage is enough, as the last report before it may be one interval old.
	minExpiryOutage = 2 * time.Second
	// failureReportTime is how long after its last failed listing an instance reports failing
	// calls although others pass listings on. Listers whose calls fail repeat them after
	// maxRetryInterval and listingTimeout at the latest, so that they report it all the time;
	// the others do not call the store again while they get listings.
	failureReportTime = 3 * time.Second
	// beforeBoot is a time since boot before all others.
	beforeBoot = -time.Hour
)

// outage is what an instance knows of the store's failures, by its own listings and by
// those of other instances.
type outage struct {
	// failingSince is the time since boot from which this instance's listings have
	// failed, or 0 if the last one succeeded.
	failingSince time.Duration
	// lastOwnFailureAt is the time since boot of the last failure of this instance's listings.
	lastOwnFailureAt time.Duration
	// lastFailureAt is the time since boot of the last failure that this instance has
	// seen or heard of.
	lastFailureAt time.Duration
	// failureReports holds what serving instances reported last of their calls to the store.
	// Once a listing is known, only failing calls are kept.
	failureReports map[string]failureReport
	// consecutiveFailures counts the failed listings since the last successful one.
	consecutiveFailures int
	// settledAt is the time since boot from which on targets that are missing from a
	// listing count as removed.
	settledAt time.Duration
}

// failureReport is what an instance reports of its calls to the store.
type failureReport struct {
	failing bool
	// since is the time since boot from which on it reports failing calls, or beforeBoot if
	// they may have failed long ago.
	since time.Duration
}

// newOutage returns the state of an instance that knows of no failure.
func newOutage() outage {
	return outage{lastFailureAt: beforeBoot, lastOwnFailureAt: beforeBoot, failureReports: map[string]failureReport{}}
}

// reportsFailing reports whether this instance tells others that its calls to the store fail.
// knownAt is the time of the newest listing that it knows.
func (o *outage) reportsFailing(knownAt, now time.Duration) bool {
	return o.failingSince != 0 && (knownAt < o.lastOwnFailureAt || now-o.lastOwnFailureAt < failureReportTime)
}

// observeReport records whether another instance reports failing calls. They count as a
// failure of the store until a listing is known that was read after the first such report.
// In a new process, which knows no listing, the first report of an instance does not count:
// its calls may have failed long ago. knownAt is the time of the newest listing, or beforeBoot.
func (o *outage) observeReport(from string, failing bool, knownAt, now time.Duration) {
	last, heard := o.failureReports[from]
	report := failureReport{failing: failing, since: last.since}
	switch {
	case !failing:
	case !heard && knownAt == beforeBoot:
		report.since = beforeBoot
	case !last.failing:
		report.since = now
	}
	if failing || knownAt == beforeBoot {
		o.failureReports[from] = report
	} else {
		delete(o.failureReports, from)
	}
	if failing && report.since > knownAt {
		o.lastFailureAt = now
	}
}

// observeListing records that this instance has read a listing, the first one after that of
// the time before. If the store has failed meanwhile, whoever asked, entries of live targets
// may have expired. The retention starts at the last failure and not now: a standby may not
// list for a long time after the outage.
func (o *outage) observeListing(before, readAt time.Duration) {
	o.observeRead(before, readAt)
	o.failingSince, o.consecutiveFailures = 0, 0
}

// observeRead records that a listing was read, by whomever, and reports whether it ends an
// outage.
func (o *outage) observeRead(before, readAt time.Duration) bool {
	ends := o.endsOutage(before, readAt)
	if ends {
		o.settledAt = max(o.settledAt, o.lastFailureAt+missingRetention)
	}
	return ends
}

// endsOutage reports whether a listing is the first one after an outage in which entries of
// live targets may have expired.
func (o *outage) endsOutage(before, readAt time.Duration) bool {
	return o.lastFailureAt > before && readAt-before >= minExpiryOutage
}
