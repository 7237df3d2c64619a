package dispatch

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// bubbleClock is a clock.Clock on the fake time of a synctest bubble.
type bubbleClock struct{ start time.Time }

func (bubbleClock) Now() time.Time             { return time.Now() }
func (c bubbleClock) SinceBoot() time.Duration { return time.Since(c.start) }
func (bubbleClock) Sleep(ctx context.Context, d time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	<-ctx.Done()
	return nil
}

// innerBalancer chooses the first target that is not in tried, and records the
// results of its attempts.
type innerBalancer struct {
	mu      sync.Mutex
	open    int
	results []proxy.Result
}

type innerAttempt struct {
	b      *innerBalancer
	target string
}

func (a *innerAttempt) Target() string  { return a.target }
func (a *innerAttempt) Address() string { return a.target }
func (a *innerAttempt) Done(result proxy.Result, _ time.Duration, _ proxy.Load) {
	a.b.mu.Lock()
	defer a.b.mu.Unlock()
	a.b.open--
	a.b.results = append(a.b.results, result)
}

func (b *innerBalancer) Acquire(_ proxy.Request, tried []string) (proxy.Attempt, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range []string{"t0", "t1", "t2"} {
		if !slices.Contains(tried, name) {
			b.open++
			return &innerAttempt{b, name}, nil
		}
	}
	return nil, refusal.New(refusal.NoTarget, nil)
}

func (*innerBalancer) TakeRetry(proxy.Request) bool { return true }

// defaultDelay is the round trip of a call unless a test sets another one.
const defaultDelay = 1500 * time.Microsecond

// network delivers calls to a dispatcher after a delay; a negative delay makes
// them time out.
type network struct {
	delay atomic.Int64
	to    *Dispatcher
	// calls counts the calls that ask for a slot or report a choice, releases
	// those that only release.
	calls, releases atomic.Int64
}

func (n *network) SendReserve(ctx context.Context, _ membership.Member, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	if request.ReleaseOnly {
		n.releases.Add(1)
	} else {
		n.calls.Add(1)
	}
	delay := time.Duration(n.delay.Load())
	if delay < 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(delay)
	return n.to.HandleReserve(request), nil
}

type balancerFixture struct {
	inner      *innerBalancer
	network    *network
	standings  *standings
	dispatcher *Dispatcher
	balancer   *Balancer
}

// newBalancerFixture returns a balancer on an instance that is not the dispatcher;
// it calls the dispatcher over the network. It must be called in a synctest bubble.
func newBalancerFixture(options Options) *balancerFixture {
	c := bubbleClock{time.Now()}
	remote, ranked := fleetView(3)
	local, _ := fleetView(3)
	local.view.Self = ranked[1]
	r := &balancerFixture{inner: &innerBalancer{}, standings: &standings{}, network: &network{}}
	r.network.delay.Store(int64(defaultDelay))
	r.standings.set(active, active, active)
	r.dispatcher = NewDispatcher(c, remote, r.standings, options)
	r.network.to = r.dispatcher
	r.balancer = NewBalancer(c, local, r.standings, r.inner, NewDispatcher(c, local, r.standings, options), r.network, options)
	return r
}

func (r *balancerFixture) acquire() (proxy.Attempt, time.Duration, error) {
	start := time.Now()
	a, err := r.balancer.Acquire(proxy.Request{Service: "s", Route: "r", Deadline: time.Hour}, nil)
	return a, time.Since(start), err
}

func (r *balancerFixture) reserved() int {
	n := 0
	for _, t := range r.dispatcher.Dump()["s"].Targets {
		n += t.Reserved
	}
	return n
}

// Guards against more than one target acquired for a request, against results
// that do not reach the wrapped balancer, and against slots that are not released.
func TestGrantIsUsedAndReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{QueuePerSlot: -1})
		targets := map[string]int{}
		var open []proxy.Attempt
		for i := range 6 {
			a, took, err := r.acquire()
			is.NoErr(err)
			is.Equal(took, defaultDelay)
			targets[a.Target()]++
			open = append(open, a)
			is.Equal(r.inner.open, i+1)
			is.Equal(r.reserved(), i+1)
		}
		is.Equal(targets, map[string]int{"t0": 2, "t1": 2, "t2": 2})
		for _, a := range open {
			a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
			a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
		}
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.inner.open, 0)
		is.Equal(r.reserved(), 0)
		answered := 0
		for _, result := range r.inner.results {
			is.True(result == proxy.Answered || result == proxy.Canceled)
			if result == proxy.Answered {
				answered++
			}
		}
		is.Equal(answered, 6)
	})
}

// Guards against long waits, or a wait of every request, for a dispatcher that
// does not answer, and against never asking it again.
func TestLostDispatcherCostsOneBoundedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{})
		r.network.delay.Store(-1)
		var total time.Duration
		for range 400 {
			a, took, err := r.acquire()
			is.NoErr(err)
			is.True(took <= maxTypicalRoundTrip+AnswerSlack)
			total += took
			a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
			time.Sleep(10 * time.Millisecond)
		}
		is.True(r.network.calls.Load() <= 10)
		is.True(r.network.releases.Load() <= 20)
		is.True(total <= 10*(maxTypicalRoundTrip+AnswerSlack))
		r.network.delay.Store(int64(time.Millisecond))
		time.Sleep(maxPause)
		_, took, _ := r.acquire()
		is.Equal(took, time.Millisecond)
		is.Equal(r.reserved(), 1)
	})
}

// Guards against a late answer whose slot is neither used nor released.
func TestLateGrantIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{})
		r.network.delay.Store(int64(20 * time.Millisecond))
		_, took, err := r.acquire()
		is.NoErr(err)
		is.Equal(took, initialTypicalRoundTrip+AnswerSlack)
		time.Sleep(200 * time.Millisecond)
		is.Equal(r.dispatcher.Dump()["s"].Granted, uint64(1))
		is.Equal(r.reserved(), 0)
	})
}

// Guards against unbounded waits while all targets are full, and against a
// waiting request that counts as in flight at a target.
func TestFullServiceRefusesAfterMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{QueuePerSlot: -1, MaxWait: 100 * time.Millisecond})
		for range 6 {
			_, _, err := r.acquire()
			is.NoErr(err)
		}
		_, took, err := r.acquire()
		var refused *refusal.Refusal
		is.True(errors.As(err, &refused) && refused.Code == refusal.Overloaded.Code && refused.RetryAfter > 0)
		is.True(took <= 110*time.Millisecond)
		is.Equal(r.inner.open, 6)
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.dispatcher.Dump()["s"].Waiting, 0)
	})
}

// Guards against a stand-in that reserves slots while the dispatcher answers,
// which splits the counts, and against one that does not when the dispatcher is
// unresponsive.
func TestStandIn(t *testing.T) {
	is := is.New(t)
	v, ranked := fleetView(2)
	v.view.Self = ranked[1]
	s := &standings{}
	s.set(active, active)
	d := NewDispatcher(bubbleClock{time.Now()}, v, s, Options{})
	unresponsive := false
	d.SetUnresponsiveCheck(func(m membership.Member) bool { return unresponsive && m == ranked[0] })
	ask := func() *peerpb.ReserveReply { return d.HandleReserve(&peerpb.ReserveRequest{Service: "s", From: "i1"}) }
	is.True(!ask().Dispatcher)
	unresponsive = true
	is.True(ask().Target != "")
	unresponsive = false
	is.True(!ask().Dispatcher)
}

// Guards against idempotent requests that wait while the service is not busy,
// that the dispatcher does not count, or whose slots are not released.
func TestIdempotentRequestsAreTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{QueuePerSlot: -1})
		request := proxy.Request{Service: "s", Route: "r", Idempotent: true, Deadline: time.Hour}
		var open []proxy.Attempt
		for i := range 6 {
			start := time.Now()
			a, err := r.balancer.Acquire(request, nil)
			is.NoErr(err)
			is.Equal(time.Since(start), time.Duration(0))
			time.Sleep(10 * time.Millisecond)
			is.Equal(r.reserved(), i+1)
			open = append(open, a)
		}
		start := time.Now()
		busy, err := r.balancer.Acquire(request, nil) // All were placed on t0, so the service is busy.
		is.NoErr(err)
		is.True(time.Since(start) == defaultDelay && busy.Target() != "t0")
		open = append(open, busy)
		for _, a := range open {
			a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
			a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
		}
		time.Sleep(BusyFor)
		a, err := r.balancer.Acquire(request, nil)
		is.NoErr(err)
		a.Done(proxy.Answered, 0, proxy.Load{}) // Before the dispatcher has answered.
		time.Sleep(20 * time.Millisecond)
		is.Equal(r.reserved(), 0)
		is.Equal(r.inner.open, 0)
	})
}

// Guards against slots and targets that are not released when many concurrent
// requests wait, end before the dispatcher's answer arrives, and get no answers
// from the dispatcher for a while.
func TestNothingIsLeftAfterConcurrentRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newBalancerFixture(Options{MaxWait: 200 * time.Millisecond})
		var requests sync.WaitGroup
		var placed, refused atomic.Int64
		for i := range 600 {
			requests.Go(func() {
				time.Sleep(time.Duration(i) * 3 * time.Millisecond)
				deadline := time.Duration(i)*3*time.Millisecond + time.Second
				a, err := r.balancer.Acquire(proxy.Request{
					Service: "s", Route: "r", Team: targetName(i % 3), Batch: "big", Idempotent: i%2 == 0, Deadline: deadline,
				}, nil)
				if err != nil {
					refused.Add(1)
					return
				}
				placed.Add(1)
				time.Sleep(time.Duration(i%40) * time.Millisecond)
				a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
			})
		}
		time.Sleep(600 * time.Millisecond)
		r.network.delay.Store(-1)
		time.Sleep(300 * time.Millisecond)
		r.network.delay.Store(int64(defaultDelay))
		requests.Wait()
		time.Sleep(2 * time.Second)
		r.dispatcher.HandleReserve(&peerpb.ReserveRequest{Service: "s", From: "i1", ReleaseOnly: true})
		dump := r.balancer.Dump()
		t.Logf("placed %d, refused %d, %+v", placed.Load(), refused.Load(), dump)
		is.True(placed.Load() > 550 && dump.Granted > 200 && dump.Reported > 0 && dump.Paused > 0)
		is.Equal(placed.Load()+refused.Load(), int64(600))
		is.Equal(r.inner.open, 0)
		is.Equal(r.reserved(), 0)
		is.Equal(r.dispatcher.Dump()["s"].Waiting, 0)
	})
}
