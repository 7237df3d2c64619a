package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// firstStartWait is the time for all instances of a new fleet to find each
	// other; the platform starts them within 0.3 s.
	firstStartWait = time.Second
	// onlyMemberWait is the same for an instance that finds no other one in the
	// roster; others may be about to start.
	onlyMemberWait = 250 * time.Millisecond
	// maxRosterRetryDelay bounds the random delay between two tries to join and read the roster.
	maxRosterRetryDelay = time.Second
	// rejoinPeriod is the period over which the instances spread the calls that enter them
	// into the roster again.
	rejoinPeriod = 2 * time.Second
	// rosterCallTimeout bounds one try to join and read the roster.
	rosterCallTimeout = 2 * time.Second
)

// join enters this instance into the roster and contacts the listed members. It
// retries until it succeeds.
func (f *Fleet) join(ctx context.Context) {
	joined := false
	for ctx.Err() == nil && !f.leaving.Load() {
		call, cancel := context.WithTimeout(ctx, rosterCallTimeout)
		var err error
		if !joined {
			err = f.Roster.Join(call, f.Self)
			joined = err == nil
		}
		var listed []Member
		if err == nil {
			listed, err = f.Roster.Members(call)
		}
		cancel()
		if err == nil {
			f.contactListed(listed)
			_ = f.Clock.Sleep(ctx, f.startWait(len(listed)))
			f.joined.Store(true)
			f.step()
			event.Joined.Log(f.Log).Int("members", len(listed)).Send()
			return
		}
		event.JoinFailed.Log(f.Log).Err(err).Send()
		// Without the roster, other instances become known by the heartbeats that they send.
		f.joined.Store(true)
		_ = f.Clock.Sleep(ctx, rand.N(maxRosterRetryDelay))
	}
}

// rejoinWhenAsked enters this instance into the roster after each call of Rejoin, until
// ctx ends or the instance leaves.
func (f *Fleet) rejoinWhenAsked(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.rejoin:
		}
		for failed := true; failed; {
			if f.Clock.Sleep(ctx, rand.N(rejoinPeriod)) != nil || f.leaving.Load() {
				return
			}
			call, cancel := context.WithTimeout(ctx, rosterCallTimeout)
			err := f.Roster.Join(call, f.Self)
			cancel()
			if failed = err != nil; failed {
				event.JoinFailed.Log(f.Log).Err(err).Send()
			}
		}
	}
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

// contactListed records the listed members as alive and asks them for a heartbeat.
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
	hello := f.heartbeat(IdentityOnly)
	hello.Hello = true
	data := f.encode(hello)
	for _, m := range listed {
		if m.Instance != f.Self.Instance {
			f.Transport.Send(m.GossipAddress, data)
		}
	}
}
