package discovery

import "time"

// observeEra records the era of the store in a listing, and reports whether the store
// was restored from a copy since the last one. The copy may lack live targets until they
// report again, so missing ones are retained as after an outage. The caller holds mu.
func (r *Registry) observeEra(era int64, now time.Duration) (restored bool) {
	if era <= r.era {
		return false
	}
	restored = r.era != 0
	r.era = era
	if restored {
		r.restoredAt = now
		r.settledAt = max(r.settledAt, now+missingRetention)
	}
	return restored
}
