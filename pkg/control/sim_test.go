package control

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// sim drives several cores in virtual time on one goroutine. Every start and
// end of asynchronous work is an event at a random time.
type sim struct {
	t        *testing.T
	clock    *clock.Manual
	random   *rand.Rand
	platform *fakePlatform
	events   eventQueue
	sequence int
	nodes    map[string]*node
	cuts     map[[2]string]bool
	ids      int
	// lastFailed makes the answer of the running work arrive only after a
	// timeout of 1 s.
	lastFailed bool
	// check runs after every event.
	check func()
}

// node is one simulated instance.
type node struct {
	*core
	address string
	dead    bool
	// frozenUntil delays all events of the node.
	frozenUntil time.Duration
}

// simEvent runs a function of a node at a virtual time; events at the same time
// run in the order of their sequence.
type simEvent struct {
	at       time.Duration
	sequence int
	node     *node
	run      func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].sequence < q[j].sequence)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// noSleepClock returns from Sleep at once, because the sim adds its own delays.
type noSleepClock struct{ *clock.Manual }

func (noSleepClock) Sleep(context.Context, time.Duration) error { return nil }

func newSim(t *testing.T, seed uint64) *sim {
	return &sim{
		t: t, clock: clock.NewManual(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)),
		random: rand.New(rand.NewPCG(seed, 1)), platform: newFakePlatform(),
		nodes: map[string]*node{}, cuts: map[[2]string]bool{}, check: func() {},
	}
}

// at schedules an event of the node.
func (s *sim) at(delay time.Duration, n *node, run func()) {
	s.sequence++
	heap.Push(&s.events, simEvent{s.clock.SinceBoot() + delay, s.sequence, n, run})
}

// delay returns a random duration below the limit.
func (s *sim) delay(limit time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(limit)))
}

// start starts an instance and schedules its periodic tasks.
func (s *sim) start(address, zone string, seeds ...string) *node {
	n := &node{address: address}
	clk := noSleepClock{s.clock}
	async := func(work func(context.Context) func()) {
		s.at(s.delay(2*time.Millisecond), n, func() {
			s.lastFailed, s.platform.caller = false, address
			then := work(context.Background())
			wait := s.delay(2 * time.Millisecond)
			if s.lastFailed {
				wait = time.Second
			}
			s.at(wait, n, then)
		})
	}
	n.core = newCore(Options{
		Self: membership.Member{Instance: address, Zone: zone, PeerAddress: address}, Seeds: seeds, MaxWitnesses: 5,
		Store:     head.NewStore(fakeTable{s.platform}, fakeObjects{s.platform}, clk),
		Transport: &simTransport{s, n}, Clock: clk, List: s.platform, NewID: s.newID, Jitter: s.delay,
	}, async)
	s.nodes[address] = n
	var runDueTasks func()
	runDueTasks = func() {
		n.runDueTasks()
		s.at(checkInterval, n, runDueTasks)
	}
	s.at(0, n, runDueTasks)
	return n
}

func (s *sim) newID() string {
	s.ids++
	return fmt.Sprintf("id%05d", s.ids)
}

// run advances virtual time by d and runs the events that are due.
func (s *sim) run(d time.Duration) {
	end := s.clock.SinceBoot() + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(simEvent)
		if wait := e.at - s.clock.SinceBoot(); wait > 0 {
			s.clock.Advance(wait)
		}
		switch {
		case e.node.dead:
		case e.node.frozenUntil > e.at:
			s.at(e.node.frozenUntil-e.at, e.node, e.run)
		default:
			e.run()
			s.check()
		}
	}
	s.clock.Advance(end - s.clock.SinceBoot())
}

// until runs until the condition holds and returns the virtual time that
// passed.
func (s *sim) until(limit time.Duration, what string, condition func() bool) time.Duration {
	s.t.Helper()
	begin := s.clock.SinceBoot()
	for !condition() {
		if s.clock.SinceBoot()-begin > limit {
			for _, n := range s.nodes {
				s.t.Logf("%s dead=%v %+v", n.address, n.dead, n.dump())
			}
			s.t.Fatalf("%s: not reached within %v", what, limit)
		}
		s.run(10 * time.Millisecond)
	}
	return s.clock.SinceBoot() - begin
}

// fleet starts n instances in three zones and waits until all are members.
func (s *sim) fleet(n int) []*node {
	s.t.Helper()
	nodes := make([]*node, n)
	for i := range nodes {
		nodes[i] = s.start(fmt.Sprintf("10.0.0.%d:1", i), string(rune('a'+i%3)))
	}
	s.until(30*time.Second, "fleet joined", func() bool { return joined(nodes) })
	return nodes
}

func joined(nodes []*node) bool {
	for _, n := range nodes {
		if n.phase != phaseMember || !n.mayServe() || !n.applied.row.Delivered || len(n.applied.membership.Members) != len(nodes) {
			return false
		}
	}
	return true
}

// cut blocks or restores the connection in one direction.
func (s *sim) cut(from, to *node, cut bool) { s.cuts[[2]string{from.address, to.address}] = cut }

// propose makes one attempt to write a configuration from the node.
func (s *sim) propose(n *node, expected int64, change ChangeFunc, done func(error)) {
	base := n.applied
	n.async(func(ctx context.Context) func() {
		d, err := proposeConfig(ctx, &n.options, base, expected, change, head.Metadata{Author: n.address})
		return func() {
			if err == nil {
				n.applyProposed(d)
			}
			done(err)
		}
	})
}

// addKey returns a change that adds a key of a team; removeKey one that removes
// it.
func addKey(id string) ChangeFunc {
	return func(c *config.Config) (*config.Config, error) {
		_, key := config.GenerateKey(id, "school")
		return c.Apply(config.MergePatchType, fmt.Appendf(nil,
			`{"batches":{"spring":{"share":1,"expires":"2027-03-31T22:00:00Z"}},
			  "teams":{"school":{"batch":"spring","rate_per_second":50,"burst":20}},
			  "keys":{%q:{"team":"school","sha256":%q}}}`, id, key.SHA256))
	}
}

func removeKey(id string) ChangeFunc {
	return func(c *config.Config) (*config.Config, error) {
		return c.Apply(config.MergePatchType, fmt.Appendf(nil, `{"keys":{%q:null}}`, id))
	}
}

// simTransport calls the other nodes of the sim directly, from one node.
type simTransport struct {
	sim  *sim
	from *node
}

// simCall calls a node unless it is dead, frozen or cut off; the call may take
// effect although its reply is lost.
func simCall[R any](t *simTransport, address string, on func(*node) (R, error)) (R, error) {
	var none R
	s := t.sim
	to := s.nodes[address]
	lost := &peer.UnreachableError{Address: address, Cause: context.DeadlineExceeded}
	if to == nil || to.dead || s.cuts[[2]string{t.from.address, address}] || to.frozenUntil > s.clock.SinceBoot() {
		s.lastFailed = true
		return none, lost
	}
	reply, err := on(to)
	if s.cuts[[2]string{address, t.from.address}] {
		s.lastFailed = true
		return none, lost
	}
	return reply, err
}

func (t *simTransport) Exchange(_ context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return simCall(t, address, func(n *node) (*peerpb.ExchangeReply, error) { return n.handleExchange(req), nil })
}

func (t *simTransport) Fetch(_ context.Context, address string, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return simCall(t, address, func(n *node) (*peerpb.FetchReply, error) { return n.applied.encodeReply(req.Versions) })
}

func (*simTransport) Borrow(context.Context, string, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return nil, &peer.UnsupportedError{Call: "borrow"}
}

func (*simTransport) Report(context.Context, string, *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return nil, &peer.UnsupportedError{Call: "report"}
}

func (*simTransport) Reserve(context.Context, string, *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return nil, &peer.UnsupportedError{Call: "reserve"}
}

func listedOf(n *node) platform.InstanceListEntry {
	return platform.InstanceListEntry{Address: n.address, Incarnation: n.self.Incarnation, State: platform.Live}
}
