package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

var nop = zerolog.Nop()

// fixture is a balancer of instance e1 in zone a with a catalogue that a test edits.
type fixture struct {
	*Balancer
	clock     *clock.Manual
	catalogue *discovery.Catalogue
	view      *fleet.View
}

func (f *fixture) Catalogue() *discovery.Catalogue { return f.catalogue }
func (f *fixture) View() *fleet.View               { return f.view }

// newFixture lists count targets of two slots in zone a and as many in zone b. The
// instances e1 and e2 serve in zone a, e3 in zone b.
func newFixture(count int) *fixture {
	f := &fixture{clock: clock.NewManual(time.Unix(0, 0))}
	f.clock.Advance(time.Hour)
	self := fleet.Member{Instance: "e1", Zone: "a"}
	f.view = &fleet.View{Version: 1, Self: self, Serving: true, Peers: []fleet.Member{
		self, {Instance: "e2", Zone: "a"}, {Instance: "e3", Zone: "b"},
	}}
	f.setTargets(count)
	f.Balancer = New(f.clock, f, f, &nop)
	return f
}

// setTargets replaces the catalogue by one with count targets per zone.
func (f *fixture) setTargets(count int) {
	version := uint64(1)
	if f.catalogue != nil {
		version = f.catalogue.Version + 1
	}
	f.catalogue = &discovery.Catalogue{Version: version, Services: map[string][]*discovery.Entry{}}
	for _, zone := range []string{"a", "b"} {
		for i := range count {
			f.catalogue.Services["s"] = append(f.catalogue.Services["s"], &discovery.Entry{Target: discovery.Target{
				ID: fmt.Sprintf("%s%d", zone, i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: zone, Slots: 2,
			}})
		}
	}
}

func (f *fixture) request(idempotent bool) proxy.Request {
	return proxy.Request{
		Service: "s", Idempotent: idempotent, Objective: 100 * time.Millisecond, Deadline: f.clock.SinceBoot() + time.Second,
	}
}

// send sends one request, ends it after 50 ms with a result, and returns its target.
func (f *fixture) send(t *testing.T, idempotent bool, result func(target string) proxy.Result) string {
	t.Helper()
	a, err := f.Acquire(f.request(idempotent), nil)
	if err != nil {
		t.Fatal(err)
	}
	f.clock.Advance(50 * time.Millisecond)
	a.Done(result(a.Target()), 50*time.Millisecond, proxy.Load{})
	return a.Target()
}

func answered(string) proxy.Result { return proxy.Answered }

// Guards against requests that leave the zone or the preferred targets while these
// have free capacity.
func TestHomeTargetsComeFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	for range 50 {
		target := f.send(t, false, answered)
		is.True(target == "a0" || target == "a2") // e2 has the other targets of the zone
	}
}

// Guards against requests that queue at preferred targets while other targets are idle.
func TestOverflow(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	used := map[string]int{}
	for range 16 {
		a, err := f.Acquire(f.request(false), nil)
		is.NoErr(err)
		used[a.Target()]++
	}
	is.Equal(len(used), 8)
	for _, n := range used {
		is.Equal(n, 2) // every slot, and no queue
	}
}

// Guards against non-idempotent requests at a target that has just failed one,
// while others are healthy.
func TestFailingTargetIsAvoided(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	failing := func(target string) proxy.Result {
		if target == "a0" {
			return proxy.ServerError
		}
		return proxy.Answered
	}
	failed := 0
	for range 200 {
		if f.send(t, false, failing) == "a0" {
			failed++
		}
	}
	is.True(failed <= 2)
}

// Guards against an idempotent request whose retry goes to another failing target: on
// the quiet day of the print works deployment, 123 of 2200 failed this way in one run.
func TestRepeatAvoidsFailingTargets(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	failing := func(target string) proxy.Result {
		if target == "a0" || target == "b0" || target == "b1" {
			return proxy.ServerError
		}
		return proxy.Answered
	}
	for range 40 {
		a, err := f.Acquire(f.request(true), nil)
		is.NoErr(err)
		f.clock.Advance(50 * time.Millisecond)
		result := failing(a.Target())
		a.Done(result, 50*time.Millisecond, proxy.Load{})
		if result == proxy.Answered {
			continue
		}
		second, err := f.Acquire(f.request(true), []string{a.Target()})
		is.NoErr(err)
		is.Equal(failing(second.Target()), proxy.Answered)
		second.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	}
}

// Guards against a target that never returns after it has recovered, and
// against one that gets non-idempotent requests before it is verified.
func TestRecoveredTargetReturns(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	unhealthy := true
	result := func(target string) proxy.Result {
		if unhealthy && target == "a0" {
			return proxy.ServerError
		}
		return proxy.Answered
	}
	for range 40 {
		f.send(t, false, result)
		f.send(t, true, result)
	}
	unhealthy = false
	used := 0
	for range 200 {
		f.send(t, true, result)
		// Four requests at a time fill the slots of the instance's targets a0 and a2.
		var open []proxy.Attempt
		for range 4 {
			a, err := f.Acquire(f.request(false), nil)
			is.NoErr(err)
			open = append(open, a)
		}
		f.clock.Advance(50 * time.Millisecond)
		for _, a := range open {
			if a.Target() == "a0" {
				used++
			}
			a.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
		}
	}
	is.True(used > 200)
}

// Guards against trials that use up the retry budget.
func TestTrialsAreFew(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	trials := 0
	for range 400 { // 20 s
		if f.send(t, true, func(target string) proxy.Result {
			if target == "a0" {
				return proxy.ServerError
			}
			return proxy.Answered
		}) == "a0" {
			trials++
		}
	}
	is.True(trials <= int(20*time.Second/trialInterval)+2)
}

// Guards against evidence that is not shared with other instances.
func TestEvidenceIsShared(t *testing.T) {
	is := is.New(t)
	f, other := newFixture(4), newFixture(4)
	other.send(t, false, answered)
	f.send(t, false, func(string) proxy.Result { return proxy.ServerError })
	h := &peerpb.Heartbeat{}
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(len(h.Targets), 1)
	other.Merge("e2", proto.Clone(h).(*peerpb.Heartbeat))
	for range 50 {
		is.True(other.send(t, false, answered) != h.Targets[0].Target)
	}
}

// Guards against requests at a draining target, and at one that is no longer listed.
func TestDrainingTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.send(t, false, answered)
	f.setTargets(2)
	f.catalogue.Services["s"][0].Draining = true
	for range 50 {
		is.True(f.send(t, false, answered) != "a0")
	}
	f.setTargets(0)
	_, err := f.Acquire(f.request(false), nil)
	var refused *refusal.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, refusal.NoTarget.Code)
	is.Equal(refused.Outcome, refusal.OutcomeNotRun)
}

// Guards against a target whose address another one has taken over, and against
// one that cannot be reached.
func TestUnusableAddress(t *testing.T) {
	for _, result := range []proxy.Result{proxy.Misplaced, proxy.NotSent} {
		t.Run(result.String(), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			first := f.send(t, false, func(string) proxy.Result { return result })
			for range 5 {
				is.True(f.send(t, false, answered) != first)
			}
		})
	}
}

// Guards against requests that are held until their deadline while all targets
// are full, and against refusals without a retry delay.
func TestRefusedInTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	for range 6 { // two targets of two slots, with one request queued at each
		_, err := f.Acquire(f.request(false), nil)
		is.NoErr(err)
	}
	began := f.clock.SinceBoot()
	done := make(chan error, 1)
	go func() {
		_, err := f.Acquire(f.request(false), nil)
		done <- err
	}()
	for {
		select {
		case err := <-done:
			var refused *refusal.Refusal
			is.True(errors.As(err, &refused))
			is.Equal(refused.Code, refusal.Overloaded.Code)
			is.True(refused.RetryAfter > 0)
			is.True(f.clock.SinceBoot()-began <= 60*time.Millisecond) // objective 100 ms
			return
		default:
			f.clock.Advance(5 * time.Millisecond)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against an urgent request that waits behind a less urgent one.
func TestUrgentRequestsGoFirst(t *testing.T) {
	is := is.New(t)
	var q waitQueue
	first := &waiter{priority: 2, arrived: 1, wake: make(chan struct{}, 1)}
	second := &waiter{priority: 0, arrived: 2, wake: make(chan struct{}, 1)}
	third := &waiter{priority: 0, arrived: 3, wake: make(chan struct{}, 1)}
	q.enqueue(first)
	q.enqueue(third)
	q.enqueue(second)
	is.Equal([]*waiter(q), []*waiter{second, third, first})
	is.True(q.mustWait(0) && q.mustWait(1))
	q.dequeue(second)
	q.dequeue(third)
	is.True(!q.mustWait(1) && q.mustWait(2))
}

// Guards against retries that exceed a fifth of the requests plus the constant.
func TestBudget(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget(0)
	spent := 0
	for i := range 1000 { // 10 s at 100 requests/s
		now := time.Duration(i) * 10 * time.Millisecond
		b.earn(now)
		for b.spend(now) {
			if spent > 1000 {
				t.Fatal("the budget is not spent")
			}
			spent++
		}
	}
	is.True(spent <= 1000/5+maxSavedRetries)
	is.True(spent >= 1000/6)
}

// Guards against giving up healthy targets before they can have answered: with an
// assumed latency of 100 ms and few requests at an instance, a seventh of the downloads
// of csl-capacite (380 ms on average) were given up, and their targets suspected.
func TestFirstRequestsAreNotGivenUp(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	const work = 380 * time.Millisecond
	for range 12 {
		r := f.request(true)
		r.Objective, r.Deadline = 1500*time.Millisecond, f.clock.SinceBoot()+6*time.Second
		a, err := f.Acquire(r, nil)
		is.NoErr(err)
		is.True(a.(proxy.AttemptWithRetryDelay).RetryDelay() > 3*work)
		f.clock.Advance(work)
		a.Done(proxy.Answered, work, proxy.Load{})
	}
	// A service that turns out faster than its objective suggests is known soon.
	quick := f.service("s")
	for range 30 {
		a, err := f.Acquire(f.request(true), nil)
		is.NoErr(err)
		f.clock.Advance(20 * time.Millisecond)
		a.Done(proxy.Answered, 20*time.Millisecond, proxy.Load{})
	}
	is.True(quick.typicalLatency < 200*time.Millisecond)
}

// Guards against large responses that cross zones while a target of the zone can give
// them: on csl-capacite, 116 of 520 downloads of 90 kB were two thirds of all bytes
// between zones. Small responses go where they are served soonest.
func TestLargeResponsesStayInTheZone(t *testing.T) {
	for size, crosses := range map[int64]bool{100: true, 90_000: false} {
		is := is.New(t)
		f := newFixture(1) // a0 and b0
		send := func() *attempt {
			r := f.request(true)
			r.Route = "download"
			a, err := f.Acquire(r, nil)
			is.NoErr(err)
			f.clock.Advance(20 * time.Millisecond)
			return a.(*attempt)
		}
		first := send()
		is.Equal(first.Target(), "a0")
		first.ObserveSize(size)
		first.Done(proxy.Answered, 20*time.Millisecond, proxy.Load{})
		// Both slots of the zone's target are taken; a third request would queue there.
		is.Equal(send().Target(), "a0")
		is.Equal(send().Target(), "a0")
		is.Equal(send().Target() == "b0", crosses)
	}
}
