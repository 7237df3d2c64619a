// Package discovery keeps the catalogue of targets that a platform lists. Some
// instances, the listers, read the listing from the platform's store and pass
// changes on in heartbeats; the others follow these.
package discovery

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

const (
	// retryInterval is the time from the start of a call that failed, or that has not ended,
	// to the next one. It does not grow with further failures, as it delays the notice of the store's
	// return, and with it the end of the use of targets that have left.
	retryInterval = 400 * time.Millisecond
	// listingTimeout bounds one listing call to the source.
	listingTimeout = 900 * time.Millisecond
	// maxTimeoutDelay is how late a timeout may be noticed by a process that runs.
	maxTimeoutDelay = 300 * time.Millisecond
	// maxCalls is the number of calls in which one listing may be tried.
	maxCalls = int(listingTimeout/retryInterval) + 1
)

// Target is one target (upstream server) as its platform lists it.
type Target struct {
	ID, Service, Address, Zone string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is set when the target takes no new requests.
	Draining bool
	// WarmupLeft is the time that the target stays slow after its start,
	// counted from the listing in which it first appeared.
	WarmupLeft time.Duration
	// Started identifies one run of the target's process; it changes when the
	// target restarts.
	Started int64
}

// Listed is what one listing of the platform's store returned.
type Listed struct {
	Targets []Target
	// RowVersions holds the version of each target's entry by the target's id. It changes
	// whenever the entry is written.
	RowVersions map[string]int64
	// Reports holds by id how often a run of the target had reported when its entry was
	// written.
	Reports map[string]int64
	// Era counts the restores of the store from a copy; 0 if the store does not tell.
	Era int64
}

// Source lists the targets from the platform's store. Entries that cannot be
// decoded are left out.
type Source interface {
	Targets(ctx context.Context) (Listed, error)
}

// Entry is a target in the catalogue.
type Entry struct {
	Target
	// WarmUntil is the time since boot at which the target's warm-up ends; until
	// then it is slow.
	WarmUntil time.Duration
	// missingSince is the time since boot of the first listing without the
	// target, or 0 while it is listed.
	missingSince time.Duration
}

// Catalogue is an immutable snapshot of the targets in use.
type Catalogue struct {
	// Version increases with each change of the catalogue; it is 0 before the
	// first target is known.
	Version uint64
	// ReadAt is the time since boot at which the listing was requested from the
	// store, by this instance or by the one that passed it on.
	ReadAt time.Duration
	// Services maps a service to its targets, sorted by ID.
	Services map[string][]*Entry

	byID map[string]*Entry
}

// Find returns the target with the given ID, or nil.
func (c *Catalogue) Find(id string) *Entry { return c.byID[id] }

// Registry owns the catalogue and updates it from the store and from listings
// that other instances pass on. It is safe for concurrent use.
type Registry struct {
	clock  clock.Clock
	source Source
	// peerListings fetches complete listings from other instances.
	peerListings PeerListings
	// copySources chooses the instance from which a complete listing is copied.
	copySources *fleet.CopySources
	log         *zerolog.Logger

	// onChange is called without a lock held after each change of the listing;
	// own reports whether this instance read the change from the store.
	onChange func(own bool)
	// OnRestore, if not nil, is called without a lock held when the store may have been
	// restored from a copy since this process started.
	OnRestore func()
	// OnRead, if not nil, is called without a lock held after each listing that this instance
	// has read from the store, between two times since boot, once the catalogue is updated.
	OnRead func(listed Listed, requestedAt, readAt time.Duration)

	current atomic.Pointer[Catalogue]
	// retryAt is the time since boot before which EnsureMaxAge does not repeat a
	// failed listing.
	retryAt atomic.Int64
	// failedStart is the start, as time since boot, of the last listing that failed.
	failedStart atomic.Int64
	// outOfSync is set while the last listing from another instance could not be
	// reconstructed: the changes in it did not lead to its digest.
	outOfSync atomic.Bool

	// refreshMu is held during a listing, so that concurrent callers share one.
	refreshMu sync.Mutex

	// mu guards the fields below and the replacement of the catalogue.
	mu sync.Mutex
	// lastListing is the last accepted listing by target ID, digest its digest.
	lastListing map[string]Target
	digest      uint64
	// hasMissing is set while the catalogue retains targets that are no longer
	// listed.
	hasMissing bool
	// uptime is the time for which the store is known to have been up.
	uptime uptime
	// changes are the recent changes that led to lastListing, by target ID; heartbeats
	// repeat them for changeTTL.
	changes map[string]targetChange
	// listedAt is the time since boot at which this instance requested its last
	// successful listing.
	listedAt time.Duration
	// listedEra is the era of the store in that listing, era the newest one of any listing.
	listedEra, era int64
	// restoredAt is the time since boot at which era last changed.
	restoredAt time.Duration
	// departures are the targets that drain or have left, by id.
	departures map[string]*departure
	// reports are the counts of reports in own listings, by id, also of targets that drain or
	// have left.
	reports map[string]int64
	// leftOut is the number of targets that the last own listing had and that were left out.
	leftOut int
	outage
}

// NewRegistry returns an empty registry. onChange is called after each change
// of the listing; own reports whether this instance read it from the store.
func NewRegistry(c clock.Clock, source Source, peerListings PeerListings, copySources *fleet.CopySources, log *zerolog.Logger, onChange func(own bool)) *Registry {
	r := &Registry{
		clock: c, source: source, peerListings: peerListings, copySources: copySources, log: log, onChange: onChange, lastListing: map[string]Target{}, listedAt: beforeBoot,
		outage: newOutage(), departures: map[string]*departure{}, changes: map[string]targetChange{}, reports: map[string]int64{},
	}
	r.current.Store(&Catalogue{ReadAt: beforeBoot, Services: map[string][]*Entry{}, byID: map[string]*Entry{}})
	return r
}

// Catalogue returns the current catalogue.
func (r *Registry) Catalogue() *Catalogue { return r.current.Load() }

// StoreFailing reports whether another instance last reported that its calls to the
// store fail.
func (r *Registry) StoreFailing(instance string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, failing := r.failingSince[instance]
	return failing
}

// ListedAt returns the time since boot at which this instance requested its
// last successful listing from the store, and the era of the store then.
func (r *Registry) ListedAt() (at time.Duration, era int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listedAt, r.listedEra
}

// CheckedAt returns the latest time since boot for which the targets are known, or it is
// known that the store could not tell.
func (r *Registry) CheckedAt() time.Duration {
	return max(r.Catalogue().ReadAt, time.Duration(r.failedStart.Load()))
}

// RetryNow ends the wait after a failed listing.
func (r *Registry) RetryNow() { r.retryAt.Store(0) }

// OutOfSync reports whether another instance has passed on a listing that this one
// could not reconstruct from the changes it received, so that it needs a listing
// of its own unless a complete copy or a later heartbeat succeeds.
func (r *Registry) OutOfSync() bool { return r.outOfSync.Load() }

// EnsureMaxAge lists the targets unless the catalogue is younger than maxAge or
// a recent listing failed and its retry is not due. If the listing fails, the
// current catalogue stays in use.
func (r *Registry) EnsureMaxAge(ctx context.Context, maxAge time.Duration) {
	if r.clock.SinceBoot()-r.Catalogue().ReadAt < maxAge {
		return
	}
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	now := r.clock.SinceBoot()
	if now-r.Catalogue().ReadAt >= maxAge && now >= time.Duration(r.retryAt.Load()) {
		// list logs the failure and records it for the retry interval.
		_ = r.list(ctx)
	}
}

// EnsureCheckedSince lists the targets unless CheckedAt is at or after the given time
// since boot.
func (r *Registry) EnsureCheckedSince(ctx context.Context, at time.Duration) {
	if r.CheckedAt() >= at {
		return
	}
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	if r.CheckedAt() < at {
		// list logs the failure and records it.
		_ = r.list(ctx)
	}
}

// Refresh lists the targets and updates the catalogue.
func (r *Registry) Refresh(ctx context.Context) error {
	r.refreshMu.Lock()
	defer r.refreshMu.Unlock()
	return r.list(ctx)
}

// list reads the listing from the source and accepts it. The caller holds refreshMu.
func (r *Registry) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, listingTimeout)
	defer cancel()
	firstStart := r.clock.SinceBoot()
	c, lastStart := r.callSource(ctx)
	now := r.clock.SinceBoot()
	if c.err != nil {
		r.mu.Lock()
		r.observeOwnFailure(firstStart, lastStart, now)
		// A listing that took far longer than its timeout spans a pause of the process
		// and says nothing about the source.
		if now-firstStart < listingTimeout+maxTimeoutDelay {
			r.retryAt.Store(int64(lastStart + retryInterval))
			r.failedStart.Store(int64(firstStart))
		}
		r.mu.Unlock()
		event.ListingFailed.Log(r.log).Err(c.err).Dur("age", now-r.Catalogue().ReadAt).Send()
		return errors.Wrap(c.err, "list targets")
	}
	startedAt, listed := c.startedAt, c.listed
	next := make(map[string]Target, len(listed.Targets))
	for _, t := range listed.Targets {
		next[t.ID] = t
	}
	r.mu.Lock()
	r.listedAt, r.listedEra = startedAt, listed.Era
	r.outOfSync.Store(false)
	r.failing = false
	r.retryAt.Store(0)
	restored := r.observeUptime(answeredCall(startedAt, now), listed.Era, fromStore, now)
	r.correctRevived(next, listed, now)
	changed := r.accept(next, digestOf(next), startedAt, now)
	r.mu.Unlock()
	r.announceRestore(restored)
	if r.OnRead != nil {
		r.OnRead(listed, startedAt, now)
	}
	if changed {
		r.onChange(true)
	}
	return nil
}

// sourceCall is one call of the source.
type sourceCall struct {
	listed    Listed
	startedAt time.Duration
	err       error
}

// callSource calls the source and, while it does not answer, again each retryInterval: a call
// that began in an outage may hang although the source has returned. It returns the first
// call that ended and the start of the last one.
func (r *Registry) callSource(ctx context.Context) (first sourceCall, lastStart time.Duration) {
	ended := make(chan sourceCall, maxCalls)
	begin := func() {
		startedAt := r.clock.SinceBoot()
		lastStart = startedAt
		go func() {
			listed, err := r.source.Targets(ctx)
			ended <- sourceCall{listed, startedAt, err}
		}()
	}
	begin()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for calls := 1; ; {
		select {
		case c := <-ended:
			return c, lastStart
		case <-retry.C:
			if calls < maxCalls {
				calls++
				begin()
			}
		}
	}
}

// replaceCatalogue builds the next catalogue from a listing. If that was read before the store
// is settled after an outage, missing targets are retained. The caller holds mu.
func (r *Registry) replaceCatalogue(listed map[string]Target, readAt, now time.Duration) {
	old := r.Catalogue()
	next := &Catalogue{Version: old.Version, ReadAt: readAt, Services: map[string][]*Entry{}, byID: map[string]*Entry{}}
	changed := false
	for _, t := range listed {
		entry := old.byID[t.ID]
		if entry == nil || entry.Target != t || entry.missingSince != 0 {
			changed = true
			entry = newEntry(entry, t, now)
			if old.Version == 0 {
				next.add(entry)
				continue
			}
			event.TargetListed.Log(r.log).Str("target", t.ID).Str("service", t.Service).Bool("draining", t.Draining).
				Dur("warmup", t.WarmupLeft).Send()
		}
		next.add(entry)
	}
	var missing []*Entry
	for id, entry := range old.byID {
		if next.byID[id] == nil {
			missing = append(missing, entry)
		}
	}
	retained := r.retain(missing, listed, readAt, now)
	r.hasMissing = len(retained) > 0
	for _, entry := range retained {
		next.add(entry)
	}
	for _, entry := range missing {
		if next.byID[entry.ID] != nil {
			continue
		}
		changed = true
		event.TargetGone.Log(r.log).Str("target", entry.ID).Str("service", entry.Service).Send()
	}
	if old.Version == 0 && changed {
		// One summary line: a line for each of hundreds of targets would delay the
		// start of small instances.
		event.FirstListing.Log(r.log).Int("targets", len(listed)).Int("services", len(next.Services)).Dur("age", now-readAt).Send()
	}
	for _, entries := range next.Services {
		slices.SortFunc(entries, func(a, b *Entry) int { return strings.Compare(a.ID, b.ID) })
	}
	if changed {
		next.Version++
	}
	r.current.Store(next)
}

// newEntry returns the entry of a target that is new or has changed. If the
// target has not restarted and its warm-up is the same, the end of the warm-up
// is taken from its old entry.
func newEntry(old *Entry, t Target, now time.Duration) *Entry {
	entry := &Entry{Target: t, WarmUntil: now + t.WarmupLeft}
	if old != nil && old.Started == t.Started && old.WarmupLeft == t.WarmupLeft {
		entry.WarmUntil = old.WarmUntil
	}
	return entry
}

func (c *Catalogue) add(entry *Entry) {
	c.Services[entry.Service] = append(c.Services[entry.Service], entry)
	c.byID[entry.ID] = entry
}
