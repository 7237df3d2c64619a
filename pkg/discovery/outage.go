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
)

// outage is what an instance knows of the store's failures, by its own listings and by
// those of other instances.
type outage struct {
	// failingSince is the time since boot from which this instance's listings have
	// failed, or 0 if the last one succeeded.
	failingSince time.Duration
	// lastFailureAt is the time since boot of the last failure that this instance has
	// seen or heard of.
	lastFailureAt time.Duration
	// consecutiveFailures counts the failed listings since the last successful one.
	consecutiveFailures int
	// settledAt is the time since boot from which on targets that are missing from a
	// listing count as removed.
	settledAt time.Duration
}

// observeListing records that this instance has read a listing, the first one after that of
// the time before. If the store has failed meanwhile, whoever asked, entries of live targets
// may have expired. The retention starts at the last failure and not now: a standby may not
// list for a long time after the outage.
func (o *outage) observeListing(before, readAt time.Duration) {
	if o.endsOutage(before, readAt) {
		o.settledAt = max(o.settledAt, o.lastFailureAt+missingRetention)
	}
	o.failingSince, o.consecutiveFailures = 0, 0
}

// endsOutage reports whether a listing is the first one after an outage in which entries of
// live targets may have expired.
func (o *outage) endsOutage(before, readAt time.Duration) bool {
	return o.lastFailureAt > before && readAt-before >= minExpiryOutage
}
