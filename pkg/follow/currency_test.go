package follow

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against a process on a machine that has just booted and that takes a version which
// nobody has confirmed for a recent one.
func TestUnconfirmedVersionIsNotRecentAfterBoot(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(300 * time.Millisecond)
	s := &scriptedSource{updates: []any{configUpdate(3)}}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	f.EnsureMaxAge(t.Context(), time.Second)
	is.Equal(s.reads, 1)
}

// Guards against an instance that acts on a version for longer than a change may take without
// knowing whether it is the newest, and against one that refuses all requests in an outage.
func TestUnconfirmedVersionIsNotActedOn(t *testing.T) {
	is := is.New(t)
	f, _, c := newStandby(unreachablePeers{}, configUpdate(3), errors.New("down"), configUpdate(4))
	is.True(!f.MayAct())
	f.EnsureMaxAge(t.Context(), time.Second)
	is.True(f.MayAct())
	c.Advance(maxUnconfirmed - time.Millisecond)
	is.True(f.MayAct())
	c.Advance(time.Millisecond)
	is.True(!f.MayAct())
	f.EnsureMaxAge(t.Context(), time.Second) // the store answers that it is down
	is.True(f.MayAct())
	c.Advance(failedReadBackoff)
	is.True(f.MayAct()) // until the next read has failed
	c.Advance(outageHold - failedReadBackoff)
	is.True(!f.MayAct())
	f.EnsureMaxAge(t.Context(), time.Second)
	is.True(f.MayAct())
	is.Equal(f.View().Config.Version, int64(4))
}

// Guards against an instance that has heard of a newer version, fails to get it, and goes on
// with the old one because an older confirmation of that is recent.
func TestOutdatedVersionIsNotActedOn(t *testing.T) {
	is := is.New(t)
	f, _, c := newStandby(unreachablePeers{}, configUpdate(3), errors.New("turned away"), configUpdate(3), configUpdate(4))
	f.EnsureMaxAge(t.Context(), time.Second)
	newer := &peerpb.Heartbeat{Serving: true, ConfigVersion: 4}
	mergeAndWait(t, f, newer)
	is.Equal(f.View().Config.Version, int64(3))
	is.True(f.MayAct())
	c.Advance(maxOutdated)
	is.True(!f.MayAct())
	// The store holds no newer one: it was lost in a restore, and those who have it repeat it.
	c.Advance(failedReadBackoff)
	mergeAndWait(t, f, newer)
	is.True(f.MayAct())
	mergeAndWait(t, f, newer)
	is.Equal(f.View().Config.Version, int64(4))
	is.True(f.MayAct())
}

// newHeldStandby returns a follower whose source answers only once it is released.
func newHeldStandby(updates ...any) (*Follower, *heldSource, *clock.Manual) {
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	nop := zerolog.Nop()
	s := &heldSource{scriptedSource{updates: updates}, make(chan struct{})}
	return New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {}), s, c
}

// Guards against a late answer that is thrown away, so that an instance with a slow path to the
// store never learns of a change.
func TestLateAnswerIsUsed(t *testing.T) {
	is := is.New(t)
	f, s, c := newHeldStandby(configUpdate(3))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	f.EnsureMaxAge(ctx, time.Second) // as for a request, which waits only for a short time
	is.True(!f.MayAct())
	f.EnsureMaxAge(t.Context(), time.Second)
	is.Equal(time.Duration(f.failedAt.Load()), c.SinceBoot()) // no answer within readWait
	close(s.release)
	eventually(t, "the answer was not applied", func() bool { return f.View().Config.Version == 3 && f.Age() == 0 })
	is.Equal(s.reads, 1)
}

// Guards against a process without enough processor time that takes its own delay for an outage
// of the store and goes on with an old version.
func TestOwnDelayIsNoOutage(t *testing.T) {
	is := is.New(t)
	f, s, c := newHeldStandby(configUpdate(3))
	done := make(chan struct{})
	go func() { f.EnsureMaxAge(t.Context(), time.Second); close(done) }()
	time.Sleep(readWait / 2)
	c.Advance(readWait + maxWaitDelay)
	<-done
	is.Equal(time.Duration(f.failedAt.Load()), beforeBoot)
	is.True(!f.MayAct())
	close(s.release)
	eventually(t, "the answer was not applied", func() bool { return f.View().Config.Version == 3 })
}
