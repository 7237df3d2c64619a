package dispatch

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// minShare keeps the virtual time of a batch without a share finite.
	minShare = 1e-6
	// pruneAbove is the number of flows of one level above which a new one
	// first removes those that are idle and have no claim left.
	pruneAbove = 64
)

// order is start-time fair queueing of batches by share, and within a batch of
// teams with equal weight. Package fairqueue has the same order at one
// instance. Here waiting requests ask again by themselves, so that the next
// one in order may not be there when a slot is free. Another one may then go
// first, up to a lead, and the one that was passed over keeps its claim.
type order struct {
	level
}

// level is a set of flows that share one virtual time.
type level struct {
	virtual float64
	flows   map[string]*flow
	waiting int
}

// flow is a batch with its teams, or a team.
type flow struct {
	// batch is nil in batches, and teams is empty in teams.
	batch  *flow
	teams  level
	weight float64
	// finish is the finish tag of the newest grant, start the start tag of
	// the next one while requests wait.
	finish, start float64
	waiting       int
}

// waiter is a request without a slot yet.
type waiter struct {
	key     key
	number  uint64
	team    *flow
	expires time.Duration
}

func newOrder() order { return order{level{flows: map[string]*flow{}}} }

func (v *level) child(name string, weight float64, batch *flow) *flow {
	f := v.flows[name]
	if f == nil {
		if len(v.flows) >= pruneAbove {
			for other, idle := range v.flows {
				if idle.waiting == 0 && idle.finish <= v.virtual {
					delete(v.flows, other)
				}
			}
		}
		f = &flow{batch: batch, teams: level{flows: map[string]*flow{}}}
		v.flows[name] = f
	}
	f.weight = weight
	return f
}

// flow returns the team's flow.
func (o *order) flow(batch, team string, share float64) *flow {
	b := o.child(batch, max(share, minShare), nil)
	return b.teams.child(team, 1, b)
}

// tag is the start tag of the flow's next grant. A flow that was idle starts
// at the current virtual time and saves up nothing.
func (v *level) tag(f *flow) float64 {
	if f.waiting > 0 {
		return f.start
	}
	return max(f.finish, v.virtual)
}

func (v *level) lowest() (float64, bool) {
	lowest, found := 0.0, false
	for _, f := range v.flows {
		if f.waiting > 0 && (!found || f.start < lowest) {
			lowest, found = f.start, true
		}
	}
	return lowest, found
}

func (v *level) eligible(f *flow, lead float64) bool {
	lowest, waiting := v.lowest()
	return !waiting || v.tag(f) <= lowest+lead/f.weight
}

// charge accounts one grant. The virtual time follows the lowest tag, so that
// a flow that was passed over keeps its claim.
func (v *level) charge(f *flow) {
	tag := v.tag(f)
	f.finish = tag + 1/f.weight
	f.start = f.finish
	if lowest, waiting := v.lowest(); waiting {
		tag = min(tag, lowest)
	}
	v.virtual = max(v.virtual, tag)
}

func (v *level) add(f *flow) {
	if f.waiting == 0 {
		f.start = max(f.finish, v.virtual)
	}
	f.waiting++
	v.waiting++
}

func (v *level) remove(f *flow) {
	f.waiting--
	v.waiting--
}

// eligible tells whether the team may have the next free slot. It may be ahead
// of its share by lead grants while others wait.
func (o *order) eligible(team *flow, lead float64) bool {
	return o.level.eligible(team.batch, lead) && team.batch.teams.eligible(team, lead)
}

func (o *order) charge(team *flow) {
	o.level.charge(team.batch)
	team.batch.teams.charge(team)
}

func (o *order) add(team *flow) {
	o.level.add(team.batch)
	team.batch.teams.add(team)
}

func (o *order) remove(team *flow) {
	o.level.remove(team.batch)
	team.batch.teams.remove(team)
}

// heaviest is the waiting team with the most requests of the batch with the
// most requests for its share.
func (o *order) heaviest() *flow {
	var batch, team *flow
	for _, b := range o.flows {
		if b.waiting > 0 && (batch == nil || float64(b.waiting)/b.weight > float64(batch.waiting)/batch.weight) {
			batch = b
		}
	}
	if batch == nil {
		return nil
	}
	for _, t := range batch.teams.flows {
		if t.waiting > 0 && (team == nil || t.waiting > team.waiting) {
			team = t
		}
	}
	return team
}

func (l *ledger) enqueue(team *flow, k key) {
	l.enqueued++
	l.waiting[k] = &waiter{key: k, number: l.enqueued, team: team, expires: l.now + waitLife}
	l.order.add(team)
}

// endWait forgets a waiter, if there is one.
func (l *ledger) endWait(w *waiter) {
	if w != nil {
		delete(l.waiting, w.key)
		l.order.remove(w.team)
	}
}

// evict removes the newest waiter of the heaviest team, unless that is the
// team that asks.
func (l *ledger) evict(asking *flow) bool {
	team := l.order.heaviest()
	if team == nil || team == asking {
		return false
	}
	var newest *waiter
	for _, w := range l.waiting {
		if w.team == team && (newest == nil || w.number > newest.number) {
			newest = w
		}
	}
	l.refused++
	l.endWait(newest)
	return newest != nil
}

func (l *ledger) answerFull(reply *peerpb.ReserveReply) {
	reply.Full, reply.Waiting, reply.RetryUs = true, true, l.retry().Microseconds()
}

// turn is the usual time between two slots that become free.
func (l *ledger) turn() time.Duration {
	total := 0
	for _, t := range l.targets {
		if t.takes(nil) {
			total += t.slots
		}
	}
	return max(l.hold/time.Duration(max(total, 1)), time.Microsecond)
}

// retry spreads the asks of the waiting requests over the time in which slots
// become free.
func (l *ledger) retry() time.Duration {
	return min(max(l.turn()*time.Duration(len(l.waiting)+1)/asksPerSlot, minRetry), maxRetry)
}

// lead is the number of grants in the time between two asks of one request.
// Others may use these slots meanwhile. With a fixed lead of 4, slots stood idle
// and 30% of the requests were refused at 95% load.
func (l *ledger) lead() float64 {
	return leadTurns * float64(l.retry()) / float64(l.turn())
}
