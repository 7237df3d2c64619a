// Package limitsim simulates the admission of one team's requests by a whole
// fleet, event by event and without real time, to choose the constants of
// package limit. It compares the fleet with one ideal central bucket that sees
// the same arrivals.
package limitsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Case is one simulated run.
type Case struct {
	// Rate and Burst are the team's limits; Load is the arrival rate as a part of Rate.
	Rate  float64
	Burst int
	Load  float64
	// Skew is the part of the requests that arrive at one instance; the rest
	// is spread evenly. The instance is no issuer of the team unless HotIssuer is set.
	Skew      float64
	HotIssuer bool
	// Steered lets the requests outside of Skew come from callers that use the
	// addresses of the directory.
	Steered bool
	// Crash stops one issuer after a quarter of the requests. It is not replaced.
	Crash     bool
	Instances int
	Requests  int
	// OneWay is the time that a message between two instances takes.
	OneWay time.Duration
	Seed   uint64
	Params limit.Params
}

// Result counts the decisions of one run.
type Result struct {
	Requests       int
	CentralRefused int
	FleetRefused   int
	// FalseRefused counts requests that the fleet refused and the central bucket admitted.
	FalseRefused int
	// OverLimit counts admissions beyond rate*T + burst in some window.
	OverLimit int
	Messages  int
	// Wait is over the admitted requests.
	Wait Quantiles
	// CentralWait is over all requests if they queued at one central bucket. No
	// distribution of the tokens can wait less in total.
	CentralWait Quantiles
}

// Quantiles describe a distribution of waits.
type Quantiles struct{ P50, P90, P99 time.Duration }

// String gives the quantiles in milliseconds.
func (q Quantiles) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(q.P50), ms(q.P90), ms(q.P99))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99)}
}

// FalsePercent is the part of all requests that was refused falsely.
func (r Result) FalsePercent() float64 { return 100 * float64(r.FalseRefused) / float64(r.Requests) }

// String gives the figures of a run on one line.
func (r Result) String() string {
	return fmt.Sprintf("false %.3f%% fleet %.2f%% central %.2f%% over %d wait ms %v central %v messages/request %.2f",
		r.FalsePercent(), 100*float64(r.FleetRefused)/float64(r.Requests),
		100*float64(r.CentralRefused)/float64(r.Requests), r.OverLimit, r.Wait, r.CentralWait,
		float64(r.Messages)/float64(r.Requests))
}

const (
	team  = "team"
	zones = 4
	// warmUp lets every issuer fill its bucket before the first request.
	warmUp = 1000 * time.Second
)

// reference is an exact token bucket over all admissions, in 10^-15 tokens.
type reference struct {
	level, capacity, rateMicro int64
	at                         time.Duration
}

const tokenUnits = 1_000_000_000_000_000

func (r *reference) take(now time.Duration) bool {
	r.level += min(r.capacity-r.level, r.rateMicro*int64(now-r.at))
	r.at = now
	if r.level < tokenUnits {
		return false
	}
	r.level -= tokenUnits
	return true
}

// queue is a central bucket at which requests wait in order instead of being refused.
type queue struct {
	// full is when the bucket would be full again.
	full  time.Duration
	burst time.Duration
	cost  time.Duration
	waits *hdrhistogram.Histogram
}

func (q *queue) take(now time.Duration) {
	q.full = max(q.full, now) + q.cost
	_ = q.waits.RecordValue(max(0, q.full-q.burst-now).Microseconds())
}

type instance struct {
	id     string
	view   *control.View
	pool   *limit.Pool
	dead   bool
	pollAt time.Duration
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

type simulation struct {
	c         Case
	random    *rand.Rand
	now       time.Duration
	events    events
	seq       int
	instances []*instance
	byID      map[string]*instance
	hot       *instance
	issuers   []membership.Member
	central   reference
	admitted  reference
	queue     queue
	callers   []*steered
	waits     *hdrhistogram.Histogram
	result    Result
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
}

// Run simulates one case. Equal cases give equal results.
func Run(c Case) Result {
	s := &simulation{
		c: c, random: rand.New(rand.NewPCG(c.Seed, 0)), now: warmUp, byID: map[string]*instance{},
		waits: newHistogram(),
	}
	cost := time.Duration(float64(time.Second) / c.Rate)
	s.queue = queue{cost: cost, burst: time.Duration(c.Burst) * cost, waits: newHistogram()}
	full := reference{level: int64(c.Burst) * tokenUnits, capacity: int64(c.Burst) * tokenUnits, rateMicro: int64(c.Rate * 1e6), at: warmUp}
	s.central, s.admitted = full, full
	s.build()
	s.arrive(0)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.Requests = c.Requests
	s.result.Wait, s.result.CentralWait = quantiles(s.waits), quantiles(s.queue.waits)
	return s.result
}

func (s *simulation) build() {
	members := (&membership.Membership{})
	var add []membership.Member
	for i := range s.c.Instances {
		add = append(add, membership.Member{Incarnation: fmt.Sprintf("i%02d", i), CallerAddress: fmt.Sprintf("i%02d", i), Zone: fmt.Sprint(i % zones)})
	}
	members = members.NextVersion(add, nil, 15)
	document := config.Empty()
	document.Teams[team] = config.Team{RatePerSecond: s.c.Rate, Burst: s.c.Burst}
	snapshot := config.NewSnapshot(1, document)
	s.issuers = s.c.Params.Issuers(members, team, document.Teams[team])
	for _, m := range members.Members {
		history := limit.NewHistory(m.Incarnation, s.c.Params)
		view := &control.View{Config: snapshot, Membership: members, Self: m, Member: true, DeliveredAt: 1}
		history.Observe(1, view)
		i := &instance{id: m.Incarnation, view: view, pool: limit.NewPool(team, history, s.c.Params, s.now)}
		s.instances = append(s.instances, i)
		s.byID[i.id] = i
	}
	ranked := members.Rank(team)
	s.hot = s.byID[ranked[len(ranked)-1].Incarnation]
	if s.c.HotIssuer {
		s.hot = s.byID[s.issuers[len(s.issuers)-1].Incarnation]
	}
	for range steeredCallers {
		s.callers = append(s.callers, &steered{})
	}
}

func (s *simulation) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

// arrive schedules request number n after an exponential pause.
func (s *simulation) arrive(n int) {
	if n == s.c.Requests {
		return
	}
	pause := time.Duration(s.random.ExpFloat64() / (s.c.Rate * s.c.Load) * float64(time.Second))
	s.at(s.now+pause, func() {
		if s.c.Crash && n == s.c.Requests/4 {
			s.byID[s.issuers[0].Incarnation].dead = true
		}
		s.request(s.pick())
		s.arrive(n + 1)
	})
}

func (s *simulation) pick() *instance {
	if s.random.Float64() < s.c.Skew {
		return s.hot
	}
	if s.c.Steered {
		return s.steer()
	}
	for {
		if i := s.instances[s.random.IntN(len(s.instances))]; i != s.hot && !i.dead {
			return i
		}
	}
}

func (s *simulation) request(i *instance) {
	start := s.now
	s.queue.take(s.now)
	central := s.central.take(s.now)
	if !central {
		s.result.CentralRefused++
	}
	t := i.pool.Take(s.now, s.now+time.Hour)
	decided := func() {
		if t.Decision == limit.Granted {
			if !s.admitted.take(s.now) {
				s.result.OverLimit++
			}
			_ = s.waits.RecordValue((s.now - start).Microseconds())
			return
		}
		s.result.FleetRefused++
		if central {
			s.result.FalseRefused++
		}
	}
	if t.Decision != limit.Waiting {
		decided()
		return
	}
	t.OnDecided = decided
	s.poll(i)
}

func (s *simulation) poll(i *instance) {
	messages, next := i.pool.Poll(s.now, true)
	for _, m := range messages {
		s.result.Messages++
		s.at(s.now+s.c.OneWay, func() { s.receive(i, m) })
	}
	// An idle pool needs no call for an hour.
	if next >= s.now+time.Hour {
		i.pollAt = 0
		return
	}
	if i.pollAt != next {
		i.pollAt = next
		s.at(next, func() {
			if i.pollAt == next {
				i.pollAt = 0
				s.poll(i)
			}
		})
	}
}

func (s *simulation) receive(from *instance, m limit.BorrowMessage) {
	to := s.byID[m.To]
	if to.dead {
		return
	}
	r := to.pool.Lend(s.now, true, from.id, m)
	s.poll(to)
	s.at(s.now+s.c.OneWay, func() {
		if !from.dead {
			from.pool.Reply(s.now, m, r, true)
			s.poll(from)
		}
	})
}

// Len returns the number of events.
func (e events) Len() int { return len(e) }

// Less orders by time, then by creation.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

// Swap exchanges two events.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}
