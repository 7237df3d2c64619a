package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// owns reports whether the instance owns the target, as of a request now.
func (f *fixture) owns(target string) bool {
	s := f.service("s")
	s.update(f.catalogue, f.view, f.clock.SinceBoot())
	return s.targets[target].preferred
}

// Guards against a target that stays with another instance for good after its owner could
// not connect to it, and against tests of the path that take many requests.
func TestOwnerTestsUnreachableTarget(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	cut, attempts := true, 0
	play := func(d time.Duration) {
		for end := f.clock.SinceBoot() + d; f.clock.SinceBoot() < end; {
			f.send(t, false, func(target string) proxy.Result {
				if target != "a0" {
					return proxy.Answered
				}
				attempts++
				if cut {
					return proxy.NotSent
				}
				return proxy.Answered
			})
		}
	}
	is.True(f.owns("a0"))
	play(2 * time.Second)
	is.True(!f.owns("a0"))
	h := &peerpb.Heartbeat{}
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(h.UnreachableTargets, []string{"a0"})
	before := attempts
	play(30 * time.Second)
	is.True(!f.owns("a0"))
	is.True(attempts-before >= 2 && attempts-before <= 6)
	cut = false
	play(2*minReachTestDelay + time.Second)
	is.True(f.owns("a0"))
}

// Guards against a target that nobody owns while its owner reports it as unreachable, and
// against one that stays with another instance after the reports have ended.
func TestReportedTargetGoesToTheNextInstance(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	report := func(targets ...string) {
		f.Merge("e2", &peerpb.Heartbeat{UnreachableTargets: targets})
	}
	is.True(!f.owns("a1"))
	report("a1")
	is.True(f.owns("a1") && !f.owns("a3"))
	f.clock.Advance(unreachableReportTime / 2)
	report("a1")
	f.clock.Advance(unreachableReportTime * 3 / 4)
	is.True(f.owns("a1"))
	report()
	is.True(!f.owns("a1"))
	report("a1")
	f.clock.Advance(unreachableReportTime)
	is.True(!f.owns("a1"))
}

// Guards against a request that tests the path to a target although the rate that the
// target named leaves none for this instance.
func TestPathIsNotTestedBeyondTheNamedRate(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.owns("a0") // lists the targets
	s := f.service("s")
	a0 := s.targets["a0"]
	now := f.clock.SinceBoot()
	s.observeReach(a0, proxy.NotSent, now)
	f.owns("a0") // assigns them again
	f.clock.Advance(2 * minReachTestDelay)
	now = f.clock.SinceBoot()
	a0.limit.state(limitStatement{limited: true, perSecond: 0.1, at: now}, now)
	is.Equal(s.reachTest(now), nil)
	a0.limit.state(limitStatement{at: now}, now)
	is.Equal(s.reachTest(now), a0)
}

// Guards against other instances that avoid healthy targets because one without a path to
// them reports its failures.
func TestInstanceWithoutPathsReportsNoFailures(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	lost := false
	f.PathsLost = func() bool { return lost }
	fail := func(string) proxy.Result { return proxy.TimedOut }
	report := func() *peerpb.Heartbeat {
		h := &peerpb.Heartbeat{}
		f.Fill(h, fleet.SameZonePeers)
		return h
	}
	for range 20 {
		f.send(t, true, fail)
	}
	is.True(len(report().Targets) > 0)
	lost = true
	f.ForgetPaths()
	for range 20 {
		f.send(t, true, fail)
	}
	h := report()
	is.Equal(len(h.Targets)+len(h.UnreachableTargets)+len(h.Outcomes), 0)
	lost = false
	f.ForgetPaths()
	for _, e := range report().Targets {
		is.True(e.FailingPermille < 1000*reportThreshold) // what was seen meanwhile is forgotten
	}
}

// Guards against refused callers there, and against targets that it owns and cannot reach.
func TestDetachedInstanceKeepsItsShares(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	f.view = &fleet.View{
		Version: 2, Self: f.view.Self, Serving: true, Peers: f.view.Peers, Detached: map[string]bool{"e1": true},
	}
	limited := 0
	for n := range 4 {
		name := []string{"a0", "a1", "a2", "a3"}[n]
		is.True(!f.owns(name))
		target := f.service("s").targets[name]
		target.limit.state(limitStatement{limited: true, perSecond: 40, at: f.clock.SinceBoot()}, f.clock.SinceBoot())
		if target.limit.rate() > 0 {
			limited++
		}
	}
	is.Equal(limited, 4)
	// Where no instance of the fleet connects to targets, they have owners nonetheless.
	f.view = &fleet.View{
		Version: 3, Self: f.view.Self, Serving: true, Peers: f.view.Peers, Detached: map[string]bool{"e1": true, "e2": true, "e3": true},
	}
	owned := 0
	for _, name := range []string{"a0", "a1", "a2", "b0", "b1", "b2"} {
		if f.owns(name) {
			owned++
		}
	}
	is.Equal(owned, 2)
}
