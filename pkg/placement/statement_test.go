package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// say makes a target state something in the response to one request.
func (f *fixture) say(t *testing.T, target string, load proxy.Load) {
	t.Helper()
	for range 200 {
		a, err := f.Acquire(f.request(true), nil)
		if err != nil {
			t.Fatal(err)
		}
		f.clock.Advance(50 * time.Millisecond)
		if a.Target() == target {
			a.Done(proxy.Answered, 50*time.Millisecond, load)
			return
		}
		a.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	}
	t.Fatalf("%s got no request", target)
}

// waiting returns the number of requests that wait for a target.
func (f *fixture) waiting() int {
	s := f.service("s")
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.queue)
}

// targetsOf returns the targets that requests, hedges and retries go to.
func (f *fixture) targetsOf(t *testing.T, requests int) (used []string) {
	t.Helper()
	for range requests {
		a, err := f.Acquire(f.request(true), nil)
		if err != nil {
			t.Fatal(err)
		}
		used = append(used, a.Target())
		if hedge := f.AcquireNow(f.request(true), []string{a.Target()}); hedge != nil {
			used = append(used, hedge.Target())
			hedge.Done(proxy.Answered, 0, proxy.Load{})
		}
		f.clock.Advance(50 * time.Millisecond)
		a.Done(proxy.Answered, 50*time.Millisecond, proxy.Load{})
	}
	return used
}

// Guards against a leaving that the listing or an older response takes back.
func TestAnnouncedLeavingEndsRequests(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	earlier, err := f.Acquire(f.request(false), []string{"a1", "b0", "b1"})
	is.NoErr(err)
	is.Equal(earlier.Target(), "a0")
	f.say(t, "a0", proxy.Load{Draining: true})
	earlier.Done(proxy.Answered, 0, proxy.Load{})
	is.True(!slices.Contains(f.targetsOf(t, 200), "a0"))
	f.catalogue.Version++ // the platform lists the same entry once more
	is.True(!slices.Contains(f.targetsOf(t, 200), "a0"))
}

// Guards against a request that has waited and goes to a target that leaves meanwhile.
func TestWaitingRequestAvoidsLeavingTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	open := map[string]proxy.Attempt{}
	for range 6 {
		a, err := f.Acquire(f.request(false), nil)
		is.NoErr(err)
		open[a.Target()] = a
	}
	waiting := make(chan proxy.Attempt)
	r := f.request(false)
	r.Objective, r.Deadline = time.Minute, f.clock.SinceBoot()+time.Minute
	go func() {
		a, _ := f.Acquire(r, nil)
		waiting <- a
	}()
	for deadline := time.Now().Add(5 * time.Second); f.waiting() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	open["a0"].Done(proxy.Answered, 0, proxy.Load{Draining: true})
	open["b0"].Done(proxy.Answered, 0, proxy.Load{})
	is.Equal((<-waiting).Target(), "b0")
}

// Guards against a leaving that a lapse ends, or that a new run does not.
func TestLeavingEndsWithTheRun(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	entry := f.catalogue.Services["s"][0]
	f.say(t, entry.ID, proxy.Load{Draining: true})
	others := f.catalogue.Services["s"][1:]
	list := func(entries []*discovery.Entry) {
		f.catalogue = &discovery.Catalogue{Version: f.catalogue.Version + 1, Services: map[string][]*discovery.Entry{"s": entries}}
	}
	list(others)
	is.True(!slices.Contains(f.targetsOf(t, 20), entry.ID))
	list(append([]*discovery.Entry{entry}, others...))
	is.True(!slices.Contains(f.targetsOf(t, 100), entry.ID)) // the same run, after its entry had lapsed
	restarted := *entry
	restarted.Started++
	list(append([]*discovery.Entry{&restarted}, others...))
	is.True(slices.Contains(f.targetsOf(t, 100), entry.ID))
}

// Guards against leavings told to nobody, of another run, or in heartbeats that grow.
func TestLeavingIsTold(t *testing.T) {
	is := is.New(t)
	f, teller := newFixture(2), newFixture(40)
	entry := teller.catalogue.Services["s"][0]
	teller.say(t, entry.ID, proxy.Load{Draining: true})
	told := &peerpb.Heartbeat{}
	teller.Fill(told, 0)
	is.Equal(len(told.LeavingTargets), 1)

	f.targetsOf(t, 1)
	otherRun := &peerpb.Heartbeat{LeavingTargets: []*peerpb.LeavingTarget{{Target: entry.ID, Address: entry.Address, Started: entry.Started + 1}}}
	f.Merge("e2", otherRun)
	is.True(slices.Contains(f.targetsOf(t, 100), entry.ID))
	f.Merge("e2", told)
	is.True(!slices.Contains(f.targetsOf(t, 100), entry.ID))
	passedOn := &peerpb.Heartbeat{}
	f.Fill(passedOn, 0)
	is.Equal(len(passedOn.LeavingTargets), 0) // only who heard it from the target tells it

	for i := range 40 {
		teller.service("s").targets[fmt.Sprintf("b%d", i)].leaving = leaving{announced: true, ownAt: teller.clock.SinceBoot()}
	}
	teller.Fill(passedOn, 0)
	is.Equal(len(passedOn.LeavingTargets), maxLeavingReported)
}

// Guards against connections that stay open to a target that leaves, whoever says so.
func TestConnectionsToLeavingTargetsAreClosed(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	var closed []string
	f.OnUnused = func(address string) { closed = append(closed, address) }
	f.say(t, "a0", proxy.Load{Draining: true})
	is.Equal(closed, []string{"10.0.0.0:80"})
	listed := *f.catalogue.Services["s"][1]
	listed.Draining = true
	f.catalogue.Services["s"][1] = &listed
	f.catalogue.Version++
	f.targetsOf(t, 2)
	is.Equal(closed, []string{"10.0.0.0:80", "10.0.0.1:80"})
}

// Guards against requests in a pause, and against pauses of a wrong length.
func TestPauseEndsRequestsForItsTime(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.say(t, "a0", proxy.Load{Pause: proxy.Pause{Wait: 30 * time.Second}})
	until := f.clock.SinceBoot() + 30*time.Second
	s := f.service("s")
	s.mu.Lock()
	f.observePause(s, s.targets["a0"], proxy.Pause{Wait: time.Second}, f.clock.SinceBoot())
	f.observePause(s, s.targets["a0"], proxy.Pause{Unreadable: "soon"}, f.clock.SinceBoot())
	s.mu.Unlock()
	for f.clock.SinceBoot() < until {
		is.True(!slices.Contains(f.targetsOf(t, 1), "a0"))
	}
	is.True(slices.Contains(f.targetsOf(t, 100), "a0"))
}

// Guards against a pause that holds for other instances or the next run.
func TestPauseHoldsForOneInstanceAndRun(t *testing.T) {
	is := is.New(t)
	f, other := newFixture(2), newFixture(2)
	f.say(t, "a0", proxy.Load{Pause: proxy.Pause{Wait: time.Minute}})
	told := &peerpb.Heartbeat{}
	f.Fill(told, 0)
	other.targetsOf(t, 1)
	other.Merge("e2", told)
	is.True(slices.Contains(other.targetsOf(t, 100), "a0"))
	restarted := *f.catalogue.Services["s"][0]
	restarted.Started++
	f.catalogue.Services["s"][0] = &restarted
	f.catalogue.Version++
	is.True(slices.Contains(f.targetsOf(t, 100), "a0"))
}

// Guards against requests to a leaving target that a restored store lists as earlier.
func TestEarlierRunInheritsStatements(t *testing.T) {
	for name, load := range map[string]proxy.Load{"leaving": {Draining: true}, "pause": {Pause: proxy.Pause{Wait: time.Minute}}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(2)
			f.catalogue.Services["s"][0].Started = 2
			f.say(t, "a0", load)
			earlier := *f.catalogue.Services["s"][0]
			earlier.Started = 1
			f.catalogue.Services["s"][0] = &earlier
			f.catalogue.Version++
			is.True(!slices.Contains(f.targetsOf(t, 100), "a0"))
			later := earlier
			later.Started = 3
			f.catalogue.Services["s"][0] = &later
			f.catalogue.Version++
			is.True(slices.Contains(f.targetsOf(t, 100), "a0"))
		})
	}
}
