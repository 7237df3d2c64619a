package control

import (
	"context"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/matryer/is"
)

// Guards against a fetch that ends by its deadline while the control goroutine is
// busy: the documents were read while that goroutine still wrote them, and other
// instances got none.
func TestFetchDoesNotWaitForControl(t *testing.T) {
	is := is.New(t)
	f := startLoops(t, 1, false)
	f.await(t, "joined", (*Loop).MayServe)
	l := f.loops[0]
	busy, release := make(chan struct{}), make(chan struct{})
	l.commands <- func() { close(busy); <-release }
	<-busy
	defer close(release)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	reply, err := l.HandleFetch(ctx, &peerpb.FetchRequest{})
	is.NoErr(err)
	is.Equal(reply.Versions.GetMembership(), l.View().Head.MembershipVersion)
	is.True(len(reply.Membership) > 0)
}
