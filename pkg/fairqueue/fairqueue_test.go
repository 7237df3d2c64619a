package fairqueue

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

type viewer struct{ view control.View }

func (v *viewer) View() *control.View { return &v.view }

func newQueue(slots int, options Options) *Queue {
	c := config.Empty()
	c.Batches["big"] = config.Batch{Share: 3}
	c.Batches["small"] = config.Batch{Share: 1}
	c.Services["s"] = config.Service{Targets: map[string]config.Target{"t": {Slots: slots}, "old": {Slots: 50, Leaving: true}}}
	return New(&viewer{control.View{Config: config.NewSnapshot(1, c)}}, clock.System{}, options)
}

func request(batch, team string) proxy.Request {
	return proxy.Request{Batch: batch, Team: team, Service: "s", Deadline: clock.System{}.SinceBoot() + 5*time.Second}
}

// Guards against a batch or a team that is admitted at the expense of others while
// all of them wait. Batches with shares 3 and 1 must be admitted in that ratio,
// and the teams of a batch equally, however many requests one team sends.
func TestPlacesFollowShares(t *testing.T) {
	is := is.New(t)
	s := newService(1, 1)
	_, _, admitted := s.enter("big", 3, "x", 1000)
	is.True(admitted)
	waiters := map[*waiter]string{}
	for name, n := range map[string]int{"big/heavy": 200, "big/light": 60, "small/only": 100} {
		batch, team, share := name[:3], name, 3.0
		if name == "small/only" {
			batch, share = "small", 1
		}
		for range n {
			w, _, _ := s.enter(batch, share, team, 1000)
			waiters[w] = name
		}
	}
	served := map[string]int{}
	for range 120 {
		s.leave()
		for w, name := range waiters {
			select {
			case <-w.admitted:
				served[name]++
				delete(waiters, w)
			default:
			}
		}
	}
	is.True(served["small/only"] >= 29 && served["small/only"] <= 31)
	is.True(served["big/light"] >= 44 && served["big/heavy"] >= 44)
}

// Guards against a full queue that refuses the requests of teams with few waiting
// requests.
func TestFullQueueEvictsTheHeaviestTeam(t *testing.T) {
	is := is.New(t)
	s := newService(1, 1)
	s.enter("big", 3, "heavy", 4)
	for range 4 {
		w, evicted, _ := s.enter("big", 3, "heavy", 4)
		is.True(w != nil && evicted == nil)
	}
	w, evicted, _ := s.enter("big", 3, "heavy", 4)
	is.True(w == nil && evicted == nil)
	w, evicted, _ = s.enter("small", 1, "light", 4)
	is.True(w != nil && evicted != nil)
	is.Equal(s.state().Waiting, 4)
}

// Guards against running requests that are counted wrongly, so that the limit is
// exceeded or never reached again, when waits end by deadline, cancellation and
// admission at the same time.
func TestPlacesAreNeitherLostNorDoubled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(rt, "slots")
		n := rapid.IntRange(1, 30).Draw(rt, "requests")
		waits := rapid.SliceOfN(rapid.IntRange(0, 2000), n, n).Draw(rt, "waits")
		q := newQueue(slots, Options{MaxWaiting: 10})
		running := make(chan struct{}, slots)
		ended := make(chan error, n)
		for i := range n {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(waits[i])*time.Microsecond)
				defer cancel()
				leave, err := q.Enter(ctx, request([]string{"big", "small"}[i%2], "t"))
				if err == nil {
					select {
					case running <- struct{}{}:
						time.Sleep(200 * time.Microsecond)
						<-running
					default:
						err = errors.New("more requests run than the limit permits")
					}
					leave()
				}
				ended <- err
			}()
		}
		for range n {
			var r *refusal.Refusal
			if err := <-ended; err != nil && (!errors.As(err, &r) || r.Code != refusal.Overloaded.Code || r.RetryAfter <= 0) {
				rt.Fatal(err)
			}
		}
		if state := q.Dump()["s"]; state.Running != 0 || state.Waiting != 0 {
			rt.Fatalf("after the last request: %+v", state)
		}
	})
}

// Guards against a limit that does not fall on overload, falls to the minimum on
// one burst of shed responses, or does not recover.
func TestLimitFollowsResults(t *testing.T) {
	is := is.New(t)
	s := newService(1, 10)
	for range 50 {
		s.report(proxy.Shed, time.Millisecond, time.Second)
	}
	is.Equal(s.limit, 8.0)
	for i := range 50 {
		s.report(proxy.TimedOut, time.Second, time.Second+time.Duration(i+1)*minShrinkInterval)
	}
	is.Equal(s.limit, 1.0)
	for range 1000 {
		s.report(proxy.Answered, 10*time.Millisecond, time.Minute)
	}
	is.Equal(s.limit, 1.0) // The limit is not fully used.
	s.running = 100
	for range 10000 {
		s.report(proxy.Answered, 10*time.Millisecond, time.Minute)
	}
	is.Equal(s.limit, 40.0)
}

// BenchmarkEnter measures an admission without contention.
func BenchmarkEnter(b *testing.B) {
	q, r := newQueue(100, Options{}), request("big", "t")
	b.ReportAllocs()
	for b.Loop() {
		leave, err := q.Enter(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		leave()
	}
}

// Guards against a request that waits until too little time is left for its
// answer: it would use a slot of an overloaded target and fail anyway.
func TestRequestsLeaveWhileAnAnswerIsPossible(t *testing.T) {
	is := is.New(t)
	const typicalLatency = 200 * time.Millisecond
	q := newQueue(1, Options{})
	q.Report("s", proxy.Answered, typicalLatency)
	leave, err := q.Enter(context.Background(), request("big", "a"))
	is.NoErr(err)
	r := request("big", "b")
	now := clock.System{}.SinceBoot()
	r.Deadline = now + typicalLatency + 50*time.Millisecond
	_, err = q.Enter(context.Background(), r)
	var refused *refusal.Refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.Code, refusal.Overloaded.Code)
	is.True(clock.System{}.SinceBoot() <= r.Deadline) // refused before its deadline
	leave()
}
