package discovery

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// fromStore is the log value for evidence from this instance's own calls; for evidence that
// another one passed on, it is the name of that instance.
const fromStore = "store"

// retain returns the entries of missing targets that stay in use although a listing lacks
// them: they may have expired only because of an outage of the store. A draining target is
// dropped, one whose address another target has, and each that a listing lacks which was
// requested after the store had settled. The caller holds mu.
func (r *Registry) retain(missing []*Entry, listed map[string]Target, readAt, now time.Duration) []*Entry {
	settledAt := r.uptime.settledAt()
	if len(missing) == 0 || readAt >= settledAt {
		return nil
	}
	addresses := make(map[string]bool, len(listed))
	for _, t := range listed {
		addresses[t.Address] = true
	}
	var retained []*Entry
	for _, entry := range missing {
		switch {
		case entry.Draining, addresses[entry.Address]:
			continue
		case entry.missingSince == 0:
			marked := *entry
			marked.missingSince = now
			entry = &marked
			event.TargetRetained.Log(r.log).Str("target", entry.ID).Str("service", entry.Service).Dur("left", max(0, settledAt-now)).
				Dur("outage", r.uptime.since-r.uptime.lostAt).Dur("up", now-r.uptime.since).Send()
		}
		retained = append(retained, entry)
	}
	return retained
}

// settlesAt returns the time since boot at which a listing can tell whether the missing
// targets are gone, or false if none is missing.
func (r *Registry) settlesAt() (at time.Duration, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.uptime.settledAt(), r.hasMissing
}

// EnsureSettled lists the targets if some are missing and a listing has been able to tell for the
// given time whether they are gone.
func (r *Registry) EnsureSettled(ctx context.Context, grace time.Duration) {
	due := func() bool {
		at, ok := r.settlesAt()
		now := r.clock.SinceBoot()
		return ok && now >= at+grace && now >= time.Duration(r.retryAt.Load())
	}
	if !due() {
		return
	}
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	if due() {
		// list logs the failure and records it for the retry interval.
		_ = r.list(ctx)
	}
}

// NextDue returns the time until EnsureSettled, with the same grace, or the retry of a failed
// listing is due, or limit if that is shorter.
func (r *Registry) NextDue(grace, limit time.Duration) time.Duration {
	now := r.clock.SinceBoot()
	times := []time.Duration{time.Duration(r.retryAt.Load())}
	if at, ok := r.settlesAt(); ok {
		times = append(times, at+grace)
	}
	for _, at := range times {
		if at > now {
			limit = min(limit, at-now)
		}
	}
	return limit
}

// Retention tells why and for how long targets stay in use that are missing from the listing,
// with times in milliseconds.
type Retention struct {
	// StoreUpMS is for how long the store is known to have been up without an outage.
	StoreUpMS int64 `json:"store_up_ms"`
	// OutageMS is how long the outage before that lasted at most; it is absent if none is known.
	OutageMS int64 `json:"outage_ms,omitempty"`
	// LeftMS is the time until missing targets are dropped, by the first listing from then on.
	LeftMS int64 `json:"left_ms"`
	// Targets are the missing targets that are in use.
	Targets []RetainedTarget `json:"targets"`
}

// RetainedTarget is a target that is in use although it is missing from the listing.
type RetainedTarget struct {
	Target    string `json:"target"`
	Service   string `json:"service"`
	MissingMS int64  `json:"missing_ms"`
}

// Retention returns the state of the retention for diagnosis, targets sorted by id.
func (r *Registry) Retention() Retention {
	now := r.clock.SinceBoot()
	r.mu.Lock()
	u := r.uptime
	r.mu.Unlock()
	state := Retention{LeftMS: max(0, u.settledAt()-now).Milliseconds(), Targets: []RetainedTarget{}}
	if u.known {
		state.StoreUpMS = (now - u.since).Milliseconds()
	}
	if u.afterOutage {
		state.OutageMS = (u.since - max(0, u.lostAt)).Milliseconds()
	}
	for _, entry := range r.Catalogue().byID {
		if entry.missingSince != 0 {
			state.Targets = append(state.Targets, RetainedTarget{entry.ID, entry.Service, (now - entry.missingSince).Milliseconds()})
		}
	}
	slices.SortFunc(state.Targets, func(a, b RetainedTarget) int { return strings.Compare(a.Target, b.Target) })
	return state
}
