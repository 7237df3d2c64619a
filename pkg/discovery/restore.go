package discovery

import (
	"maps"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// observeUptime records evidence on the uptime of the store, in an era of it, and reports
// whether the store may have been restored from a copy since this process started. The copy may
// lack live targets until they report again, so that a restore counts as an outage. The caller
// holds mu.
func (r *Registry) observeUptime(e uptime, era int64, from string, now time.Duration) (restored bool) {
	before := r.uptime
	if era > r.era && r.era != 0 {
		r.restoredAt = now
		e.afterOutage, e.lostAt = true, min(before.until, e.since-minExpiryOutage)
		r.uptime = e
	} else {
		r.uptime = before.join(e, &r.failures)
	}
	restored = era > r.era && era > firstEra
	r.era = max(r.era, era)
	if after := r.uptime; after.afterOutage && after.since-before.since >= minObservedOutage {
		event.StoreReturned.Log(r.log).Dur("outage", after.since-after.lostAt).Dur("up", now-after.since).
			Dur("left", max(0, after.settledAt()-now)).Str("from", from).Send()
	}
	return restored
}

const (
	// revivalDoubt is how long after a restore a target that had left counts as left
	// although it is listed: entries of targets that no longer report expire after three
	// missed reports, 4.5 s on the users' deployments.
	revivalDoubt = 6 * time.Second
	// departureMemory is how long a target that has left is remembered. Copies of the
	// store are some seconds old.
	departureMemory = 5 * time.Minute
)

// departure records that a target drains or was removed from the listing. A restored
// store lists it as it was before.
type departure struct {
	// started identifies the run of the target's process that has ended or drains.
	started  int64
	draining bool
	// at is the time since boot at which this instance learned of it.
	at time.Duration
	// era and rowVersion are those of the entry in the first listing after a restore.
	era, rowVersion int64
}

// recordDepartures records the targets that drain or are missing in next. The caller
// holds mu.
func (r *Registry) recordDepartures(next map[string]Target, now time.Duration) {
	for id, d := range r.departures {
		if now-d.at >= departureMemory {
			delete(r.departures, id)
		}
	}
	for id, t := range r.lastListing {
		if _, ok := next[id]; !ok {
			r.departures[id] = &departure{started: t.Started, at: now}
		}
	}
	for id, t := range next {
		switch d := r.departures[id]; {
		case !t.Draining:
			delete(r.departures, id)
		case d == nil || !d.draining || d.started != t.Started:
			r.departures[id] = &departure{started: t.Started, draining: true, at: now}
		}
	}
}

// correctRevived corrects an own listing by the departures from before the last restore: the
// targets left out are those that had been removed, and those that drained still do. A
// target whose entry was written after the restore is taken as it says: one that an earlier
// listing after the restore lacked, that counts more reports than before, or whose entry has
// another version than in the first listing. The caller holds mu.
func (r *Registry) correctRevived(listed map[string]Target, entries Listed, now time.Duration) {
	r.leftOut = 0
	for id, d := range r.departures {
		t, ok := listed[id]
		switch {
		case d.at >= r.restoredAt:
			continue
		case !ok && !d.draining, entries.Reports[id] > r.reports[id] && r.reports[id] > 0:
			// The copy does not have it as it was before, so that it cannot revive it.
			delete(r.departures, id)
			continue
		case !ok || t.Started != d.started || t.Draining:
			continue
		}
		rowVersion := entries.RowVersions[id]
		if d.era != r.era {
			d.era, d.rowVersion = r.era, rowVersion
		}
		switch {
		case d.rowVersion != rowVersion:
		case d.draining:
			t.Draining = true
			listed[id] = t
		case now-r.restoredAt < revivalDoubt:
			delete(listed, id)
			r.leftOut++
		}
	}
	r.recordReports(entries.Reports)
}

// recordReports keeps the counts of reports of the targets that drain or have left, and
// replaces those of the others. The caller holds mu.
func (r *Registry) recordReports(reports map[string]int64) {
	for id := range r.reports {
		if _, ok := reports[id]; !ok && r.departures[id] == nil && r.lastListing[id].ID == "" {
			delete(r.reports, id)
		}
	}
	maps.Copy(r.reports, reports)
}

// announceRestore calls OnRestore if the store may have been restored. No lock may be
// held.
func (r *Registry) announceRestore(restored bool) {
	if restored && r.OnRestore != nil {
		r.OnRestore()
	}
}
