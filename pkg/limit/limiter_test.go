package limit

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// fleet connects limiters directly, without a network. A member whose address is
// in unresponsive answers nothing.
type fleet struct {
	limiters     map[string]*Limiter
	unresponsive sync.Map
	calls        atomic.Int64
	clock        *shiftedClock
}

// shiftedClock is the system clock plus a shift. Shifting it fills the buckets
// without waiting.
type shiftedClock struct {
	clock.System
	shift atomic.Int64
}

func (s *shiftedClock) SinceBoot() time.Duration {
	return s.System.SinceBoot() + time.Duration(s.shift.Load())
}

func (f *fleet) Borrow(ctx context.Context, address string, r *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	f.calls.Add(1)
	if _, unresponsive := f.unresponsive.Load(address); unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return f.limiters[address].HandleBorrow(ctx, r)
}

// peerView is the view of one member, which the member may act on unless invalid
// is set.
type peerView struct {
	view    *control.View
	invalid atomic.Bool
}

func (p *peerView) View() *control.View { return p.view }
func (p *peerView) MayServe() bool      { return !p.invalid.Load() }

// startFleet starts six limiters; the team "school" has two issuers. It returns
// the addresses of the issuers and of the other members.
func startFleet(t *testing.T, wait time.Duration) (f *fleet, views map[string]*peerView, issuers, others []string) {
	f = &fleet{limiters: map[string]*Limiter{}, clock: &shiftedClock{}}
	views = map[string]*peerView{}
	c := config.Empty()
	c.Teams["school"] = config.Team{RatePerSecond: 0.001, Burst: 4}
	var add []membership.Member
	for i := range 6 {
		add = append(add, membership.Member{Incarnation: fmt.Sprint("i", i), PeerAddress: fmt.Sprint("p", i), Zone: fmt.Sprint(i % 2)})
	}
	m := (&membership.Membership{}).NextVersion(add, nil, 5)
	p := DefaultParams(2 * time.Second)
	p.MaxWait = wait
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, self := range m.Members {
		v := &peerView{view: &control.View{Config: config.NewSnapshot(1, c), Membership: m, Self: self, Member: true, DeliveredAt: 1}}
		l := New(Options{Clock: f.clock, Viewer: v, ServeChecker: v, Borrower: f, Params: p})
		f.limiters[self.PeerAddress], views[self.PeerAddress] = l, v
		running.Go(func() { _ = l.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); running.Wait() })
	// A loop that starts after a shift of the clock counts its first idle check from the shifted time.
	for _, l := range f.limiters {
		awaitFirstSleep(l)
	}
	f.clock.shift.Store(int64(24 * time.Hour))
	for _, issuer := range p.Issuers(m, "school", c.Teams["school"]) {
		issuers = append(issuers, issuer.PeerAddress)
	}
	for a := range f.limiters {
		if a != issuers[0] && a != issuers[1] {
			others = append(others, a)
		}
	}
	return f, views, issuers, others
}

// awaitFirstSleep waits until the timer loop of l has gone round once.
func awaitFirstSleep(l *Limiter) {
	for slept := false; !slept; time.Sleep(time.Millisecond) {
		l.schedule.mu.Lock()
		slept = l.schedule.sleepEnd != 0
		l.schedule.mu.Unlock()
	}
}

// code returns the refusal code of err, or "" if err is no refusal.
func code(err error) refusal.Code {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// Guards against a Limiter that loses tokens between issuers and borrowers, or
// admits more than the burst, when many goroutines and instances compete.
func TestBurstOverManyInstances(t *testing.T) {
	is := is.New(t)
	f, _, issuers, others := startFleet(t, 300*time.Millisecond)
	var admitted, exceeded atomic.Int64
	var wg sync.WaitGroup
	for n := range 24 {
		address := append([]string{issuers[0]}, others...)[n%3]
		wg.Go(func() {
			switch err := f.limiters[address].Take(context.Background(), "school"); {
			case err == nil:
				admitted.Add(1)
			case code(err) == refusal.RateExceeded.Code:
				exceeded.Add(1)
			}
		})
	}
	wg.Wait()
	is.Equal(admitted.Load(), int64(4))
	is.Equal(exceeded.Load(), int64(20))
}

// Guards against an unresponsive issuer that blocks a team, and against a
// refusal that blames the team when no issuer could be reached.
func TestSilentIssuers(t *testing.T) {
	is := is.New(t)
	f, _, issuers, others := startFleet(t, 300*time.Millisecond)
	f.unresponsive.Store(issuers[0], true)
	is.NoErr(f.limiters[others[0]].Take(context.Background(), "school"))
	f.unresponsive.Store(issuers[1], true)
	is.Equal(code(f.limiters[others[1]].Take(context.Background(), "school")), refusal.RateUnavailable.Code)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	start := time.Now()
	is.True(f.limiters[others[1]].Take(ctx, "school") != nil)
	is.True(time.Since(start) < 250*time.Millisecond) // ctx ends the wait
}

// Guards against issuing without a valid fence, and against pools and messages
// for teams without traffic or without configuration.
func TestStaleAndIdle(t *testing.T) {
	is := is.New(t)
	f, views, issuers, others := startFleet(t, 300*time.Millisecond)
	starting := &peerView{view: &control.View{}}
	l := New(Options{Clock: f.clock, Viewer: starting, ServeChecker: starting, Borrower: f, Params: DefaultParams(time.Second)})
	is.True(l.Take(context.Background(), "school") != nil) // no configuration applied yet
	_, err := l.HandleBorrow(context.Background(), &peerpb.BorrowRequest{Team: "school"})
	is.NoErr(err)
	is.Equal(len(f.limiters[issuers[0]].Dump().Teams), 0)
	is.Equal(code(f.limiters[issuers[0]].Take(context.Background(), "unknown")), refusal.RateExceeded.Code)
	_, err = f.limiters[others[0]].HandleBorrow(context.Background(), &peerpb.BorrowRequest{Team: "school", Millitokens: 1000})
	is.NoErr(err)
	is.Equal(len(f.limiters[others[0]].Dump().Teams), 0) // not an issuer, so no pool
	views[issuers[0]].invalid.Store(true)
	is.Equal(code(f.limiters[issuers[0]].Take(context.Background(), "school")), refusal.InstanceNotFresh.Code)
	r, err := f.limiters[issuers[0]].HandleBorrow(context.Background(), &peerpb.BorrowRequest{Team: "school", Millitokens: 1000})
	is.NoErr(err)
	is.Equal(r.GetMillitokens(), int64(0))
	is.Equal(f.calls.Load(), int64(0))
	views[issuers[0]].invalid.Store(false)
	is.NoErr(f.limiters[others[0]].Take(context.Background(), "school"))
	f.clock.shift.Add(int64(10 * time.Second))
	for range 40 {
		time.Sleep(20 * time.Millisecond)
		if len(f.limiters[others[0]].Dump().Teams) == 0 {
			break
		}
	}
	is.Equal(len(f.limiters[others[0]].Dump().Teams), 0) // dropped when idle
	_, err = json.Marshal(f.limiters[issuers[0]].Dump())
	is.NoErr(err)
}
