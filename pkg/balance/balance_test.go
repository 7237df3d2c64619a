package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

type viewer struct{ view *control.View }

func (v *viewer) View() *control.View { return v.view }

type standings struct{ current *health.Standings }

func (s *standings) Standings(string) *health.Standings { return s.current }

type fixture struct {
	clock     *clock.Manual
	viewer    *viewer
	standings *standings
	balancer  *Balancer
}

func newFixture(targets, instances, connections int, seed uint64) *fixture {
	c := config.Empty()
	svc := config.Service{Targets: map[string]config.Target{}}
	for i := range targets {
		svc.Targets[fmt.Sprintf("t%d", i)] = config.Target{
			Slots: 2, MaxConnections: connections, Zone: string(rune('a' + i%2)),
		}
	}
	c.Services["s"] = svc
	c.Routes["r"] = config.Route{Service: "s"}
	m := &membership.Membership{Version: 1, Members: make([]membership.Member, instances)}
	r := &fixture{
		clock: clock.NewManual(time.Unix(0, 0)), standings: &standings{},
		viewer: &viewer{&control.View{
			Config: config.NewSnapshot(1, c), Membership: m, Self: membership.Member{Zone: "a"},
		}},
	}
	r.balancer = New(r.clock, r.viewer, health.NewCollector(r.clock), r.standings, seed)
	return r
}

func (r *fixture) set(states ...peerpb.TargetState) {
	next := &health.Standings{Targets: map[string]health.Standing{}}
	for i, state := range states {
		next.Targets[fmt.Sprintf("t%d", i)] = health.Standing{State: state, LoadAt: r.clock.SinceBoot()}
	}
	r.standings.current = next
}

func (r *fixture) acquire(idempotent bool, tried ...string) (proxy.Attempt, error) {
	return r.balancer.Acquire(proxy.Request{Route: "r", Service: "s", Idempotent: idempotent}, tried)
}

const (
	active   = peerpb.TargetState_TARGET_STATE_ACTIVE
	ejected  = peerpb.TargetState_TARGET_STATE_EJECTED
	trial    = peerpb.TargetState_TARGET_STATE_TRIAL
	draining = peerpb.TargetState_TARGET_STATE_DRAINING
)

// Guards against requests to draining, leaving, ejected or already tried targets,
// against more than one request at a time to a target on trial, and against
// non-idempotent requests to it, for any sequence of verdicts, requests and drain
// signals.
func TestForbiddenTargetsAreNeverChosen(t *testing.T) {
	chosen, trials := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		r := newFixture(n, 3, 30, rapid.Uint64().Draw(t, "seed"))
		states := make([]peerpb.TargetState, n)
		drained := map[string]bool{}
		atTrial := map[string]int{}
		var open []proxy.Attempt
		leaving := rapid.IntRange(0, n-1).Draw(t, "leaving")
		name := fmt.Sprintf("t%d", leaving)
		svc := r.viewer.view.Config.Config.Services["s"]
		gone := svc.Targets[name]
		gone.Leaving = true
		svc.Targets[name] = gone
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r.clock.Advance(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				for i := range states {
					states[i] = peerpb.TargetState(rapid.IntRange(0, 5).Draw(t, "state"))
				}
				r.set(states...)
			case 1:
				if len(open) > 0 {
					drain := rapid.Bool().Draw(t, "drain")
					a := open[0]
					open = open[1:]
					a.Done(proxy.Answered, time.Millisecond, proxy.Load{Draining: drain})
					drained[a.Target()] = drained[a.Target()] || drain
					atTrial[a.Target()] = 0
				}
			default:
				idempotent := rapid.Bool().Draw(t, "idempotent")
				var tried []string
				if rapid.Bool().Draw(t, "retry") {
					tried = []string{"t0", "t1"}
				}
				a, err := r.acquire(idempotent, tried...)
				if err != nil {
					continue
				}
				chosen++
				var i int
				_, _ = fmt.Sscanf(a.Target(), "t%d", &i)
				if i == leaving || drained[a.Target()] || states[i] == ejected || states[i] == draining ||
					len(tried) > 0 && i <= 1 {
					t.Fatalf("chose %s: state %v, tried %v, drained %v", a.Target(), states[i], tried, drained)
				}
				if states[i] == trial {
					trials++
					if !idempotent || atTrial[a.Target()] > 0 {
						t.Fatalf("trial target %s: idempotent %v, open %d", a.Target(), idempotent, atTrial[a.Target()])
					}
					atTrial[a.Target()]++
				}
				open = append(open, a)
			}
		}
	})
	if chosen == 0 || trials == 0 {
		t.Fatalf("chosen %d, trials %d: nothing was tested", chosen, trials)
	}
}

func refusalCode(err error) refusal.Code {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r.Code
	}
	return ""
}

// Guards against more connections to a target than the instance's fraction of its
// maximum, and against the wrong refusal.
func TestConnectionBudget(t *testing.T) {
	is := is.New(t)
	r := newFixture(1, 4, 8, 1)
	first, err := r.acquire(false)
	is.NoErr(err)
	_, err = r.acquire(false)
	is.NoErr(err)
	_, err = r.acquire(false)
	is.Equal(refusalCode(err), refusal.Overloaded.Code)
	first.Done(proxy.Answered, 0, proxy.Load{})
	first.Done(proxy.Answered, 0, proxy.Load{}) // a second call has no effect
	_, err = r.acquire(false)
	is.NoErr(err)
	_, err = r.acquire(false)
	is.Equal(refusalCode(err), refusal.Overloaded.Code)
	r.set(ejected)
	_, err = r.acquire(false)
	is.Equal(refusalCode(err), refusal.NoTarget.Code)
}

// Guards against retries beyond the budget, which would multiply the load, and
// against a budget that is lost or is never refilled.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	r := newFixture(2, 1, 100, 1)
	spent := 0
	for range 1000 {
		a, err := r.acquire(true)
		is.NoErr(err)
		a.Done(proxy.Broken, 0, proxy.Load{})
		for r.balancer.TakeRetry(proxy.Request{Route: "r"}) {
			spent++
		}
	}
	is.True(spent >= 100 && spent <= 111) // 10% of the requests plus the initial budget
	r.clock.Advance(10 * time.Second)
	is.True(r.balancer.TakeRetry(proxy.Request{Route: "r"}))
	is.True(!r.balancer.TakeRetry(proxy.Request{Route: "r"}))
}

// Guards against a preference for the instance's own zone that outweighs the load,
// and against full load for targets that shed requests or have just returned.
func TestWeights(t *testing.T) {
	is := is.New(t)
	r := newFixture(2, 1, 1000, 1)
	zone := map[string]int{}
	for range 100 {
		a, err := r.acquire(false)
		is.NoErr(err)
		zone[a.Target()]++
		a.Done(proxy.Answered, 0, proxy.Load{})
	}
	is.Equal(zone["t0"], 100)
	busy, err := r.acquire(false)
	is.NoErr(err)
	other, err := r.acquire(false)
	is.NoErr(err)
	is.True(busy.Target() != other.Target())
	busy.Done(proxy.Shed, 0, proxy.Load{})
	other.Done(proxy.Answered, 0, proxy.Load{})
	a, err := r.acquire(false)
	is.NoErr(err)
	is.Equal(a.Target(), "t1") // t0 shed
	a.Done(proxy.Answered, 0, proxy.Load{})
	r.clock.Advance(shedRecoveryTime)
	r.set(active, active)
	standing := r.standings.current.Targets["t0"]
	standing.Warming, standing.Since = true, r.clock.SinceBoot()
	r.standings.current.Targets["t0"] = standing
	a, err = r.acquire(false)
	is.NoErr(err)
	is.Equal(a.Target(), "t1") // t0 has just returned
}

// Guards against lost in-flight counts and a stale target list after a change
// of the configuration.
func TestConfigurationChange(t *testing.T) {
	is := is.New(t)
	r := newFixture(1, 1, 1, 1)
	a, err := r.acquire(false)
	is.NoErr(err)
	next := *r.viewer.view
	next.Config = config.NewSnapshot(2, next.Config.Config)
	r.viewer.view = &next
	_, err = r.acquire(false)
	is.Equal(refusalCode(err), refusal.Overloaded.Code)
	a.Done(proxy.Answered, 0, proxy.Load{})
	_, err = r.acquire(false)
	is.NoErr(err)
	is.Equal(len(r.balancer.Dump().Services["s"]), 1)
}

// Guards against a baseline policy that does not eject a failing target or does
// not use it again after the ejection.
func TestBaseline(t *testing.T) {
	is := is.New(t)
	r := newFixture(2, 1, 10, 1)
	b := NewBaseline(r.clock, r.viewer)
	fail := func() {
		a, err := b.Acquire(proxy.Request{Route: "r", Service: "s"}, []string{"t1"})
		is.NoErr(err)
		a.Done(proxy.TimedOut, time.Second, proxy.Load{})
	}
	for range baselineFailures {
		is.True(!b.Ejected("s", "t0"))
		fail()
	}
	is.True(b.Ejected("s", "t0"))
	r.clock.Advance(baselineEjection)
	is.True(!b.Ejected("s", "t0"))
}

// BenchmarkAcquireDone measures the cost of one request at a service with 24
// targets, the average at the expected scale.
func BenchmarkAcquireDone(b *testing.B) {
	r := newFixture(24, 1, 1000, 1)
	for b.Loop() {
		a, err := r.acquire(true)
		if err != nil {
			b.Fatal(err)
		}
		a.Done(proxy.Answered, time.Millisecond, proxy.Load{Known: true})
	}
}
