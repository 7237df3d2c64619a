package balance

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// evacuate makes the given zones the evacuated ones.
func (r *fixture) evacuate(zones ...string) {
	c := *r.viewer.view.Config.Config
	c.EvacuatedZones = map[string]config.Evacuation{}
	for _, zone := range zones {
		c.EvacuatedZones[zone] = config.Evacuation{}
	}
	view := *r.viewer.view
	view.Config = config.NewSnapshot(view.Config.Version+1, &c)
	r.viewer.view = &view
}

// Guards against a request to an evacuated zone: by the ordinary choice, as a trial, as a
// retry, or one that was assigned before the order and is written after it.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	is := is.New(t)
	r := newFixture(4, 1, 100, 1) // t0 and t2 in zone a, t1 and t3 in zone b
	r.set(trial, active, active, active)
	before, err := r.acquire(false, "t1", "t3")
	is.NoErr(err)
	is.Equal(before.Target(), "t2")
	is.True(!proxy.IsWithdrawn(before))
	r.evacuate("a")
	is.True(proxy.IsWithdrawn(before))
	before.Done(proxy.Canceled, 0, proxy.Load{})
	for n := range 200 {
		tried := [][]string{nil, {"t1"}, {"t3", "t0"}}[n%3]
		a, err := r.acquire(true, tried...)
		is.NoErr(err)
		is.True(a.Target() == "t1" || a.Target() == "t3")
		is.True(!proxy.IsWithdrawn(a))
		a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
		r.clock.Advance(trialIntervalPerSlot)
	}
	r.evacuate("a", "b")
	_, err = r.acquire(true)
	var refused *refusal.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Kind, refusal.NoTarget)
	is.Equal(refused.Outcome, refusal.OutcomeNotRun)
	is.Equal(refused.RetryAfter, evacuatedRetryAfter)
	r.evacuate()
	used := map[string]bool{}
	for n := range 200 {
		a, err := r.acquire(n%2 == 0)
		is.NoErr(err)
		used[a.Target()] = true
		a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
		r.clock.Advance(trialIntervalPerSlot)
	}
	is.True(used["t0"] && used["t2"]) // the trial, and the target of the own zone
}
