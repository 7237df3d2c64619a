package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// firstStartWait is the time for all instances of a new fleet to find each
	// other; the platform starts them within 0.3 s.
	firstStartWait = time.Second
	// onlyMemberWait is the same for an instance that finds no other one in the
	// roster; others may be about to start.
	onlyMemberWait = 250 * time.Millisecond
	// maxRosterRetryDelay bounds the random delay between two tries to join and read the roster
	// at the start.
	maxRosterRetryDelay = time.Second
	// rosterCallTimeout bounds one write or read of the roster.
	rosterCallTimeout = 2 * time.Second
	// rosterWait is how long a call waits for changes of the roster, and rosterWaitTimeout bounds
	// the call: a connection that has become silent delivers none.
	rosterWait        = 10 * time.Second
	rosterWaitTimeout = rosterWait + rosterCallTimeout
	// minRosterPause and maxRosterPause bound the time between two calls for changes of the
	// roster. It grows with the number of serving instances, so that these make rosterCallRate calls
	// a second together while instances start and stop without end.
	minRosterPause = 2 * time.Second
	maxRosterPause = 6 * time.Second
	rosterCallRate = 10
	// historyTime is the time for which the store keeps changes at least, with a margin; after it,
	// the whole roster is read.
	historyTime = 15 * time.Second
	// rereadPeriod is the period over which the instances spread the calls after a restore of the
	// store, or after it has dropped its history.
	rereadPeriod = 2 * time.Second
)

// DisagreementBound is the longest time for which two instances that should serve may not know each
// other, from the moment on at which they should, the store answers within rosterCallTimeout,
// performs no more late writes and is not restored, and datagrams between the two arrive. It is the
// sum of: a call for changes that got no answer, the pause after it, the spread of the reads, the
// read, a write of the own entry, the pause of the other one and its call that brings it this entry,
// and the request for a heartbeat.
const DisagreementBound = rosterWaitTimeout + maxRosterPause + rereadPeriod + 2*rosterCallTimeout + maxRosterPause + rosterCallTimeout + contactInterval

// followRoster keeps this instance in the roster and contacts the others in it, until ctx ends or
// the instance leaves. A standby, of which there are many and which holds no part of what is
// divided, reads the roster at its start only and writes its entry then and after Rejoin. It
// follows the roster from the moment on at which it should serve.
func (f *Fleet) followRoster(ctx context.Context) {
	r := rosterSync{self: f.Self}
	for ctx.Err() == nil && !f.leaving.Load() {
		delay := checkInterval
		if f.rosterCallDue(&r) {
			delay = f.callRoster(ctx, &r)
		}
		_ = f.Clock.Sleep(ctx, delay)
	}
}

// rosterCallDue reports whether r.next is due. It makes r read the whole roster if the changes
// since its cursor may be gone.
func (f *Fleet) rosterCallDue(r *rosterSync) bool {
	now := f.Clock.SinceBoot()
	if f.rejoin.Swap(false) {
		r.written, r.writeAt = false, now+rand.N(rereadPeriod)
	}
	switch {
	case !r.written:
		return now >= r.writeAt
	case r.read && !f.View().Called:
		return false
	case r.read && now-r.readAt >= historyTime:
		r.read = false
	}
	return true
}

// Rejoin writes the entry of this instance again, which a restore of the store may have removed.
func (f *Fleet) Rejoin() { f.rejoin.Store(true) }

// callRoster makes the next call of the roster and returns the time until the one after it.
func (f *Fleet) callRoster(ctx context.Context, r *rosterSync) time.Duration {
	call, timeout := r.next(), rosterCallTimeout
	if call == awaitRoster {
		timeout = rosterWaitTimeout
	}
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var u RosterUpdate
	var err error
	switch call {
	case writeEntry:
		err = f.writeEntry(limited)
	case readRoster:
		u, err = f.Roster.ReadRoster(limited)
	case awaitRoster:
		u, err = f.Roster.AwaitRoster(limited, r.cursor, rosterWait)
	}
	var stale *StaleCursorError
	wasFailing := r.failing
	r.failing = err != nil
	switch {
	case err != nil && ctx.Err() != nil:
		return 0
	case errors.As(err, &stale):
		r.read = false
		return rand.N(rereadPeriod)
	case err != nil:
		if !wasFailing {
			event.JoinFailed.Log(f.Log).Err(err).Send()
		}
		return f.retryDelay()
	case call == writeEntry:
		r.written, r.writeAt = true, f.Clock.SinceBoot()+minRosterPause
		return 0
	}
	if f.rosterWasRead() {
		f.contactEntries(u.Entries)
	} else {
		f.start(ctx, u)
	}
	r.readAt = f.Clock.SinceBoot()
	if r.update(call, u) {
		f.entryLosses.Add(1)
		event.EntryLost.Log(f.Log).Int("listed", len(u.Entries)).Send()
		return 0
	}
	return f.rosterPause()
}

// rosterPause returns the time from one call for changes of the roster to the next one.
func (f *Fleet) rosterPause() time.Duration {
	pause := min(maxRosterPause, max(minRosterPause, time.Duration(len(f.View().Peers))*time.Second/rosterCallRate))
	return pause - rand.N(pause/8)
}

// retryDelay returns the time from a failed call of the roster to the next one.
func (f *Fleet) retryDelay() time.Duration {
	// Without the roster, other instances become known by the heartbeats that they send.
	f.joined.Store(true)
	if !f.rosterWasRead() {
		return rand.N(maxRosterRetryDelay)
	}
	return f.rosterPause()
}

// writeEntry writes the own entry, unless the instance leaves: after LeaveRoster, no such write is
// under way.
func (f *Fleet) writeEntry(ctx context.Context) error {
	f.entryMu.Lock()
	defer f.entryMu.Unlock()
	if f.leaving.Load() {
		return nil
	}
	return f.Roster.Join(ctx, f.Self)
}

// LeaveRoster removes the entry of this instance. Call it after AnnounceLeave; it may be called
// again if it fails.
func (f *Fleet) LeaveRoster(ctx context.Context) error {
	f.entryMu.Lock()
	defer f.entryMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, rosterCallTimeout)
	defer cancel()
	return f.Roster.Leave(ctx, f.Self)
}

// start takes the first read of the roster and lets the instance decide whether it serves.
func (f *Fleet) start(ctx context.Context, u RosterUpdate) {
	listed := make([]Member, 0, len(u.Entries))
	for _, e := range u.Entries {
		listed = append(listed, e.Member)
	}
	f.contactListed(listed)
	_ = f.Clock.Sleep(ctx, f.startWait(len(listed)))
	f.joined.Store(true)
	f.step()
	event.Joined.Log(f.Log).Int("members", len(listed)).Send()
}

// startWait returns how long a new process waits until it may decide to serve.
// The other instances may start at the same time; without a wait, each of the
// first ones would see only few members and decide to serve. Rows that earlier
// processes left in the roster make the wait unnecessary. It would also do harm
// after the loss of all instances, when callers have to wait for it.
func (f *Fleet) startWait(listed int) time.Duration {
	switch {
	case f.FirstStart:
		return firstStartWait
	case listed > 1:
		return 0
	default:
		return onlyMemberWait
	}
}

// rosterWasRead reports whether the roster has been read since the start.
func (f *Fleet) rosterWasRead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rosterRead
}

// contactListed records the members that the first read lists as alive and asks them for a
// heartbeat.
func (f *Fleet) contactListed(listed []Member) {
	now := f.Clock.SinceBoot()
	f.mu.Lock()
	for _, m := range listed {
		if m.Instance != f.Self.Instance && f.members[m.Instance] == nil {
			f.addMember(m.Instance, &memberState{Member: m, lastReceived: now})
		}
	}
	f.rosterRead = true
	f.mu.Unlock()
	entries := make([]RosterEntry, 0, len(listed))
	for _, m := range listed {
		entries = append(entries, RosterEntry{Member: m})
	}
	f.contactEntries(entries)
}
