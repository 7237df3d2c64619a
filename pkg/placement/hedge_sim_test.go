package placement

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// The figures of docs/design/plan-2026-12.md, part 5.
const (
	simTimeout    = 1200 * time.Millisecond // of the route
	simRetryDelay = 600 * time.Millisecond  // the time for an attempt, of two
	simPercent    = 3.0                     // limit on extra arrivals, percent
	simMean       = 311 * time.Millisecond  // of simBase, with the slow executions
	simTargets    = 12                      // per zone, with four slots each; two zones
	simDuration   = 60 * time.Second
	simWarmup     = 15 * time.Second // without hedges that count, while latencies are learnt
	simLinkDelay  = time.Millisecond
)

// hedgeSim is a fleet of four instances, whose balancers are those of arbutus-edge and hear
// nothing of each other, in front of targets in simulated time.
type hedgeSim struct {
	policy   string
	random   *rand.Rand
	clock    *simClock
	members  []*Balancer
	targets  map[string]*simHedgeTarget
	events   simEvents
	slow     func(t *simHedgeTarget, now time.Duration) float64
	chance   float64 // of an execution that takes 3 to 7 times as long
	heavy    bool    // heavy-tailed executions
	stalls   bool
	latency  map[bool][]time.Duration // of idempotent requests and of others
	total    int                      // requests
	requests int                      // requests that count
	arrivals int
	refused  int
	busy     time.Duration
}

// simClock is the clock of the balancers, which the simulation sets.
type simClock struct {
	*clock.Manual
	now time.Duration
}

// SinceBoot returns the simulated time.
func (c *simClock) SinceBoot() time.Duration { return c.now }

type simHedgeTarget struct {
	entry   *discovery.Entry
	index   int
	running int
	queue   []*simRun
}

// simRun is one attempt of a request.
type simRun struct {
	request  *hedgeSimRequest
	attempt  proxy.Attempt
	target   *simHedgeTarget
	arrived  time.Duration
	began    time.Duration
	started  bool
	ended    bool // it no longer takes a slot
	isHedge  bool
	tiedWith *simRun
}

type hedgeSimRequest struct {
	r       proxy.Request
	balance *Balancer
	began   time.Duration
	runs    []*simRun
	done    bool
}

type simEvent struct {
	at  time.Duration
	run func()
}

type simEvents []simEvent

func (e simEvents) Len() int           { return len(e) }
func (e simEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e simEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newHedgeSim(policy string, seed uint64) *hedgeSim {
	base := newFixture(simTargets)
	s := &hedgeSim{
		policy: policy, random: rand.New(rand.NewPCG(seed, 1)), clock: &simClock{base.clock, time.Hour}, targets: map[string]*simHedgeTarget{},
		latency: map[bool][]time.Duration{}, chance: 0.02, slow: func(*simHedgeTarget, time.Duration) float64 { return 1 },
	}
	for i, e := range base.catalogue.Services["s"] {
		e.Slots = 4
		s.targets[e.ID] = &simHedgeTarget{entry: e, index: i}
	}
	peers := []fleet.Member{{Instance: "e1", Zone: "a"}, {Instance: "e2", Zone: "a"}, {Instance: "e3", Zone: "b"}, {Instance: "e4", Zone: "b"}}
	for _, self := range peers {
		f := &fixture{catalogue: base.catalogue, view: &fleet.View{Version: 1, Self: self, Serving: true, Peers: peers}}
		b := New(s.clock, f, f, &nop)
		if policy == "quantile" {
			b.SetHedgeLimits(&hedge.Limits{Percent: simPercent})
		}
		s.members = append(s.members, b)
	}
	return s
}

func (s *hedgeSim) after(d time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.clock.now + d, run})
}

// play sends requests at a fraction of the capacity.
func (s *hedgeSim) play(load float64) {
	rate := load * float64(2*simTargets*4) / simMean.Seconds()
	end := s.clock.now + simDuration
	var arrive func()
	arrive = func() {
		s.send()
		if gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second)); s.clock.now+gap < end {
			s.after(gap, arrive)
		}
	}
	s.after(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.clock.now = e.at
		e.run()
	}
}

func (s *hedgeSim) counted(q *hedgeSimRequest) bool { return q.began >= time.Hour+simWarmup }

func (s *hedgeSim) send() {
	now := s.clock.now
	q := &hedgeSimRequest{balance: s.members[s.random.IntN(len(s.members))], began: now}
	q.r = proxy.Request{Service: "s", Route: "r", Idempotent: s.random.Float64() < 0.7, Deadline: now + simTimeout}
	s.total++
	if s.counted(q) {
		s.requests++
	}
	a, err := q.balance.Acquire(q.r, nil)
	if err != nil {
		if s.counted(q) {
			s.refused++
		}
		return
	}
	s.start(q, a, false)
	s.after(simTimeout, func() { s.end(q, nil, proxy.TimedOut) })
	if !q.r.Idempotent {
		return
	}
	further := func(d time.Duration, isHedge bool, acquire func() proxy.Attempt) {
		s.after(d, func() {
			if q.done || len(q.runs) > 1 {
				return
			}
			if a := acquire(); a != nil {
				s.start(q, a, isHedge)
			}
		})
	}
	now2 := func() proxy.Attempt { return q.balance.AcquireNow(q.r, []string{q.runs[0].attempt.Target()}) }
	paid := func() proxy.Attempt {
		a := now2()
		if a != nil && !q.balance.TakeRetry(q.r) {
			a.Done(proxy.Canceled, 0, proxy.Load{})
			return nil
		}
		return a
	}
	service := q.balance.service("s")
	switch s.policy {
	case "fixed":
		further(400*time.Millisecond, false, paid)
	case "quantile":
		if delay := q.balance.HedgeDelay(q.r, simRetryDelay, simTimeout); delay > 0 {
			further(delay, true, func() proxy.Attempt {
				found := q.balance.StartHedge(q.r, []string{q.runs[0].attempt.Target()}, delay, simTimeout-delay)
				if found == nil {
					return nil
				}
				return <-found
			})
		}
	case "tied":
		if a := now2(); a != nil {
			s.start(q, a, false)
			q.runs[0].tiedWith, q.runs[1].tiedWith = q.runs[1], q.runs[0]
		}
	case "two at low load":
		if service.utilization(now) < 0.4 {
			if a := now2(); a != nil {
				s.start(q, a, false)
			}
		}
	case "cancel and retry":
		s.after(simRetryDelay, func() {
			if !q.done && len(q.runs) == 1 {
				if a := paid(); a != nil {
					s.cancel(q.runs[0], proxy.TimedOut)
					s.start(q, a, false)
				}
			}
		})
	}
	further(simRetryDelay, false, paid)
}

// start sends one attempt to its target.
func (s *hedgeSim) start(q *hedgeSimRequest, a proxy.Attempt, isHedge bool) {
	run := &simRun{request: q, attempt: a, target: s.targets[a.Target()], arrived: s.clock.now, isHedge: isHedge}
	q.runs = append(q.runs, run)
	if s.counted(q) {
		s.arrivals++
	}
	s.after(simLinkDelay, func() {
		if run.ended {
			return
		}
		run.target.queue = append(run.target.queue, run)
		s.execute(run.target)
	})
}

// execute starts queued attempts on free slots.
func (s *hedgeSim) execute(t *simHedgeTarget) {
	for t.running < t.entry.Slots && len(t.queue) > 0 {
		run := t.queue[0]
		t.queue = t.queue[1:]
		t.running++
		run.began, run.started = s.clock.now, true
		if other := run.tiedWith; other != nil && !other.started {
			s.after(simLinkDelay, func() {
				if !other.started {
					s.cancel(other, proxy.Canceled)
				}
			})
		}
		s.after(s.duration(t), func() {
			if !run.ended {
				s.release(run)
				s.after(simLinkDelay, func() { s.end(run.request, run, proxy.Answered) })
			}
		})
	}
}

// duration draws the time of an execution that starts now.
func (s *hedgeSim) duration(t *simHedgeTarget) time.Duration {
	seconds := 0.2 + 0.18*s.random.Float64()
	if s.heavy {
		seconds = min(0.15*math.Pow(1-s.random.Float64(), -1/1.9), 10)
	} else if s.random.Float64() < s.chance {
		seconds *= 3 + 4*s.random.Float64()
	}
	d := time.Duration(seconds * s.slow(t, s.clock.now) * float64(time.Second))
	if s.stalls {
		// Each target stalls for 1.5 s in every 12 s.
		phase := (s.clock.now + time.Duration(t.index)*500*time.Millisecond) % (12 * time.Second)
		if left := 1500*time.Millisecond - phase; left > 0 {
			d += left
		} else if toStall := 12*time.Second - phase; d > toStall {
			d += 1500 * time.Millisecond
		}
	}
	return d
}

// release frees what an attempt takes at its target.
func (s *hedgeSim) release(run *simRun) {
	run.ended = true
	t := run.target
	if run.started {
		t.running--
		if s.counted(run.request) {
			s.busy += s.clock.now - run.began
		}
		s.execute(t)
		return
	}
	t.queue = slices.DeleteFunc(t.queue, func(r *simRun) bool { return r == run })
}

func (s *hedgeSim) report(run *simRun, result proxy.Result) {
	t := run.target
	load := proxy.Load{}
	if result == proxy.Answered {
		load = proxy.Load{Known: true, InFlight: t.running + 1, Queued: len(t.queue)}
	}
	run.attempt.Done(result, s.clock.now-run.arrived, load)
}

// cancel closes the connection of an attempt: the target stops its work.
func (s *hedgeSim) cancel(run *simRun, result proxy.Result) {
	if !run.ended {
		s.release(run)
		s.report(run, result)
	}
}

// end ends a request with the response of an attempt, or without any.
func (s *hedgeSim) end(q *hedgeSimRequest, winner *simRun, result proxy.Result) {
	if q.done {
		return
	}
	q.done = true
	now := s.clock.now
	if s.counted(q) {
		s.latency[q.r.Idempotent] = append(s.latency[q.r.Idempotent], now-q.began)
	}
	if winner != nil {
		s.report(winner, result)
	}
	for i, run := range q.runs {
		if run == winner {
			continue
		}
		if i == 0 && winner != nil && winner.isHedge {
			run.attempt.(proxy.AttemptWithAge).ObserveSlow(now - run.arrived)
		}
		if len(q.runs) > 1 && q.runs[1].isHedge && winner != nil {
			q.balance.HedgeEnded(q.r, winner.isHedge, now-run.arrived)
		}
		if !run.ended {
			lost := proxy.Canceled
			if winner == nil {
				lost = result
			}
			s.cancel(run, lost)
		}
	}
	if q.r.Idempotent && winner != nil && result == proxy.Answered {
		q.balance.ObserveFirst(q.r, now-q.runs[0].arrived, 100, winner != q.runs[0])
	}
}
