package limit

import (
	"fmt"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

const (
	testTeam  = "school"
	testFence = 200 * time.Millisecond
	testLife  = 100 * time.Millisecond
)

// version is one accepted version and when it was delivered; 0 while it is not.
type version struct {
	team      config.Team
	config    *config.Snapshot
	members   *membership.Membership
	delivered time.Duration
}

// node is one instance of the simulated fleet.
type node struct {
	id            string
	applied       int
	knowsDelivery time.Duration
	contact       time.Duration
	paused, cut   bool
	quiet         bool
	history       *History
	pool          *Pool
}

// flight is a message or an answer on its way.
type flight struct {
	due     time.Duration
	from    *node
	message Message
	reply   *Reply
	lost    bool
}

// world simulates a fleet with one team and checks the invariant with a
// reference bucket: its level is min over all s of B(s) + R(s, now) - A(s, now).
type world struct {
	draw     func(n int) int
	params   Params
	disabled disabled
	now      time.Duration
	versions []*version
	nodes    []*node
	flights  []flight
	joined   int
	// level is in millionths of a token times nanoseconds per second.
	level    int64
	admitted int
	violated bool
}

func newWorld(draw func(int) int, holds time.Duration, d disabled) *world {
	p := DefaultParams(testFence)
	p.MinCeiling = 1
	p.K, p.Hold, p.LoanLife, p.BorrowerLife = 2, holds, testLife, testLife-testLife/drift
	p.MaxWait, p.AskTimeout, p.Silence = 60*time.Millisecond, 20*time.Millisecond, 30*time.Millisecond
	p.Parallel = 2
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
	w.versions = append(w.versions, &version{team: l.team, config: l.config, members: l.members.With(add, remove, 5)})
}

func (w *world) join() {
	w.joined++
	id := fmt.Sprintf("i%d", w.joined)
	w.setMembers([]membership.Member{{Incarnation: id, Zone: string(rune('a' + w.joined%2))}}, nil)
	n := &node{id: id, history: NewHistory(id, w.params), applied: -1}
	n.history.disabled = w.disabled
	w.nodes = append(w.nodes, n)
}

// apply lets an instance take over the newest version.
func (w *world) apply(n *node) {
	if latest := len(w.versions) - 1; n.applied != latest {
		n.applied, n.knowsDelivery = latest, 0
	}
	v := w.versions[n.applied]
	if v.delivered != 0 && n.knowsDelivery == 0 {
		n.knowsDelivery = w.now
	}
	view := &control.View{Config: v.config, Membership: v.members, DeliveredAt: n.knowsDelivery}
	if n.applied > 0 && w.versions[n.applied-1].members != v.members {
		view.PreviousMembership = w.versions[n.applied-1].members
	}
	n.history.Observe(w.now, view)
	if n.pool == nil {
		n.pool = NewPool(testTeam, n.history, w.params, w.now)
	}
}

func (w *world) fresh(n *node) bool {
	return w.disabled.fresh || w.now-n.contact < testFence
}

// deliver marks the newest version as delivered: from now on no instance that
// lacks it can renew its fence.
func (w *world) deliver() {
	if l := w.latest(); l.delivered == 0 {
		for _, n := range w.nodes {
			w.renew(n)
		}
		l.delivered = w.now
	}
}

func (w *world) renew(n *node) {
	newest := len(w.versions) - 1
	if w.latest().delivered == 0 {
		newest--
	}
	if !n.paused && !n.cut && n.applied >= newest {
		n.contact = w.now
	}
}

// bounds are the highest rate and burst that may still be in force.
func (w *world) bounds() (rate, burst int64) {
	for i, v := range w.versions {
		rateEnd, burstEnd := w.now+1, w.now+1
		if i+1 < len(w.versions) && w.versions[i+1].delivered != 0 {
			rateEnd = w.versions[i+1].delivered + testFence
			burstEnd = rateEnd + testLife
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
		rate, _ := w.bounds()
		step := min(time.Duration(1+w.draw(6_000_000)), end-w.now)
		w.level += rate * int64(step)
		w.now += step
		_, burst := w.bounds()
		w.level = min(w.level, burst)
		for _, n := range w.nodes {
			w.renew(n)
		}
		w.deliverFlights()
		for _, n := range w.nodes {
			if !n.paused && n.pool != nil {
				w.serve(n)
			}
		}
	}
}

func (w *world) serve(n *node) {
	if !n.quiet && w.draw(3) == 0 {
		t := n.pool.Take(w.now, w.now+time.Second)
		t.Decided = func() { w.count(t) }
	}
	messages, _ := n.pool.Poll(w.now, w.fresh(n))
	for _, m := range messages {
		f := flight{due: w.now + w.delay(), from: n, message: m, lost: w.draw(12) == 0}
		w.flights = append(w.flights, f)
		if m.ReturnedLoan != 0 && w.draw(4) == 0 {
			w.flights = append(w.flights, flight{due: w.now + w.delay(), from: n, message: Message{
				To: m.To, ReturnedLoan: m.ReturnedLoan, ReturnedMillitokens: m.ReturnedMillitokens,
			}})
		}
	}
}

// count books an admission against the reference bucket.
func (w *world) count(t *Ticket) {
	if t.Decision == Granted {
		w.admitted++
		w.level -= 1e15
		w.violated = w.violated || w.level < 0
	}
}

// delay is mostly short; some messages take longer than a loan lives.
func (w *world) delay() time.Duration {
	if w.draw(8) == 0 {
		return time.Duration(w.draw(int(2 * testLife)))
	}
	return time.Duration(w.draw(int(4 * time.Millisecond)))
}

func (w *world) deliverFlights() {
	var later []flight
	due := w.flights
	w.flights = nil
	for _, f := range due {
		to := f.from
		if f.reply == nil {
			to = w.find(f.message.To)
		}
		switch {
		case f.due > w.now || to != nil && to.paused:
			later = append(later, f)
		case to == nil || to.cut || to.pool == nil:
		case f.reply != nil:
			to.pool.Reply(w.now, f.message, *f.reply, true)
		default:
			r := to.pool.Lend(w.now, w.fresh(to), f.from.id, f.message)
			if !f.lost {
				later = append(later, flight{due: w.now + w.delay(), from: f.from, message: f.message, reply: &r})
			}
		}
	}
	w.flights = append(w.flights, later...)
}

func (w *world) find(id string) *node {
	for _, n := range w.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}
