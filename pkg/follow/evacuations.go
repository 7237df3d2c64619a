package follow

import (
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// unknownEvacuationsWait is how long an instance with a configuration waits for the set of
// evacuated zones that neither the store nor another instance tells: four times the longest
// time between heartbeats of instances that serve. The others are of an earlier release then,
// and obey no order either.
const unknownEvacuationsWait = 2 * time.Second

// Evacuated reports whether the targets of a zone get no requests.
func (f *Follower) Evacuated(zone string) bool { return f.evacuations.Load().Evacuated(zone) }

// Evacuations returns the set of evacuated zones; nil while it is unknown.
func (f *Follower) Evacuations() *evacuation.Set { return f.evacuations.Load() }

// mayAssumeNoEvacuation reports whether a process that has copied a configuration from an
// instance of an earlier release may serve without knowing the evacuated zones: the store
// has turned its read away, and no other instance has told them.
func (f *Follower) mayAssumeNoEvacuation() bool {
	return f.failedAt.Load() != int64(beforeBoot) && f.clock.SinceBoot()-time.Duration(f.configuredAt.Load()) >= unknownEvacuationsWait
}

// mergeEvacuations takes over a set that another instance has told, if it is newer.
func (f *Follower) mergeEvacuations(told *evacuation.Set, from string) {
	if !told.Supersedes(f.evacuations.Load()) {
		return
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	f.applyEvacuations(told, from)
}

// applyEvacuations publishes a set of evacuated zones if it is newer than the applied one.
// The caller holds applyMu.
func (f *Follower) applyEvacuations(next *evacuation.Set, from string) {
	old := f.evacuations.Load()
	if !next.Supersedes(old) {
		return
	}
	f.evacuations.Store(next)
	evacuated, restored := old.Difference(next)
	for _, zone := range evacuated {
		f.logEvacuation(event.ZoneEvacuated, zone, next, from)
	}
	for _, zone := range restored {
		f.logEvacuation(event.ZoneRestored, zone, next, from)
	}
	if len(evacuated)+len(restored) > 0 {
		f.onApply(from == fromStore)
	}
}

func (f *Follower) logEvacuation(change event.Event, zone string, set *evacuation.Set, from string) {
	change.Log(f.log).Str("zone", zone).Int64("store_era", set.Version().Era).
		Int64("store_version", set.Version().Number).Str("from", from).Send()
}

func encodeEvacuations(s *evacuation.Set) *peerpb.EvacuatedZones {
	return &peerpb.EvacuatedZones{StoreEra: s.Version().Era, StoreVersion: s.Version().Number, Zones: s.Zones()}
}

// decodeEvacuations returns nil for a heartbeat that does not tell the evacuated zones.
func decodeEvacuations(told *peerpb.EvacuatedZones) *evacuation.Set {
	if told == nil {
		return nil
	}
	zones := slices.DeleteFunc(slices.Clone(told.Zones), func(zone string) bool { return zone == "" })
	return evacuation.NewSet(evacuation.Version{Era: told.StoreEra, Number: told.StoreVersion}, zones...)
}
