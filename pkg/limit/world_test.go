package limit

import (
	"fmt"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

const (
	testTeam      = "school"
	testFence     = 200 * time.Millisecond
	testLenderTTL = 100 * time.Millisecond
)

// version is one accepted version with the time of its delivery, which is 0
// until it is delivered.
type version struct {
	team      config.Team
	config    *config.Snapshot
	members   *membership.Membership
	delivered time.Duration
}

// node is one instance of the simulated fleet.
type node struct {
	id string
	// appliedIndex is the index in world.versions of the applied version, or -1.
	appliedIndex int
	// deliveryKnownAt is when the node learned that the applied version was
	// delivered; 0 if it has not.
	deliveryKnownAt time.Duration
	// fenceRenewedAt is the time of the last contact that renewed the node's
	// fence.
	fenceRenewedAt time.Duration
	// A paused node does nothing and receives messages later; a partitioned node
	// loses the messages that it receives. Neither renews its fence.
	paused, partitioned bool
	// noRequests stops the random requests at the node.
	noRequests bool
	history    *History
	pool       *Pool
}

// messageInFlight is a message or, if reply is set, the answer to it.
type messageInFlight struct {
	due     time.Duration
	from    *node
	message BorrowMessage
	reply   *Reply
	// lost makes the answer to the message get lost.
	lost bool
}

// world simulates a fleet with one team. It checks the limits with a reference
// bucket whose level is the minimum over all s of B(s) + R(s, now) - A(s, now):
// the burst at s, plus the tokens of the rate and minus the admissions from s to
// now.
type world struct {
	// draw returns a number from 0 to n-1.
	draw     func(n int) int
	params   Params
	disabled disabled
	now      time.Duration
	versions []*version
	nodes    []*node
	inFlight []messageInFlight
	joined   int
	// level is in 10^-15 tokens: millionths of a token per second times
	// nanoseconds.
	level    int64
	admitted int
	violated bool
}

func newWorld(draw func(int) int, settlingTime time.Duration, d disabled) *world {
	p := DefaultParams(testFence)
	p.MinTokensPerIssuer = 1
	p.MaxIssuers, p.SettlingTime, p.LenderTTL, p.BorrowerTTL = 2, settlingTime, testLenderTTL, testLenderTTL-testLenderTTL/driftDivisor
	p.MaxWait, p.BorrowTimeout, p.UnresponsivePause = 60*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond
	p.MaxParallelBorrows = 2
	w := &world{draw: draw, params: p, disabled: d, now: time.Second}
	w.versions = []*version{{members: &membership.Membership{}, delivered: w.now}}
	w.setConfig(config.Team{RatePerSecond: 50, Burst: 6})
	w.versions = w.versions[1:]
	w.level = 6 * 1e15
	for range 4 {
		w.join()
	}
	w.versions = w.versions[len(w.versions)-1:]
	w.versions[0].delivered = w.now
	for _, n := range w.nodes {
		w.apply(n)
	}
	return w
}

func (w *world) latest() *version { return w.versions[len(w.versions)-1] }

func (w *world) setConfig(t config.Team) {
	c := config.Empty()
	c.Teams[testTeam] = t
	l := w.latest()
	v := int64(1)
	if l.config != nil {
		v = l.config.Version + 1
	}
	w.versions = append(w.versions, &version{team: t, config: config.NewSnapshot(v, c), members: l.members})
}

func (w *world) setMembers(add []membership.Member, remove []string) {
	l := w.latest()
	w.versions = append(w.versions, &version{team: l.team, config: l.config, members: l.members.NextVersion(add, remove, 5)})
}

func (w *world) join() {
	w.joined++
	id := fmt.Sprintf("i%d", w.joined)
	w.setMembers([]membership.Member{{Incarnation: id, Zone: string(rune('a' + w.joined%2))}}, nil)
	n := &node{id: id, history: NewHistory(id, w.params), appliedIndex: -1}
	n.history.disabled = w.disabled
	w.nodes = append(w.nodes, n)
}

// apply makes the node apply the newest version.
func (w *world) apply(n *node) {
	if latest := len(w.versions) - 1; n.appliedIndex != latest {
		n.appliedIndex, n.deliveryKnownAt = latest, 0
	}
	v := w.versions[n.appliedIndex]
	if v.delivered != 0 && n.deliveryKnownAt == 0 {
		n.deliveryKnownAt = w.now
	}
	view := &control.View{Config: v.config, Membership: v.members, DeliveredAt: n.deliveryKnownAt}
	if n.appliedIndex > 0 && w.versions[n.appliedIndex-1].members != v.members {
		view.PreviousMembership = w.versions[n.appliedIndex-1].members
	}
	n.history.Observe(w.now, view)
	if n.pool == nil {
		n.pool = NewPool(testTeam, n.history, w.params, w.now)
	}
}

// viewValid reports whether the fence of the node is valid.
func (w *world) viewValid(n *node) bool {
	return w.disabled.viewValid || w.now-n.fenceRenewedAt < testFence
}

// deliver marks the newest version as delivered. From then on a node that lacks
// it cannot renew its fence.
func (w *world) deliver() {
	if l := w.latest(); l.delivered == 0 {
		for _, n := range w.nodes {
			w.renew(n)
		}
		l.delivered = w.now
	}
}

// renew renews the fence of a node that has applied the newest delivered
// version.
func (w *world) renew(n *node) {
	newest := len(w.versions) - 1
	if w.latest().delivered == 0 {
		newest--
	}
	if !n.paused && !n.partitioned && n.appliedIndex >= newest {
		n.fenceRenewedAt = w.now
	}
}

// maxLimits returns the maximum rate and burst that may still be in force.
func (w *world) maxLimits() (rate, burst int64) {
	for i, v := range w.versions {
		rateEnd, burstEnd := w.now+1, w.now+1
		if i+1 < len(w.versions) && w.versions[i+1].delivered != 0 {
			rateEnd = w.versions[i+1].delivered + testFence
			burstEnd = rateEnd + testLenderTTL
		}
		if w.now < rateEnd {
			rate = max(rate, int64(v.team.RatePerSecond*1e6))
		}
		if w.now < burstEnd {
			burst = max(burst, int64(v.team.Burst)*1e15)
		}
	}
	return rate, burst
}

func (w *world) advance(d time.Duration) {
	for end := w.now + d; w.now < end; {
		rate, _ := w.maxLimits()
		step := min(time.Duration(1+w.draw(6_000_000)), end-w.now)
		w.level += rate * int64(step)
		w.now += step
		_, burst := w.maxLimits()
		w.level = min(w.level, burst)
		for _, n := range w.nodes {
			w.renew(n)
		}
		w.deliverMessages()
		for _, n := range w.nodes {
			if !n.paused && n.pool != nil {
				w.serve(n)
			}
		}
	}
}

// serve makes a random request at the node, polls its pool and sends the
// messages. Some answers are lost and some returns of loans are repeated.
func (w *world) serve(n *node) {
	if !n.noRequests && w.draw(3) == 0 {
		t := n.pool.Take(w.now, w.now+time.Second)
		t.OnDecided = func() { w.count(t) }
	}
	messages, _ := n.pool.Poll(w.now, w.viewValid(n))
	for _, m := range messages {
		f := messageInFlight{due: w.now + w.delay(), from: n, message: m, lost: w.draw(12) == 0}
		w.inFlight = append(w.inFlight, f)
		if m.ReturnedLoan != 0 && w.draw(4) == 0 {
			w.inFlight = append(w.inFlight, messageInFlight{due: w.now + w.delay(), from: n, message: BorrowMessage{
				To: m.To, ReturnedLoan: m.ReturnedLoan, ReturnedMillitokens: m.ReturnedMillitokens,
			}})
		}
	}
}

// count records an admission in the reference bucket.
func (w *world) count(t *Ticket) {
	if t.Decision == Granted {
		w.admitted++
		w.level -= 1e15
		w.violated = w.violated || w.level < 0
	}
}

// delay returns a random message delay. It is mostly short, but may exceed the
// TTL of a loan.
func (w *world) delay() time.Duration {
	if w.draw(8) == 0 {
		return time.Duration(w.draw(int(2 * testLenderTTL)))
	}
	return time.Duration(w.draw(int(4 * time.Millisecond)))
}

func (w *world) deliverMessages() {
	var later []messageInFlight
	due := w.inFlight
	w.inFlight = nil
	for _, f := range due {
		to := f.from
		if f.reply == nil {
			to = w.find(f.message.To)
		}
		switch {
		case f.due > w.now || to != nil && to.paused:
			later = append(later, f)
		case to == nil || to.partitioned || to.pool == nil:
		case f.reply != nil:
			to.pool.Reply(w.now, f.message, *f.reply, true)
		default:
			r := to.pool.Lend(w.now, w.viewValid(to), f.from.id, f.message)
			if !f.lost {
				later = append(later, messageInFlight{due: w.now + w.delay(), from: f.from, message: f.message, reply: &r})
			}
		}
	}
	w.inFlight = append(w.inFlight, later...)
}

func (w *world) find(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
