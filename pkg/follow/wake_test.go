package follow

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Guards against an instance that begins to serve and learns of changes seconds later.
func TestStandbyReadsWhenItIsActivated(t *testing.T) {
	nop := zerolog.Nop()
	f := New(clock.System{}, &scriptedSource{updates: []any{configUpdate(3)}}, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(20 * time.Millisecond) // it waits for its next read
	f.Activate()
	// unconfiguredReadInterval is the shortest that a standby waits.
	for end := time.Now().Add(unconfiguredReadInterval / 2); !f.MayServe(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the instance does not read at once")
		}
	}
}

// heldSource answers reads once it is released.
type heldSource struct {
	scriptedSource
	release chan struct{}
}

func (s *heldSource) Await(ctx context.Context, cursor Cursor) (Update, error) {
	<-s.release
	return s.scriptedSource.Await(ctx, cursor)
}

// Guards against a read of the store for each of the requests that arrive after a pause.
func TestRequestsAfterAPauseShareOneRead(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	s := &heldSource{scriptedSource{updates: []any{configUpdate(3), configUpdate(4), configUpdate(5)}}, make(chan struct{})}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	var requests sync.WaitGroup
	for range 3 {
		requests.Go(func() { f.EnsureCheckedSince(context.Background(), c.SinceBoot()) })
	}
	time.Sleep(20 * time.Millisecond) // all of them wait
	close(s.release)
	requests.Wait()
	is.Equal(s.reads, 1)
}
