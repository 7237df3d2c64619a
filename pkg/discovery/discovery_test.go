package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// source is a list that a test changes.
type source struct {
	targets []Target
	err     error
	calls   int
}

func (s *source) Targets(context.Context) ([]Target, error) {
	s.calls++
	return s.targets, s.err
}

func newRegistry() (*Registry, *source, *clock.Manual) {
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	nop := zerolog.Nop()
	s := &source{}
	return NewRegistry(c, s, &nop), s, c
}

func target(id string) Target {
	return Target{ID: id, Service: "s", Address: "10.0.0.1:80", Zone: "a", Slots: 2}
}

// Guards against a target that is used after it left the list.
func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	r, s, _ := newRegistry()
	s.targets = []Target{target("t1"), target("t2")}
	is.NoErr(r.Refresh(context.Background()))
	is.Equal(len(r.Catalogue().Services["s"]), 2)
	version := r.Catalogue().Version
	s.targets = s.targets[:1]
	r.clock.(*clock.Manual).Advance(time.Second)
	is.NoErr(r.Refresh(context.Background()))
	is.True(r.Catalogue().Find("t2") == nil)
	is.True(r.Catalogue().Version > version)
}

// Guards against live targets that are dropped because their entries lapsed
// while the store was away, and against dead ones that are kept for good.
func TestLapsedTargetsAreKeptForAWhile(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	s.targets = []Target{target("t1"), target("t2")}
	is.NoErr(r.Refresh(context.Background()))
	c.Advance(time.Second)
	s.err = errors.New("down")
	is.True(r.Refresh(context.Background()) != nil)
	is.Equal(len(r.Catalogue().Services["s"]), 2) // the last listing stays in use
	s.err, s.targets = nil, []Target{target("t1")}
	c.Advance(time.Second)
	is.NoErr(r.Refresh(context.Background()))
	is.True(r.Catalogue().Find("t2") != nil) // it may still report again
	c.Advance(2 * time.Second)
	is.NoErr(r.Refresh(context.Background()))
	is.True(r.Catalogue().Find("t2") == nil)
}

// Guards against a draining target that an outage keeps in use.
func TestDrainingTargetIsNotKept(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	leaving := target("t1")
	leaving.Draining = true
	s.targets = []Target{leaving}
	is.NoErr(r.Refresh(context.Background()))
	r.NoteTrouble()
	s.targets = nil
	c.Advance(time.Second)
	is.NoErr(r.Refresh(context.Background()))
	is.True(r.Catalogue().Find("t1") == nil)
}

// Guards against listings that are repeated for each request.
func TestEnsureFresh(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	s.targets = []Target{target("t1")}
	r.EnsureFresh(context.Background(), time.Second)
	r.EnsureFresh(context.Background(), time.Second)
	is.Equal(s.calls, 1)
	c.Advance(time.Second)
	r.EnsureFresh(context.Background(), time.Second)
	is.Equal(s.calls, 2)
}

// Guards against warm-up that begins anew with each change of an entry.
func TestWarmupIsCountedOnce(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	cold := target("t1")
	cold.WarmupLeft = 3 * time.Second
	s.targets = []Target{cold}
	is.NoErr(r.Refresh(context.Background()))
	until := r.Catalogue().Find("t1").WarmUntil
	c.Advance(time.Second)
	cold.Draining = true
	s.targets = []Target{cold}
	is.NoErr(r.Refresh(context.Background()))
	is.Equal(r.Catalogue().Find("t1").WarmUntil, until)
}

// Guards against instances that each list the targets although one passes
// changes on, and against changes that are lost on the way.
func TestRelay(t *testing.T) {
	is := is.New(t)
	lister, s, c := newRegistry()
	other := NewRegistry(c, &source{}, lister.log)
	s.targets = []Target{target("t1"), target("t2")}
	is.NoErr(lister.Refresh(context.Background()))
	pass := func() {
		h := &peerpb.Heartbeat{}
		lister.Fill(h)
		other.Absorb("lister", h)
	}
	pass()
	is.Equal(len(other.Catalogue().Services["s"]), 2)

	c.Advance(500 * time.Millisecond)
	s.targets = []Target{target("t2"), target("t3")}
	is.NoErr(lister.Refresh(context.Background()))
	c.Advance(100 * time.Millisecond)
	pass()
	is.True(other.Catalogue().Find("t1") == nil)
	is.True(other.Catalogue().Find("t3") != nil)
	is.Equal(c.SinceBoot()-other.Catalogue().ReadAt, 100*time.Millisecond) // the age of the listing, not of the message

	// Messages about a change are lost for longer than they are repeated.
	s.targets = []Target{target("t3")}
	c.Advance(500 * time.Millisecond)
	is.NoErr(lister.Refresh(context.Background()))
	c.Advance(2 * time.Second)
	is.NoErr(lister.Refresh(context.Background()))
	readAt := other.Catalogue().ReadAt
	pass()
	is.Equal(other.Catalogue().ReadAt, readAt) // a listing that does not add up is not taken
}
