package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// newHedgingFixture returns a balancer that permits hedges and knows that one response in
// twenty takes 400 ms and the others 50 ms.
func newHedgingFixture(t *testing.T, count int) *fixture {
	f := newFixture(count)
	f.SetHedgeLimits(&hedge.Limits{Percent: 20})
	for i := range 200 {
		f.send(t, true, answered)
		latency := 50 * time.Millisecond
		if i%20 == 0 {
			latency = 400 * time.Millisecond
		}
		f.ObserveFirst(f.request(true), latency, 100, false)
	}
	return f
}

// dueHedge sends a request, lets its first attempt reach the age at which a hedge is due, and
// returns the first attempt and the hedge, or nil.
func (f *fixture) dueHedge(t *testing.T, r proxy.Request) (first, second proxy.Attempt) {
	t.Helper()
	first, err := f.Acquire(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	delay := f.HedgeDelay(r, time.Second, time.Second)
	if delay == 0 {
		return first, nil
	}
	f.clock.Advance(delay)
	return first, f.startHedge(r, first, delay)
}

func (f *fixture) startHedge(r proxy.Request, first proxy.Attempt, age time.Duration) proxy.Attempt {
	found := f.StartHedge(r, []string{first.Target()}, age, time.Second-age)
	if found == nil {
		return nil
	}
	return <-found
}

func (f *fixture) refused(r hedge.Refusal) int64 { return f.Hedges()["s"].Refused[r.String()] }

// Guards against a service without hedges that permits them, and against hedges or their
// bookkeeping without the operators' permission.
func TestHedgesAreOffByDefault(t *testing.T) {
	is := is.New(t)
	f := newHedgingFixture(t, 4)
	first, second := f.dueHedge(t, f.request(true))
	is.True(second != nil && first.Target() != second.Target())
	f.SetHedgeLimits(&hedge.Limits{Percent: 20, Routes: map[string]float64{"s": 0}})
	_, second = f.dueHedge(t, f.request(true))
	is.True(second == nil)

	f = newFixture(4)
	for range 100 {
		f.send(t, true, answered)
		f.ObserveFirst(f.request(true), 50*time.Millisecond, 100, false)
	}
	_, second = f.dueHedge(t, f.request(true))
	is.True(second == nil)
	is.Equal(len(f.Hedges()), 0)
}

// Guards against a hedge that takes what a retry needs, and against hedges while a retry was
// refused.
func TestHedgesYieldToRetries(t *testing.T) {
	is := is.New(t)
	f := newHedgingFixture(t, 4)
	first, second := f.dueHedge(t, f.request(true))
	is.True(second != nil)
	second.Done(proxy.Canceled, 0, proxy.Load{})
	first.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	for f.TakeRetry(f.request(true)) {
	}
	_, second = f.dueHedge(t, f.request(true))
	is.True(second == nil)
	is.Equal(f.refused(hedge.Shortage), int64(1))
	f.clock.Advance(hedge.Hold)
	s := f.service("s")
	s.retryBudget.balance = 1 + hedgeRetryReserve - 0.5
	s.retryBudget.updatedAt = f.clock.SinceBoot()
	is.Equal(s.TakeHedge(f.clock.SinceBoot()), false)
	s.retryBudget.balance = 1 + hedgeRetryReserve
	is.Equal(s.TakeHedge(f.clock.SinceBoot()), true)
}

// Guards against hedges while requests wait or were refused because the targets are full.
func TestNoHedgesWhileCapacityIsShort(t *testing.T) {
	is := is.New(t)
	f := newHedgingFixture(t, 4)
	r := f.request(true)
	r.Objective = 0 // it may not wait
	var open []proxy.Attempt
	for {
		a, err := f.Acquire(r, nil)
		if err != nil {
			break
		}
		open = append(open, a)
	}
	for _, a := range open[1:] {
		a.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	}
	is.True(f.startHedge(f.request(true), open[0], 400*time.Millisecond) == nil)
	is.Equal(f.refused(hedge.Shortage), int64(1))

	f = newHedgingFixture(t, 4)
	for range 3 { // of the four slots that e1 prefers
		_, err := f.Acquire(f.request(false), nil)
		is.NoErr(err)
	}
	first, second := f.dueHedge(t, f.request(true))
	is.True(first != nil && second == nil)
	is.Equal(f.refused(hedge.Busy), int64(1))
}

// Guards against a hedge to a target that must not have one, and to the zone of the first
// attempt when it is the cause.
func TestHedgeTargets(t *testing.T) {
	full := func(f *fixture, t *target) { t.fullUntil = f.clock.SinceBoot() + time.Minute }
	for name, change := range map[string]func(f *fixture, t *target){
		"draining":  func(_ *fixture, t *target) { t.entry.Draining = true },
		"leaving":   func(_ *fixture, t *target) { t.leaving.announced = true },
		"paused":    func(f *fixture, t *target) { t.pausedUntil = f.clock.SinceBoot() + time.Minute },
		"limited":   func(_ *fixture, t *target) { t.limit.limited, t.limit.perSecond = true, 1000 },
		"warming":   func(f *fixture, t *target) { t.entry.WarmUntil = f.clock.SinceBoot() + time.Minute },
		"full":      full,
		"suspected": func(_ *fixture, t *target) { t.own.failProb = 0.9 },
		"reported":  func(_ *fixture, t *target) { t.peer.failProb = 0.9 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newHedgingFixture(t, 2) // a0, a1, b0, b1
			r := f.request(true)
			first, err := f.Acquire(r, nil)
			is.NoErr(err)
			s := f.service("s")
			for id, target := range s.targets {
				if id == "b0" || id == "b1" {
					full(f, target)
				}
				if id == "a1" {
					change(f, target)
				}
			}
			is.Equal(first.Target(), "a0")
			is.True(f.startHedge(r, first, 400*time.Millisecond) == nil)
			is.Equal(f.refused(hedge.NoTarget), int64(1))
		})
	}
}

// Guards against a hedge in the zone that makes its requests slow, and against hedges while the
// targets are slow everywhere.
func TestSlowZoneIsLeft(t *testing.T) {
	is := is.New(t)
	f := newHedgingFixture(t, 8)
	now := f.clock.SinceBoot()
	r := f.request(true)
	s := f.service("s")
	open := func(zone string, since time.Duration, count int) {
		for id, target := range s.targets {
			if id[:1] == zone && id != "a0" && count > 0 {
				target.openStarts = append(target.openStarts, now-since)
				count--
			}
		}
	}
	first := f.newAttempt(s, s.targets["a0"], r, nil, now-400*time.Millisecond)
	open("a", 400*time.Millisecond, 3)
	second := f.startHedge(r, first, 400*time.Millisecond)
	is.True(second != nil)
	is.Equal(second.Target()[:1], "b")
	open("b", 400*time.Millisecond, 5)
	is.True(f.startHedge(r, first, 400*time.Millisecond) == nil)
	is.Equal(f.refused(hedge.AllSlow), int64(1))
}

// Guards against a slot that stays taken after a hedge, and against a slow first attempt that
// counts as a failure of its target.
func TestHedgeReleasesItsSlot(t *testing.T) {
	is := is.New(t)
	f := newHedgingFixture(t, 4)
	first, second := f.dueHedge(t, f.request(true))
	is.True(second != nil)
	s := f.service("s")
	slow := s.targets[first.Target()]
	is.Equal(len(slow.openStarts), 1)
	is.Equal(len(s.targets[second.Target()].openStarts), 1)
	failProb, slowness := slow.own.failProb, slow.own.slowness
	first.(proxy.AttemptWithAge).ObserveSlow(500 * time.Millisecond)
	first.Done(proxy.Canceled, 500*time.Millisecond, proxy.Load{})
	second.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	is.Equal(len(slow.openStarts)+len(s.targets[second.Target()].openStarts), 0)
	is.True(slow.own.slowness > slowness)
	is.True(slow.own.failProb <= max(failProb, failProbPrior))
	f.HedgeEnded(f.request(true), true, 500*time.Millisecond)
	state := f.Hedges()["s"]
	is.Equal(state.Sent, int64(1))
	is.Equal(state.Won, int64(1))
	is.Equal(state.WastedSeconds, 0.5)
	is.True(state.DelaysMS[""] > 0)
}
