package entry

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/fairqueue"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// hedgeFixture is a hedger of service s with targets a0 to a3 in zone a and b0 to b3 in zone b.
// It implements the parts that the hedger asks.
type hedgeFixture struct {
	*hedger
	counting  *countingBalancer
	clock     *clock.Manual
	view      *control.View
	standing  *health.Standings
	state     fairqueue.State
	retryLeft int
	// excluded is what the last search for a target excluded; acquire is its result.
	excluded []string
	acquire  func() (proxy.Attempt, error)
}

func (f *hedgeFixture) View() *control.View { return f.view }

func (f *hedgeFixture) Acquire(_ proxy.Request, tried []string) (proxy.Attempt, error) {
	f.excluded = tried
	return f.acquire()
}

func (f *hedgeFixture) TakeRetry(proxy.Request) bool {
	f.retryLeft--
	return f.retryLeft >= 0
}

// stubAttempt is an attempt at the target of its name.
type stubAttempt struct {
	target  string
	results *[]proxy.Result
}

func (a stubAttempt) Target() string  { return a.target }
func (a stubAttempt) Address() string { return "10.0.0.1:80" }
func (a stubAttempt) Done(result proxy.Result, _ time.Duration, _ proxy.Load) {
	*a.results = append(*a.results, result)
}

// newHedgeFixture knows that one response in twenty takes 400 ms and the others 50 ms.
func newHedgeFixture() *hedgeFixture {
	f := &hedgeFixture{clock: clock.NewManual(time.Unix(0, 0)), retryLeft: 100, standing: &health.Standings{Targets: map[string]health.Standing{}}}
	c := config.Empty()
	targets := map[string]config.Target{}
	for _, zone := range []string{"a", "b"} {
		for i := range 4 {
			name := fmt.Sprint(zone, i)
			targets[name] = config.Target{Zone: zone, Slots: 2}
			f.standing.Targets[name] = health.Standing{State: peerpb.TargetState_TARGET_STATE_ACTIVE}
		}
	}
	c.Services["s"] = config.Service{Targets: targets}
	f.view = &control.View{Config: config.NewSnapshot(1, c)}
	f.state.Limit = 16
	f.acquire = func() (proxy.Attempt, error) { return stubAttempt{"b0", new([]proxy.Result)}, nil }
	f.counting = &countingBalancer{Balancer: f, counters: newCounters()}
	f.hedger = &hedger{
		clock: f.clock, viewer: f, balancer: f.counting, retries: f.counting.takeRetry,
		standings: func(string) *health.Standings { return f.standing }, queue: func(string) fairqueue.State { return f.state },
	}
	f.counting.hedges = f.hedger
	f.clock.Advance(time.Hour)
	for i := range 200 {
		latency := 50 * time.Millisecond
		if i%20 == 0 {
			latency = 400 * time.Millisecond
		}
		a, _ := f.counting.Acquire(f.request(), nil)
		a.Done(proxy.Answered, latency, proxy.Load{})
		f.ObserveFirst(f.request(), latency, 100, false)
	}
	f.HedgeDelay(f.request(), time.Second, time.Second)
	return f
}

func (f *hedgeFixture) request() proxy.Request {
	return proxy.Request{Service: "s", Route: "r", Idempotent: true, HedgePercent: 20, Deadline: time.Hour + time.Second}
}

// hedge returns the hedge of a request whose first attempt at a0 is 100 ms old, or nil.
func (f *hedgeFixture) hedge() proxy.Attempt {
	found := f.StartHedge(f.request(), []string{"a0"}, 100*time.Millisecond, time.Second)
	if found == nil {
		return nil
	}
	return <-found
}

func (f *hedgeFixture) refused(r hedge.Refusal) int64 { return f.States()["s"].Refused[r.String()] }

// Guards against hedges, or a state of hedging, of a route that does not permit any.
func TestHedgesNeedALimit(t *testing.T) {
	is := is.New(t)
	f := newHedgeFixture()
	is.Equal(f.HedgeDelay(f.request(), time.Second, time.Second) > 0, true)
	is.True(f.hedge() != nil)
	r := f.request()
	r.HedgePercent, r.Service = 0, "other"
	a, err := f.counting.Acquire(r, nil)
	is.NoErr(err)
	a.Done(proxy.Answered, 0, proxy.Load{})
	f.ObserveFirst(r, time.Second, 1, false)
	is.Equal(f.HedgeDelay(r, time.Second, time.Second), time.Duration(0))
	is.True(f.StartHedge(r, []string{"a0"}, time.Second, time.Second) == nil)
	is.Equal(len(f.States()), 1)
}

// Guards against hedges beyond the limit, and against hedges while requests wait or were
// refused, while a retry was refused, and while the targets are busy or all slow.
func TestHedgesOfEntryYield(t *testing.T) {
	is := is.New(t)
	f := newHedgeFixture()
	f.state.Waiting = 1
	is.True(f.hedge() == nil)
	f.state.Waiting = 0
	is.True(f.hedge() == nil) // requests waited lately
	is.Equal(f.refused(hedge.Shortage), int64(2))
	f.clock.Advance(hedge.Hold)

	f.acquire = func() (proxy.Attempt, error) { return nil, refusal.New(refusal.Overloaded, nil) }
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.NoTarget), int64(1))
	f.acquire = newHedgeFixture().acquire
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.Shortage), int64(3))
	f.clock.Advance(hedge.Hold)

	f.retryLeft = 0
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.NoRetry), int64(1))
	is.True(!f.counting.TakeRetry(f.request()))
	f.retryLeft = 100
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.Shortage), int64(4))
	f.clock.Advance(hedge.Hold)

	f.state.Running = 15
	is.True(f.hedge() == nil)
	f.state.Running = 0
	f.standing.Targets["a1"] = health.Standing{State: peerpb.TargetState_TARGET_STATE_ACTIVE, Load: 15}
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.Busy), int64(2))
	f.standing.Targets["a1"] = health.Standing{State: peerpb.TargetState_TARGET_STATE_ACTIVE}

	sent := 0
	for f.hedge() != nil {
		sent++
	}
	is.Equal(sent, 4) // what an account saves
	is.Equal(f.refused(hedge.NoAllowance), int64(1))
}

// Guards against the target of a hedge that stays assigned when the limit is used up meanwhile.
func TestRefusedHedgeReleasesItsTarget(t *testing.T) {
	is := is.New(t)
	f := newHedgeFixture()
	f.retryLeft = 0
	var results []proxy.Result
	f.acquire = func() (proxy.Attempt, error) { return stubAttempt{"b0", &results}, nil }
	is.True(f.hedge() == nil)
	is.Equal(results, []proxy.Result{proxy.Canceled})
	is.Equal(len(f.services["s"].open), 0)
}

// Guards against a hedge at a target that is not active, leaves or warms up, and in the zone
// that makes requests slow.
func TestHedgeTargetsOfEntry(t *testing.T) {
	is := is.New(t)
	f := newHedgeFixture()
	now := f.clock.SinceBoot()
	for name, state := range map[string]peerpb.TargetState{
		"a1": peerpb.TargetState_TARGET_STATE_EJECTED, "a2": peerpb.TargetState_TARGET_STATE_TRIAL,
		"a3": peerpb.TargetState_TARGET_STATE_DRAINING, "b1": peerpb.TargetState_TARGET_STATE_COLD,
	} {
		f.standing.Targets[name] = health.Standing{State: state}
	}
	f.standing.Targets["b2"] = health.Standing{State: peerpb.TargetState_TARGET_STATE_ACTIVE, Warming: true, Since: now - time.Second}
	targets := f.view.Config.Config.Services["s"].Targets
	leaving := targets["b3"]
	leaving.Leaving = true
	targets["b3"] = leaving
	is.True(f.hedge() != nil)
	slices.Sort(f.excluded)
	is.Equal(f.excluded, []string{"a0", "a1", "a2", "a3", "b1", "b2", "b3"})
	f.standing.Targets["b0"] = health.Standing{State: peerpb.TargetState_TARGET_STATE_EJECTED}
	is.True(f.hedge() == nil)
	is.Equal(f.refused(hedge.NoTarget), int64(1))

	f = newHedgeFixture()
	var open []proxy.Attempt
	for _, target := range []string{"a1", "a2", "a3", "a1"} {
		f.acquire = func() (proxy.Attempt, error) { return stubAttempt{target, new([]proxy.Result)}, nil }
		a, err := f.counting.Acquire(f.request(), nil)
		is.NoErr(err)
		open = append(open, a)
	}
	f.clock.Advance(200 * time.Millisecond)
	f.acquire = newHedgeFixture().acquire
	is.True(f.hedge() != nil)
	slices.Sort(f.excluded)
	is.Equal(f.excluded, []string{"a0", "a1", "a2", "a3"})
	for _, a := range open {
		a.Done(proxy.Answered, 0, proxy.Load{})
	}
	is.True(f.hedge() != nil)
	is.Equal(f.excluded, []string{"a0"})
}

// Guards against hedge_percent of a route that has no effect, or none without a restart, and
// against a hedge that the dump does not show.
func TestHedgePercentIsPatched(t *testing.T) {
	f := start(t, nil)
	second := targetsim.New(targetsim.Options{})
	f.is.NoErr(second.Start())
	t.Cleanup(func() { _ = second.Close() })
	key, stored := config.GenerateKey("k", "school")
	c := f.configDocument(map[string]config.Key{"k": stored})
	service := c.Services["portal"]
	service.Targets["p2"] = config.Target{Address: second.Addr(), Zone: "b", Slots: 2, MaxConnections: 100}
	f.patch("0", c)
	caller := func() int {
		status, _ := f.send(http.MethodGet, f.settings.CallerAddress, "/preview", "", map[string]string{"X-Arbutus-Key": key})
		return status
	}
	f.waitUntil(func() bool { return caller() == http.StatusOK })
	hedges := func() string {
		_, dump := f.sendOperator(http.MethodGet, api.DumpPath, "", nil)
		return dump
	}
	f.is.True(!strings.Contains(hedges(), `"sent"`))
	route := c.Routes["preview"]
	route.HedgePercent = 20
	c.Routes["preview"] = route
	f.patch("1", c)
	f.waitUntil(func() bool {
		caller()
		return strings.Contains(hedges(), `"sent"`)
	})
}
