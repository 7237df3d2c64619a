package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// The users' deployment C: 38 instances in 3 zones, 12 of which serve, and 162 targets
	// with 6 slots.
	retrySimZones, retrySimServing, retrySimInstances = 3, 12, 38
	retrySimTargets, retrySimSlots                    = 162, 6
	retrySimRatio, retrySimSlack                      = 0.2, 168
	retrySimWindow                                    = 10 * time.Second
	retrySimWork                                      = 250 * time.Millisecond
	retrySimAttempts                                  = 3
)

// retrySim is a fleet in front of targets that reject requests, in virtual time.
type retrySim struct {
	rng       *rand.Rand
	clock     *clock.Manual
	catalogue *discovery.Catalogue
	members   []*retrySimMember
	running   map[string]int
	events    retrySimEvents
	// shed is the probability that a target rejects a request; slots is the number that a
	// target runs at most and then rejects.
	shed  float64
	slots int
	// share of the requests that come to the first instance; the others are equal.
	firstShare float64
	// onePriority says that all requests have priority 1.
	onePriority bool
	// work is the mean time that a target takes for a request.
	work time.Duration
	// failing holds the targets that fail nine tenths of their requests; refused counts the
	// failed requests that got no retry.
	failing map[string]bool
	refused int
	// lost reports whether a heartbeat is lost.
	lost              func(from, to int) bool
	requests, retries []time.Duration
	asked, served     [3]int
}

type retrySimMember struct {
	*Balancer
	sim  *retrySim
	view *fleet.View
}

func (m *retrySimMember) Catalogue() *discovery.Catalogue { return m.sim.catalogue }
func (m *retrySimMember) View() *fleet.View               { return m.view }

// retrySimEvent is something that happens at a time.
type retrySimEvent struct {
	at  time.Duration
	run func()
}

type retrySimEvents []retrySimEvent

func (e retrySimEvents) Len() int           { return len(e) }
func (e retrySimEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e retrySimEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *retrySimEvents) Push(x any)        { *e = append(*e, x.(retrySimEvent)) }
func (e *retrySimEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newRetrySim(seed uint64, rule *RetryRule) *retrySim {
	s := &retrySim{
		rng: rand.New(rand.NewPCG(seed, 7)), clock: clock.NewManual(time.Unix(0, 0)), running: map[string]int{}, failing: map[string]bool{}, slots: 1 << 30, work: retrySimWork,
		catalogue:  &discovery.Catalogue{Version: 1, Services: map[string][]*discovery.Entry{}},
		firstShare: 1.0 / retrySimServing, lost: func(int, int) bool { return false },
	}
	s.clock.Advance(time.Hour)
	for i := range retrySimTargets {
		s.catalogue.Services["s"] = append(s.catalogue.Services["s"], &discovery.Entry{Target: discovery.Target{
			ID: fmt.Sprintf("t%03d", i), Service: "s", Address: "10.0.0.1:1", Zone: fmt.Sprint(i % retrySimZones), Slots: retrySimSlots,
		}})
	}
	var peers []fleet.Member
	for i := range retrySimServing {
		peers = append(peers, fleet.Member{Instance: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint(i % retrySimZones)})
	}
	for _, self := range peers {
		m := &retrySimMember{sim: s, view: &fleet.View{Version: 1, Self: self, Serving: true, Peers: peers, FixedShare: 0.9 * 0.9 / retrySimServing}}
		m.Balancer = New(s.clock, m, m, &nop)
		if rule != nil {
			m.SetRetryRule(*rule)
		}
		s.members = append(s.members, m)
	}
	return s
}

// after runs f when d has passed.
func (s *retrySim) after(d time.Duration, f func()) {
	heap.Push(&s.events, retrySimEvent{s.clock.SinceBoot() + d, f})
}

// begin starts requests at a rate per second, and heartbeats.
func (s *retrySim) begin(perSecond float64) {
	var arrive func()
	arrive = func() {
		s.arrive()
		s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	arrive()
	for n := range s.members {
		var beat func()
		beat = func() {
			s.heartbeat(n)
			s.after(250*time.Millisecond, beat)
		}
		s.after(time.Duration(s.rng.Int64N(int64(250*time.Millisecond))), beat)
	}
}

// run plays a length of time.
func (s *retrySim) run(length time.Duration) {
	end := s.clock.SinceBoot() + length
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(retrySimEvent)
		s.clock.Advance(e.at - s.clock.SinceBoot())
		e.run()
	}
	s.clock.Advance(end - s.clock.SinceBoot())
}

// heartbeat sends a heartbeat of one instance to all others: to those of its zone, and each
// second one to those of other zones.
func (s *retrySim) heartbeat(from int) {
	h := &peerpb.Heartbeat{Serving: true}
	s.members[from].Fill(h, fleet.SameZonePeers)
	data, err := proto.Marshal(h)
	if err != nil {
		panic(err)
	}
	for to, m := range s.members {
		sameZone := to%retrySimZones == from%retrySimZones
		if to == from || s.lost(from, to) || (!sameZone && s.rng.IntN(2) == 0) {
			continue
		}
		s.after(time.Duration(1+s.rng.IntN(3))*time.Millisecond, func() {
			received := &peerpb.Heartbeat{}
			if err := proto.Unmarshal(data, received); err != nil {
				panic(err)
			}
			m.Merge(fmt.Sprint(from), received)
		})
	}
}

// arrive brings a new request, 20% of priority 0, 30% of priority 1, the rest of 2, to an
// instance.
func (s *retrySim) arrive() {
	m := s.members[0]
	if s.rng.Float64() >= s.firstShare {
		m = s.members[1+s.rng.IntN(len(s.members)-1)]
	}
	now := s.clock.SinceBoot()
	r := proxy.Request{Service: "s", Route: "r", Idempotent: true, Deadline: now + 2*time.Second}
	switch p := s.rng.Float64(); {
	case s.onePriority:
		r.Priority = 1
	case p >= 0.5:
		r.Priority = 2
	case p >= 0.2:
		r.Priority = 1
	}
	s.requests = append(s.requests, now)
	s.asked[r.Priority]++
	s.attempt(m, r, nil)
}

// attempt sends the request to a target.
func (s *retrySim) attempt(m *retrySimMember, r proxy.Request, tried []string) {
	a, err := m.Acquire(r, tried) // without an objective it does not wait
	if err != nil {
		return
	}
	now, id := s.clock.SinceBoot(), a.Target()
	if len(tried) > 0 {
		s.retries = append(s.retries, now)
	}
	load := func() proxy.Load { return proxy.Load{Known: true, InFlight: s.running[id]} }
	if s.rng.Float64() < s.shed || s.running[id] >= s.slots {
		shown := load()
		s.after(2*time.Millisecond, func() {
			a.Done(proxy.Shed, 2*time.Millisecond, shown)
			r.Previous = proxy.Shed
			if len(tried)+1 < retrySimAttempts && m.TakeRetry(r) {
				s.attempt(m, r, append(slices.Clone(tried), id))
			}
		})
		return
	}
	if s.failing[id] && s.rng.Float64() < 0.9 {
		s.after(2*time.Millisecond, func() {
			r.Previous = proxy.ServerError
			granted := len(tried)+1 < retrySimAttempts && m.TakeRetry(r)
			a.Done(proxy.ServerError, 2*time.Millisecond, proxy.Load{})
			switch {
			case granted:
				s.attempt(m, r, append(slices.Clone(tried), id))
			case len(tried)+1 < retrySimAttempts:
				s.refused++
			}
		})
		return
	}
	s.running[id]++
	work := s.work/2 + time.Duration(s.rng.Int64N(int64(s.work)))
	s.after(work, func() {
		shown := load()
		s.running[id]--
		a.Done(proxy.Answered, work, shown)
		s.served[r.Priority]++
	})
}

// mostUsed returns the largest fraction of the allowed retries that were sent in any window
// that begins after the given time, and the mean over these windows.
func (s *retrySim) mostUsed(from time.Duration) (most, mean float64) {
	windows := 0
	for end := from + retrySimWindow; end <= s.clock.SinceBoot(); end += 50 * time.Millisecond {
		in := func(after time.Duration) int {
			return since(s.requests, after) - since(s.requests, after+retrySimWindow)
		}
		requests := max(in(end-retrySimWindow), in(end-3*retrySimWindow/2), in(end-2*retrySimWindow))
		sent := since(s.retries, end-retrySimWindow) - since(s.retries, end)
		used := float64(sent) / (retrySimRatio*float64(requests) + retrySimSlack)
		most, mean, windows = max(most, used), mean+used, windows+1
	}
	return most, mean / float64(windows)
}

// servedRatio returns the fraction of the requests of a priority that were served.
func (s *retrySim) servedRatio(priority int) float64 {
	return float64(s.served[priority]) / float64(s.asked[priority])
}

var retrySimRule = RetryRule{Ratio: retrySimRatio, Window: retrySimWindow, Slack: retrySimSlack}
