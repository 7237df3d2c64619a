// Package limitsim is a discrete-event simulation, in simulated time, of how a
// whole fleet admits the requests of one team. It serves to choose the constants
// of package limit, and compares the fleet with one ideal central token bucket
// that receives the same requests.
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
	// Rate (requests per second) and Burst (tokens) are the team's limits. Load is
	// the ratio of the arrival rate to Rate.
	Rate  float64
	Burst int
	Load  float64
	// Skew is the fraction of the requests that arrive at one instance, the hot
	// instance; the others are spread evenly over the other instances. The hot
	// instance is an issuer of the team's tokens only if HotIssuer is set.
	Skew      float64
	HotIssuer bool
	// Steered sends the requests outside of Skew to the addresses that the
	// directory gives to callers, instead of spreading them evenly.
	Steered bool
	// Crash stops one issuer after a quarter of the requests. It is not replaced.
	Crash bool
	// Instances is the number of instances of the fleet.
	Instances int
	// Requests is the number of requests that arrive in the run.
	Requests int
	// OneWayDelay is the network delay of a message between two instances.
	OneWayDelay time.Duration
	Seed        uint64
	Params      limit.Params
}

// Result holds the decisions and waits of one run.
type Result struct {
	Requests int
	// CentralRefused and FleetRefused count the requests that the central bucket
	// and the fleet refused.
	CentralRefused int
	FleetRefused   int
	// FalseRefused counts requests that the fleet refused and the central bucket admitted.
	FalseRefused int
	// OverLimit counts the fleet's admissions that exceed rate*T + burst in some
	// window of length T.
	OverLimit int
	// Messages counts the messages with which instances borrow tokens and return
	// loans, without the replies.
	Messages int
	// Wait covers the admitted requests, from arrival to admission.
	Wait Quantiles
	// CentralWait covers all requests, as if they queued in order at one central
	// bucket. No distribution of the tokens over instances has a shorter total wait.
	CentralWait Quantiles
}

// Quantiles are the quantiles of a distribution of waits.
type Quantiles struct{ P50, P90, P99 time.Duration }

// String formats the quantiles in milliseconds.
func (q Quantiles) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(q.P50), ms(q.P90), ms(q.P99))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) time.Duration { return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond }
	return Quantiles{P50: at(50), P90: at(90), P99: at(99)}
}

// FalseRefusalPercent is the percentage of all requests that were refused falsely.
func (r Result) FalseRefusalPercent() float64 {
	return 100 * float64(r.FalseRefused) / float64(r.Requests)
}

// String formats the figures of a run on one line.
func (r Result) String() string {
	return fmt.Sprintf("false %.3f%% fleet %.2f%% central %.2f%% over %d wait ms %v central %v messages/request %.2f",
		r.FalseRefusalPercent(), 100*float64(r.FleetRefused)/float64(r.Requests),
		100*float64(r.CentralRefused)/float64(r.Requests), r.OverLimit, r.Wait, r.CentralWait,
		float64(r.Messages)/float64(r.Requests))
}

const (
	team  = "team"
	zones = 4
	// warmUp is the simulated time before the first request, in which every issuer
	// fills its bucket.
	warmUp = 1000 * time.Second
)

// referenceBucket is an exact token bucket for the whole fleet. level and capacity
// count units of 10^-15 tokens, rateMicrotokens is in 10^-6 tokens per second, and
// at is the time of the last update of level.
type referenceBucket struct {
	level, capacity, rateMicrotokens int64
	at                               time.Duration
}

// unitsPerToken is the number of units of referenceBucket in one token.
const unitsPerToken = 1_000_000_000_000_000

// take spends a token and reports whether one was available.
func (r *referenceBucket) take(now time.Duration) bool {
	r.level += min(r.capacity-r.level, r.rateMicrotokens*int64(now-r.at))
	r.at = now
	if r.level < unitsPerToken {
		return false
	}
	r.level -= unitsPerToken
	return true
}

// centralQueue is a central bucket at which requests queue in order instead of
// being refused.
type centralQueue struct {
	// fullAt is when the bucket would be full again without further requests.
	fullAt time.Duration
	// refillTime is the time in which an empty bucket becomes full.
	refillTime time.Duration
	// tokenInterval is the time in which one token is minted.
	tokenInterval time.Duration
	// waits holds the waits of all requests in microseconds.
	waits *hdrhistogram.Histogram
}

// take records how long a request that arrives now waits for its token.
func (q *centralQueue) take(now time.Duration) {
	q.fullAt = max(q.fullAt, now) + q.tokenInterval
	_ = q.waits.RecordValue(max(0, q.fullAt-q.refillTime-now).Microseconds())
}

type instance struct {
	id      string
	view    *control.View
	pool    *limit.Pool
	crashed bool
	// pollAt is the time of the scheduled poll of the pool; 0 means none.
	pollAt time.Duration
}

// event runs a function at a simulated time.
type event struct {
	at time.Duration
	// seq is the position in the order of scheduling.
	seq int
	run func()
}

// events is a heap of scheduled events; it implements heap.Interface.
type events []event

// simulation is the state of one run.
type simulation struct {
	c      Case
	random *rand.Rand
	// now is the simulated time.
	now    time.Duration
	events events
	// seq is the seq of the last scheduled event.
	seq         int
	instances   []*instance
	byID        map[string]*instance
	hotInstance *instance
	// issuers are the issuers of the team's tokens, in order of preference.
	issuers []membership.Member
	// central is the ideal central bucket, from which every request takes.
	central referenceBucket
	// admitted is a bucket with the same limits, from which only the fleet's
	// admissions take, to count Result.OverLimit.
	admitted     referenceBucket
	centralQueue centralQueue
	// callers are the callers of a steered case (see Case.Steered).
	callers []*steeredCaller
	// waits holds the waits of the admitted requests in microseconds.
	waits  *hdrhistogram.Histogram
	result Result
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
	tokenInterval := time.Duration(float64(time.Second) / c.Rate)
	s.centralQueue = centralQueue{tokenInterval: tokenInterval, refillTime: time.Duration(c.Burst) * tokenInterval, waits: newHistogram()}
	fullBucket := referenceBucket{level: int64(c.Burst) * unitsPerToken, capacity: int64(c.Burst) * unitsPerToken, rateMicrotokens: int64(c.Rate * 1e6), at: warmUp}
	s.central, s.admitted = fullBucket, fullBucket
	s.buildFleet()
	s.scheduleArrival(0)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.result.Requests = c.Requests
	s.result.Wait, s.result.CentralWait = quantiles(s.waits), quantiles(s.centralQueue.waits)
	return s.result
}

func (s *simulation) buildFleet() {
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
	s.hotInstance = s.byID[ranked[len(ranked)-1].Incarnation]
	if s.c.HotIssuer {
		s.hotInstance = s.byID[s.issuers[len(s.issuers)-1].Incarnation]
	}
	for range steeredCallerCount {
		s.callers = append(s.callers, &steeredCaller{})
	}
}

// at schedules run for the time t.
func (s *simulation) at(t time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, event{at: t, seq: s.seq, run: run})
}

// scheduleArrival schedules request number n after an exponentially distributed
// interval. Each request schedules the next one.
func (s *simulation) scheduleArrival(n int) {
	if n == s.c.Requests {
		return
	}
	interval := time.Duration(s.random.ExpFloat64() / (s.c.Rate * s.c.Load) * float64(time.Second))
	s.at(s.now+interval, func() {
		if s.c.Crash && n == s.c.Requests/4 {
			s.byID[s.issuers[0].Incarnation].crashed = true
		}
		s.handleRequest(s.pickInstance())
		s.scheduleArrival(n + 1)
	})
}

// pickInstance chooses the instance at which the next request arrives.
func (s *simulation) pickInstance() *instance {
	if s.random.Float64() < s.c.Skew {
		return s.hotInstance
	}
	if s.c.Steered {
		return s.pickSteered()
	}
	for {
		if i := s.instances[s.random.IntN(len(s.instances))]; i != s.hotInstance && !i.crashed {
			return i
		}
	}
}

// handleRequest runs a request through the central bucket, the central queue and
// the pool of the instance, and counts the decisions.
func (s *simulation) handleRequest(i *instance) {
	start := s.now
	s.centralQueue.take(s.now)
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

// poll sends the messages of the instance's pool and schedules its next poll.
func (s *simulation) poll(i *instance) {
	messages, next := i.pool.Poll(s.now, true)
	for _, m := range messages {
		s.result.Messages++
		s.at(s.now+s.c.OneWayDelay, func() { s.deliverBorrow(i, m) })
	}
	// An idle pool needs no poll for at least an hour.
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

// deliverBorrow handles a borrow message at its recipient and sends the reply
// back. A crashed recipient does not reply.
func (s *simulation) deliverBorrow(from *instance, m limit.BorrowMessage) {
	to := s.byID[m.To]
	if to.crashed {
		return
	}
	r := to.pool.Lend(s.now, true, from.id, m)
	s.poll(to)
	s.at(s.now+s.c.OneWayDelay, func() {
		if !from.crashed {
			from.pool.Reply(s.now, m, r, true)
			s.poll(from)
		}
	})
}

func (e events) Len() int { return len(e) }

// Less orders events by time; events of equal time keep the order of scheduling.
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	*e = (*e)[:last]
	return popped
}
