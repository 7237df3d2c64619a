package placement

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// evacuatedZones is a set that a test replaces.
type evacuatedZones struct{ zones atomic.Pointer[[]string] }

func (z *evacuatedZones) set(zones ...string) { z.zones.Store(&zones) }

func (z *evacuatedZones) Evacuated(zone string) bool {
	for _, z := range *z.zones.Load() {
		if z == zone {
			return true
		}
	}
	return false
}

// newEvacuationFixture is newFixture with no zone evacuated.
func newEvacuationFixture(count int) (*fixture, *evacuatedZones) {
	f, zones := newFixture(count), &evacuatedZones{}
	zones.set()
	f.Evacuations = zones
	return f, zones
}

// Guards against a request to an evacuated zone on any way to choose a target: the load has
// failing, unreachable, shedding and new targets, so that trials, the floor, tests whether a
// target is reached and retries all choose, and the order comes while requests are open.
func TestNoChoiceInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(6)
	results := []proxy.Result{proxy.Answered, proxy.Answered, proxy.Answered, proxy.ServerError, proxy.NotSent, proxy.Shed, proxy.TimedOut, proxy.Misplaced}
	choose := func(r proxy.Request, tried []string) proxy.Attempt {
		if rand.IntN(2) == 0 {
			return f.AcquireNow(r, tried)
		}
		r.Objective = 0 // the clock of the test stands still while a request waits
		r.Deadline = f.clock.SinceBoot()
		a, _ := f.Acquire(r, tried)
		return a
	}
	used := map[bool]map[string]int{true: {}, false: {}}
	for step := range 20000 {
		out := step >= 5000 && step < 15000
		switch step {
		case 5000:
			zones.set("a")
		case 9000:
			f.setTargets(7) // a target that is new while the order is in force
		case 15000:
			zones.set()
		}
		var tried []string
		for range 3 {
			a := choose(f.request(rand.IntN(2) == 0), tried)
			if a == nil {
				break
			}
			used[out][a.Target()[:1]]++
			if out && a.Target()[0] == 'a' {
				t.Fatalf("step %d: a request goes to %s", step, a.Target())
			}
			tried = append(tried, a.Target())
			f.clock.Advance(time.Duration(rand.IntN(40)) * time.Millisecond)
			a.Done(results[rand.IntN(len(results))], 20*time.Millisecond, proxy.Load{})
		}
		f.clock.Advance(time.Duration(rand.IntN(20)) * time.Millisecond)
	}
	is.True(used[true]["b"] > 1000)
	is.True(used[false]["a"] > 1000)
}

// Guards against a request that was assigned to a target before the order and is written
// after it, and against idle connections that stay open.
func TestUnwrittenRequestIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(2)
	var closed []string
	f.OnUnused = func(address string) { closed = append(closed, address) }
	a, err := f.Acquire(f.request(false), nil)
	is.NoErr(err)
	is.Equal(a.Target()[:1], "a")
	withdrawable := a.(proxy.WithdrawableAttempt)
	is.True(!withdrawable.Withdrawn())
	zones.set("a")
	is.True(withdrawable.Withdrawn())
	other, err := f.Acquire(f.request(false), []string{a.Target()})
	is.NoErr(err)
	is.Equal(other.Target()[:1], "b")
	is.True(!other.(proxy.WithdrawableAttempt).Withdrawn())
	is.Equal(len(closed), 2)
}

// Guards against requests that wait although no zone is in use, and against a Retry-After
// that nothing supports.
func TestAllZonesEvacuated(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(2)
	zones.set("a", "b")
	refused := acquireRefused(t, f, 1)
	is.Equal(refused.Kind, refusal.NoTarget)
	is.Equal(refused.Outcome, refusal.OutcomeNotRun)
	is.Equal(refused.RetryAfter, evacuatedRetryAfter)
	is.True(strings.Contains(refused.Cause.Error(), "4 evacuated"))
	// A pause of the other zone's targets has a known end.
	zones.set("a")
	for id, target := range f.service("s").targets {
		if id[0] == 'b' {
			target.pausedUntil = f.clock.SinceBoot() + 3*time.Second
		}
	}
	refused = acquireRefused(t, f, 1)
	is.Equal(refused.Kind, refusal.Overloaded)
	is.Equal(refused.RetryAfter, 3*time.Second)
	is.Equal(f.Obstacles()["evacuated"], 2)
	is.Equal(f.Obstacles()["paused"], 2)
}

// acquireRefused returns the refusal of a request that must not wait.
func acquireRefused(t *testing.T, f *fixture, priority int) *refusal.Refusal {
	t.Helper()
	ended := make(chan error, 1)
	go func() {
		r := f.request(false)
		r.Priority = priority
		_, err := f.Acquire(r, nil)
		ended <- err
	}()
	select {
	case err := <-ended:
		var refused *refusal.Refusal
		if !errors.As(err, &refused) {
			t.Fatalf("not refused: %v", err)
		}
		return refused
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
		return nil
	}
}

// Guards against queued requests that wait for a zone that is evacuated meanwhile, and
// against less urgent requests that are served first while the other zones are short.
func TestQueuedRequestsGoToOtherZones(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(1)
	var open []proxy.Attempt
	for range 6 { // 1.5 requests for each of the four slots
		a, err := f.Acquire(f.request(false), nil)
		is.NoErr(err)
		open = append(open, a)
	}
	served := make(chan int, 2)
	var waiting sync.WaitGroup
	for _, priority := range []int{3, 0} {
		waiting.Go(func() {
			r := f.request(false)
			r.Priority = priority
			a, err := f.Acquire(r, nil)
			if err == nil && a.Target() == "b0" {
				served <- priority
			} else {
				served <- -1
			}
		})
	}
	for deadline := time.Now().Add(5 * time.Second); f.waiting() < 2 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	zones.set("a")
	for _, a := range open {
		if a.Target() == "a0" {
			a.Done(proxy.Answered, 10*time.Millisecond, proxy.Load{}) // makes no room
		}
	}
	time.Sleep(2 * recheckInterval)
	is.Equal(len(served), 0)
	first := true
	for _, a := range open {
		if a.Target() == "b0" {
			a.Done(proxy.Answered, 10*time.Millisecond, proxy.Load{})
			if first {
				is.Equal(<-served, 0)
				first = false
			}
		}
	}
	is.Equal(<-served, 3)
	waiting.Wait()
}

// Guards against a wrong order of precedence: what outlasts an order comes before it, and
// what ends sooner after it. Also against a target that has an owner meanwhile, or whose
// allowance of a named rate is full when the order is withdrawn.
func TestEvacuationPrecedence(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(1)
	f.send(t, false, answered)
	zones.set("a")
	target := f.service("s").targets["a0"]
	now := f.clock.SinceBoot()
	target.pausedUntil, target.blockedUntil = now+time.Second, now+time.Second
	is.Equal(target.obstacle(maxLoadPerSlot, now), evacuated)
	is.True(evacuated.excludes())
	target.limit.state(limitStatement{limited: true, perSecond: 4, at: now}, now)
	f.send(t, false, answered)
	is.True(!target.preferred && target.limit.share == 0)
	f.clock.Advance(limitBurst)
	zones.set()
	f.send(t, false, answered)
	is.True(target.preferred && target.limit.share > 0)
	is.Equal(target.limit.tokens, 0.0)
	zones.set("a")
	target.leaving.announced = true
	is.Equal(target.obstacle(maxLoadPerSlot, now), announcedLeaving)
}

// Guards against a Retry-After that is shorter than the time that the remaining targets need
// for the requests before, and against one that changes where no zone is evacuated.
func TestOverloadRetryAfter(t *testing.T) {
	is := is.New(t)
	f, zones := newEvacuationFixture(2)
	f.send(t, false, answered)
	s := f.service("s")
	s.typicalLatency = 300 * time.Millisecond
	now := f.clock.SinceBoot()
	is.Equal(s.overloadRetryAfter(11, now), retryAfter)
	zones.set("a")
	// Two targets of zone b with two slots each take six requests at a time.
	is.Equal(s.overloadRetryAfter(11, now), 600*time.Millisecond)
	is.Equal(s.overloadRetryAfter(1, now), retryAfter)
	is.Equal(s.overloadRetryAfter(100, now), evacuatedRetryAfter)
}

// MarkZoneCold marks the targets of a zone as possibly cold in all services.
func (b *Balancer) MarkZoneCold(zone string) {
	for _, s := range b.allServices() {
		s.mu.Lock()
		s.suspectZone(zone, b.clock.SinceBoot())
		s.mu.Unlock()
	}
}

// Guards against targets that get the rate of warm ones after an order to evacuate their zone
// was withdrawn: they are cold then.
func TestRestoredZoneIsCold(t *testing.T) {
	is := is.New(t)
	f, zones := newColdFixture(t, 4.5), &evacuatedZones{}
	zones.set()
	f.Evacuations, f.service("s").evacuations = zones, zones
	f.catalogue.Version++
	cold := func() map[string]bool {
		f.send(t, true, answered)
		found := map[string]bool{}
		for _, t := range f.service("s").ordered {
			found[t.entry.Zone] = found[t.entry.Zone] || t.cold.cold(f.clock.SinceBoot())
		}
		return found
	}
	is.Equal(cold(), map[string]bool{"a": false, "b": false})
	zones.set("b")
	is.Equal(cold(), map[string]bool{"a": false, "b": false})
	zones.set()
	is.Equal(cold(), map[string]bool{"a": false, "b": true})
}
