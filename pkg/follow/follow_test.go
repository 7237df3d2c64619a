package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// scriptedSource delivers updates and errors in order and then blocks until ctx ends.
type scriptedSource struct {
	mu      sync.Mutex
	updates []any
	reads   int
}

func (s *scriptedSource) Await(ctx context.Context, cursor Cursor) (Update, error) {
	s.mu.Lock()
	if cursor == (Cursor{}) {
		s.reads++
	}
	if len(s.updates) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Update{}, ctx.Err()
	}
	next := s.updates[0]
	s.updates = s.updates[1:]
	s.mu.Unlock()
	if err, ok := next.(error); ok {
		return Update{}, err
	}
	return next.(Update), nil
}

// unreachablePeers fails each request for a configuration.
type unreachablePeers struct{}

func (unreachablePeers) Config(context.Context, string, int64) (int64, *config.Config, error) {
	return 0, nil, errors.New("unreachable")
}

// immediateCopySources returns CopySources that start a copy without a delay.
func immediateCopySources() *fleet.CopySources {
	return fleet.NewCopySources(func() time.Duration { return 0 })
}

// configUpdate is what a full read of a store without evacuated zones delivers.
func configUpdate(v int64) Update {
	return Update{
		Cursor: Cursor{Version: v}, Version: v, Config: config.Empty(),
		Evacuations: evacuation.Change{Version: evacuation.Version{Number: v}, Complete: true},
	}
}

// startFollower runs an active follower on a source that delivers updates.
func startFollower(t *testing.T, updates ...any) *Follower {
	nop := zerolog.Nop()
	f := New(clock.System{}, &scriptedSource{updates: updates}, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	f.Activate()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	t.Cleanup(cancel)
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return f
}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 200 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal(failure)
}

// Guards against a configuration that reverts to an older one delivered by the
// store, and against a rejected one that is applied.
func TestVersionsNeverDecrease(t *testing.T) {
	is := is.New(t)
	f := startFollower(t, configUpdate(3), configUpdate(7), configUpdate(5),
		Update{Cursor: Cursor{Version: 8}, Version: 8, Rejected: errors.New("odd")}, Update{Cursor: Cursor{Version: 9}})
	is.True(!f.MayServe() || f.View().Config.Version > 0)
	eventually(t, "version 7 was not applied", func() bool { return f.View().Config.Version == 7 })
	time.Sleep(30 * time.Millisecond)
	is.Equal(f.View().Config.Version, int64(7))
	is.True(f.MayServe())
}

// Guards against an instance that stops serving when the store fails, and against
// one that does not return to the store after its recovery.
func TestOutage(t *testing.T) {
	f := startFollower(t, configUpdate(3), errors.New("down"), errors.New("down"), configUpdate(4))
	eventually(t, "version 4 was not applied", func() bool { return f.View().Config.Version == 4 })
}

// Guards against an instance that accepts requests without a configuration.
func TestNotFreshWithoutConfig(t *testing.T) {
	nop := zerolog.Nop()
	f := New(clock.System{}, &scriptedSource{}, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	is.New(t).True(!f.MayServe())
}

// Guards against standbys that all read the store at their start, and against
// a standby that misses a newer version.
func TestStandbyFollowsServing(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	s := &scriptedSource{updates: []any{configUpdate(3), configUpdate(4)}}
	f := New(clock.System{}, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(30 * time.Millisecond)
	is.True(!f.MayServe())
	f.Merge("e1", &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, EvacuatedZones: &peerpb.EvacuatedZones{}})
	eventually(t, "version 3 was not applied", func() bool { return f.View().Config.Version == 3 })
	f.Merge("e1", &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, EvacuatedZones: &peerpb.EvacuatedZones{}})
	f.Merge("e2", &peerpb.Heartbeat{ConfigVersion: 9})
	f.Merge("e1", &peerpb.Heartbeat{Serving: true, ConfigVersion: 4, EvacuatedZones: &peerpb.EvacuatedZones{}})
	eventually(t, "version 4 was not applied", func() bool { return f.View().Config.Version == 4 })
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.reads, 2)
}

// Guards against a standby that calls the store for each received heartbeat while
// the store refuses its calls: in incident inc-7d3b, 17 instances did so twice
// a second.
func TestStandbyWaitsAfterFailedRead(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	nop := zerolog.Nop()
	s := &scriptedSource{}
	for range 100 {
		s.updates = append(s.updates, errors.New("call refused"))
	}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	reads := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.reads
	}
	for range 20 {
		f.Merge("e1", &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, EvacuatedZones: &peerpb.EvacuatedZones{}})
		eventually(t, "the read did not finish", func() bool { return f.copySources.Idle() })
		c.Advance(250 * time.Millisecond)
	}
	is.True(reads() <= 3) // within 5 s
}

// Guards against a standby that serves a request with an outdated configuration,
// and against repeated reads while the configuration is recent.
func TestEnsureMaxAgeReadsOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	nop := zerolog.Nop()
	s := &scriptedSource{updates: []any{configUpdate(3), configUpdate(4)}}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	f.EnsureMaxAge(context.Background(), time.Second)
	f.EnsureMaxAge(context.Background(), time.Second)
	is.Equal(s.reads, 1)
	is.Equal(f.View().Config.Version, int64(3))
	c.Advance(time.Second)
	f.EnsureMaxAge(context.Background(), time.Second)
	is.Equal(f.View().Config.Version, int64(4))
}

// pausedSource fails each read after a time.
type pausedSource struct {
	clock *clock.Manual
	takes time.Duration
	reads int
}

func (s *pausedSource) Await(context.Context, Cursor) (Update, error) {
	s.reads++
	s.clock.Advance(s.takes)
	return Update{}, errors.New("timeout")
}

// Guards against a read for each request while the store fails, and against a read that
// failed because the process was paused and keeps it from reading after the pause.
func TestFailedReadIsNotRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	s := &pausedSource{clock: c, takes: readTimeout}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	for range 5 {
		f.EnsureMaxAge(t.Context(), time.Second)
	}
	is.Equal(s.reads, 1)
	c.Advance(failedReadBackoff)
	s.takes = readTimeout + 2*maxTimeoutDelay
	f.EnsureMaxAge(t.Context(), time.Second)
	is.Equal(s.reads, 2)
	f.EnsureMaxAge(t.Context(), time.Second)
	is.Equal(s.reads, 3)
}
