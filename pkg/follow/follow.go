// Package follow keeps an instance on the newest configuration of a platform's
// store and publishes it as an immutable view, and the set of evacuated zones likewise.
// While it is active, the instance waits for changes in the store; otherwise it reads the
// store at intervals. It also copies newer versions from serving instances that announce them.
package follow

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

const (
	// initialRetryDelay is the maximum delay after the first failed call. The
	// maximum doubles with each further failure up to maxRetryDelay; the delay is
	// drawn at random below it, so that the instances do not return to the store at
	// the same time.
	initialRetryDelay = 100 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// standbyReadInterval is the minimum time between two reads by Run while the
	// follower is not active.
	standbyReadInterval = 30 * time.Second
	// unconfiguredReadInterval replaces standbyReadInterval while no configuration or no
	// set of evacuated zones is known.
	unconfiguredReadInterval = 4 * time.Second
	// readWait is the longest time for which a caller waits for a read. Without an answer by
	// then, the source counts as failing, but a late answer is used.
	readWait = 400 * time.Millisecond
	// readTimeout bounds the read itself.
	readTimeout = 1600 * time.Millisecond
	// maxWaitDelay is how late the end of readWait may be noticed by a process that has enough
	// processor time. With less, an answer may have come that it has not seen yet, so that
	// nothing is known of the source.
	maxWaitDelay = 100 * time.Millisecond
	// failedReadBackoff is the time from a failure, at the latest from the end of readWait, to the
	// next read, so that no request waits for another failure.
	failedReadBackoff = 2 * time.Second
	// maxTimeoutDelay is how late a timeout may be noticed by a process that runs.
	maxTimeoutDelay = 300 * time.Millisecond
	// MaxWait is the longest time for which a Source waits for changes. The answer to such a
	// wait may be lost while the source is reachable otherwise; until the wait has ended, the
	// lack of changes is not known.
	MaxWait = time.Second
	// activationTTL is how long a follower stays active after the last call of
	// Activate: callers may still know the instance's address.
	activationTTL = 5 * time.Second
	// beforeBoot is a time since boot before all others.
	beforeBoot = -time.Hour
)

// Cursor is a position in the store's changes. The zero value is that before the first
// read.
type Cursor struct {
	Version int64
	// Era counts the restores of the store from a copy. Versions of different eras cannot
	// be compared.
	Era int64
}

// Update is a configuration as a source delivers it.
type Update struct {
	// Cursor is the position in the store's changes; the next Await continues
	// after it.
	Cursor Cursor
	// Config is nil if nothing changed or the document was rejected.
	Config *config.Config
	// Version is the version of the configuration document.
	Version int64
	// Rejected is the reason why the document is invalid, or nil.
	Rejected error
	// Evacuations is what the update tells of the evacuated zones, whatever the document.
	Evacuations evacuation.Change
}

// Source reads configurations from the platform's store.
type Source interface {
	// Await returns the newest configuration at once if cursor is the zero value or the
	// store has begun another era. Otherwise it waits until there is a change after
	// cursor or the source's own timeout ends.
	Await(ctx context.Context, cursor Cursor) (Update, error)
}

// Follower owns the applied configuration. It implements control.Viewer and
// control.ServeChecker.
type Follower struct {
	source      Source
	peerConfigs PeerConfigs
	copySources *fleet.CopySources
	clock       clock.Clock
	log         *zerolog.Logger
	// onApply is called after each configuration that is applied; own reports
	// whether this instance read it from the store.
	onApply func(own bool)

	view atomic.Pointer[control.View]
	// hasConfig is set once a configuration has been applied.
	hasConfig atomic.Bool
	// evacuations is the set of evacuated zones; nil while it is unknown.
	evacuations atomic.Pointer[evacuation.Set]
	// configuredAt is the time since boot at which the first configuration was applied.
	configuredAt atomic.Int64
	// activatedAt is the time since boot of the last call of Activate.
	activatedAt atomic.Int64
	// wake ends the wait of an inactive follower when it is activated.
	wake chan struct{}
	// waitingSince is the time since boot at which Run began to wait for changes
	// from the source, or 0 if it does not wait.
	waitingSince atomic.Int64
	// waitingEra is the era of the store in which Run waits.
	waitingEra atomic.Int64
	// newestHeard is the newest version that a serving instance or the source has named,
	// outdatedAt the time since boot at which it first was newer than the applied one, or 0.
	newestHeard, outdatedAt atomic.Int64
	// unconfirmed is set while the applied version has not been confirmed for maxUnconfirmed.
	unconfirmed atomic.Bool

	// confirmedAt is the latest time since boot at which there was no configuration and no
	// set of evacuated zones newer than the applied ones, as known from a serving instance or
	// from the source; beforeBoot if it has never been known.
	confirmedAt atomic.Int64
	// retryAt is the time since boot before which EnsureMaxAge and copyConfig do not
	// repeat a failed read.
	retryAt atomic.Int64

	// failedAt is the start, as time since boot, of the last read that failed; beforeBoot
	// without one.
	failedAt atomic.Int64

	// readMu guards reading, the read in progress that callers wait for, or nil.
	readMu  sync.Mutex
	reading *read
	// applyMu is held while a configuration is compared with the applied one and
	// published.
	applyMu sync.Mutex
}

// New returns a follower without a configuration. onApply is called after each
// configuration that is applied; own reports whether this instance read it from
// the store.
func New(c clock.Clock, source Source, peerConfigs PeerConfigs, copySources *fleet.CopySources, self membership.Member, log *zerolog.Logger, onApply func(own bool)) *Follower {
	f := &Follower{source: source, peerConfigs: peerConfigs, copySources: copySources, clock: c, log: log, onApply: onApply, wake: make(chan struct{}, 1)}
	f.activatedAt.Store(int64(-activationTTL))
	f.confirmedAt.Store(int64(beforeBoot))
	f.failedAt.Store(int64(beforeBoot))
	f.view.Store(&control.View{Config: config.NewSnapshot(0, config.Empty()), Membership: &membership.Membership{}, Self: self})
	return f
}

// View returns the current view; its configuration is empty until the first one is
// applied.
func (f *Follower) View() *control.View { return f.view.Load() }

// MayServe reports whether any configuration and set of evacuated zones are known, however
// old: an instance that cannot reach the store continues with what it applied last.
func (f *Follower) MayServe() bool {
	return f.hasConfig.Load() && (f.evacuations.Load() != nil || f.mayAssumeNoEvacuation())
}

// Activate makes Run wait for changes continuously for the next activationTTL;
// otherwise Run reads the configuration only at intervals. Callers that need
// changes repeat the call at least every few seconds.
func (f *Follower) Activate() {
	wasActive := f.active()
	f.activatedAt.Store(int64(f.clock.SinceBoot()))
	if !wasActive {
		select {
		case f.wake <- struct{}{}:
		default:
		}
	}
}

// active reports whether Activate was called within activationTTL.
func (f *Follower) active() bool {
	return f.clock.SinceBoot()-time.Duration(f.activatedAt.Load()) < activationTTL
}

// ConfirmReachable tells the follower that the source was reachable at the given time since
// boot, in an era of the store. If Run was already waiting for changes in that era, for no
// longer than MaxWait, there had been none, so that the applied version is confirmed as the
// newest. After MaxWait, the answer is due, and its lack tells nothing.
func (f *Follower) ConfirmReachable(at time.Duration, era int64) {
	since := time.Duration(f.waitingSince.Load())
	if since != 0 && since <= at && at-since <= MaxWait && f.waitingEra.Load() == era {
		f.confirmNewest(at)
	}
}

// confirmNewest records that there was no newer version at the given time since boot.
func (f *Follower) confirmNewest(at time.Duration) {
	for {
		known := f.confirmedAt.Load()
		if known >= int64(at) || f.confirmedAt.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// EnsureMaxAge reads the configuration unless the applied one was confirmed to be
// the newest within maxAge, or a recent read failed and its retry is not due.
func (f *Follower) EnsureMaxAge(ctx context.Context, maxAge time.Duration) {
	if f.Age() < maxAge {
		return
	}
	if f.clock.SinceBoot() >= time.Duration(f.retryAt.Load()) {
		f.read(ctx)
	}
}

// EnsureCheckedSince reads the configuration unless CheckedAt is at or after the given
// time since boot.
func (f *Follower) EnsureCheckedSince(ctx context.Context, at time.Duration) {
	for f.CheckedAt() < at && ctx.Err() == nil {
		if startedAt := f.read(ctx); startedAt >= at {
			return
		}
	}
}

// CheckedAt returns the latest time since boot for which it is known whether there was
// a newer version, or that the source could not tell.
func (f *Follower) CheckedAt() time.Duration {
	return time.Duration(max(f.confirmedAt.Load(), f.failedAt.Load()))
}

// RetryNow ends the wait after a failed read.
func (f *Follower) RetryNow() { f.retryAt.Store(0) }

// Age returns the time since the applied version was last confirmed to be the newest.
func (f *Follower) Age() time.Duration {
	return f.clock.SinceBoot() - time.Duration(f.confirmedAt.Load())
}

// Run waits for configurations from the source and applies them until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var cursor Cursor
	retryDelay, available := initialRetryDelay, true
	for {
		// A standby need not read the first configuration itself: it learns of it
		// from heartbeats of serving instances.
		if !f.active() {
			f.waitUntilReadDue(ctx)
			cursor = Cursor{}
		}
		startedAt := f.clock.SinceBoot()
		if cursor != (Cursor{}) {
			f.waitingEra.Store(cursor.Era)
			f.waitingSince.Store(int64(startedAt))
		}
		update, err := f.source.Await(ctx, cursor)
		f.waitingSince.Store(0)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if err != nil {
			if available {
				event.PlatformUnavailable.Log(f.log).Err(err).Int64("config_version", f.View().Config.Version).Send()
			}
			available = false
			// A wait that failed may have missed a change, and the next one may fail likewise.
			cursor = Cursor{}
			if err := f.clock.Sleep(ctx, rand.N(retryDelay)); err != nil {
				return errors.WithStack(err)
			}
			retryDelay = min(2*retryDelay, maxRetryDelay)
			continue
		}
		if !available {
			event.PlatformAvailable.Log(f.log).Send()
		}
		retryDelay, available, cursor = initialRetryDelay, true, update.Cursor
		f.applyFromSource(update, startedAt)
	}
}

// waitUntilReadDue waits until the follower is activated, the next read of an
// inactive follower is due, or ctx ends.
func (f *Follower) waitUntilReadDue(ctx context.Context) {
	interval := standbyReadInterval
	if !f.hasConfig.Load() || f.evacuations.Load() == nil {
		interval = unconfiguredReadInterval
	}
	timer := time.NewTimer(interval + rand.N(interval/4))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-timer.C:
	}
}

// fromStore is the log value for the origin of a configuration that this instance
// read from the store; for a copy, it is the name of the other instance.
const fromStore = "store"

// apply publishes a configuration if it is newer than the applied one, so that
// versions never decrease, and the evacuated zones. from names the origin in logs.
func (f *Follower) apply(update Update, from string) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if from == fromStore {
		f.applyEvacuations(f.evacuations.Load().Apply(update.Evacuations), from)
	}
	old := f.View()
	switch {
	case update.Rejected != nil:
		event.ConfigRejected.Log(f.log).Err(update.Rejected).Int64("version", update.Version).
			Int64("applied_version", old.Config.Version).Send()
	case update.Config != nil && (update.Version > old.Config.Version || !f.hasConfig.Load()):
		next := *old
		next.Config = config.NewSnapshot(update.Version, update.Config)
		f.view.Store(&next)
		if !f.hasConfig.Swap(true) {
			f.configuredAt.Store(int64(f.clock.SinceBoot()))
		}
		line := event.ConfigApplied.Log(f.log).Int64("version", update.Version).Int64("previous_version", old.Config.Version).Str("from", from)
		if outdatedAt := f.outdatedAt.Load(); outdatedAt != 0 {
			line = line.Dur("outdated", f.clock.SinceBoot()-time.Duration(outdatedAt))
		}
		if f.confirmed() {
			line = line.Dur("unconfirmed", f.Age())
		}
		line.Send()
		f.observeVersion(update.Version)
		f.onApply(from == fromStore)
	}
}
