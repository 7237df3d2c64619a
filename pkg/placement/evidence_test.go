package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// Guards against evidence that never decays or is lost at once, since healthy targets
// begin to fail and failing ones recover.
func TestEvidenceAges(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	e := newEvidence(now)
	is.Equal(e.failProb, failProbPrior)
	for range 5 {
		e.addSuccess(now, now)
	}
	is.True(e.failProb < minFailProb+1e-9)
	e.addFailure(now)
	is.True(e.failProb < 0.5) // a single failure of a verified target
	e.addFailure(now)
	is.True(e.failProb > 0.9)
	e.decay(now + 4*time.Second)
	is.True(e.failProb > 0.6 && e.failProb < 0.85)
	e.decay(now + time.Hour)
	is.True(math.Abs(e.failProb-failProbPrior) < 1e-6)
	// A response is evidence on the target's state when the request began.
	slow := newEvidence(now)
	slow.addSuccess(now-2*time.Second, now)
	quick := newEvidence(now)
	quick.addSuccess(now, now)
	is.True(slow.failProb > quick.failProb+0.03)
	// Evidence from other instances decays to a probability of 0.
	h := newPeerEvidence(now)
	h.failProb = 0.9
	h.decay(now + time.Hour)
	is.True(h.failProb < 1e-6)
}

// Guards against non-idempotent requests at targets without any result while verified
// ones have free capacity: one unknown target in four failed its first request on the
// enlarged deployments (94 of 363 in scenario quiet-1).
func TestProvedTargetsFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	verified := f.send(t, false, answered)
	for range 10 {
		is.Equal(f.send(t, false, answered), verified)
	}
	// A request that has been open at the target for a while verifies it, too.
	f = newFixture(4)
	first, err := f.Acquire(f.request(false), nil)
	is.NoErr(err)
	early, err := f.Acquire(f.request(false), nil)
	is.NoErr(err)
	is.True(early.Target() != first.Target())
	early.Done(proxy.NotSent, 0, proxy.Load{})
	f.clock.Advance(minSurvivalAge)
	late, err := f.Acquire(f.request(false), nil)
	is.NoErr(err)
	is.Equal(late.Target(), first.Target())
}

// Guards against a new target that gets no requests because those of its service are
// not idempotent.
func TestNewTargetIsTried(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	f.send(t, false, answered)
	f.setTargets(4) // a2 belongs to this instance
	seen := map[string]bool{}
	for range 80 { // 4 s
		seen[f.send(t, false, answered)] = true
	}
	is.True(seen["a2"])
}

// Guards against an instance that, when its preferred targets are full, treats targets
// as unknown that another instance of the zone has verified.
func TestProofIsShared(t *testing.T) {
	is := is.New(t)
	f, owner := newFixture(4), newFixture(4)
	for range 3 {
		owner.send(t, false, answered)
	}
	sameZone, otherZone := &peerpb.Heartbeat{}, &peerpb.Heartbeat{}
	owner.Fill(sameZone, fleet.SameZonePeers)
	owner.Fill(otherZone, fleet.OtherZonePeers)
	is.Equal(len(sameZone.Targets), 1)
	is.Equal(len(otherZone.Targets), 0) // traffic between zones is expensive
	f.service("s").update(f.catalogue, f.view, f.clock.SinceBoot())
	f.Merge("e2", sameZone)
	now := f.clock.SinceBoot()
	verified := f.service("s").targets[sameZone.Targets[0].Target]
	is.True(verified.failProb(now) < 0.05)
	// Another instance's good result does not override failures seen by this one.
	verified.own.addFailure(now)
	verified.own.addFailure(now)
	verified.lastResultAt = now
	f.Merge("e2", sameZone)
	is.True(verified.failProb(now) > 0.5)
}
