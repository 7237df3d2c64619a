package dispatch

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// defaultLife and maxLife bound the time for which a reservation counts
	// that is never released, for example because its instance was lost.
	defaultLife = 2 * time.Second
	maxLife     = 30 * time.Second
	// waitLife is the time in which a waiting request must ask again. It covers
	// two retries and a slow round trip.
	waitLife = 2*maxRetry + 20*time.Millisecond
	// Bounds of the time after which a waiting request asks again.
	minRetry = 4 * time.Millisecond
	maxRetry = 100 * time.Millisecond
	// asksPerSlot is the number of times that waiting requests ask while one
	// request is served. A freed slot is found within half a request's turn,
	// and the calls of an overloaded service stay bounded.
	asksPerSlot = 2
	// leadTurns covers a retry and a slow round trip.
	leadTurns = 2.0
	// holdWeight is the weight of one release in the usual time of a request.
	holdWeight = 0.02
	// busyShare of the slots reserved makes a service busy. Two choices then
	// often meet targets without a free slot. With 0.8, half of the requests
	// waited for an answer at 60% load; with 1.1, sheds at 60% load doubled.
	busyShare   = 0.95
	initialHold = 50 * time.Millisecond
)

// ledger holds the reservations of one service. Its mutex guards everything.
type ledger struct {
	options Options
	random  *rand.Rand

	mu        sync.Mutex
	now       time.Duration
	started   time.Duration
	config    int64
	applied   *health.Standings
	targets   []*slots
	byName    map[string]*slots
	reserved  map[key]*reservation
	deadlines deadlines
	// hold is the usual time between a grant and its release.
	hold time.Duration

	waiting map[key]*waiter
	order   order
	ended   ended

	granted, released, expired, refused, enqueued uint64
}

// key names one request of one instance.
type key struct {
	from string
	id   uint64
}

// reservation is one request at one target.
type reservation struct {
	key     key
	target  *slots
	since   time.Duration
	expires time.Duration
}

func newLedger(options Options, random *rand.Rand, now time.Duration) *ledger {
	return &ledger{
		options: options, random: random, now: now, started: now, byName: map[string]*slots{},
		reserved: map[key]*reservation{}, hold: initialHold, waiting: map[key]*waiter{}, order: newOrder(),
		ended: ended{keys: map[key]bool{}},
	}
}

// idle tells whether no call came for idleRestart.
func (l *ledger) idle(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-l.now > idleRestart
}

// advance brings the targets up to date and drops what has expired.
func (l *ledger) advance(now time.Duration, c *config.Snapshot, svc config.Service, standings *health.Standings) {
	l.now = now
	if c.Version != l.config || len(l.targets) == 0 {
		l.config, l.applied = c.Version, nil
		l.configure(svc)
	}
	if standings != nil && standings != l.applied {
		l.applied = standings
		for _, t := range l.targets {
			t.apply(standings.Targets[t.name])
		}
	}
	for len(l.deadlines) > 0 && l.deadlines[0].expires <= now {
		r := heap.Pop(&l.deadlines).(*reservation)
		if l.reserved[r.key] == r {
			l.expired++
			l.remove(r)
		}
	}
	l.ended.forget(now)
	for _, w := range l.waiting {
		if w.expires <= now {
			l.endWait(w)
		}
	}
}

// configure keeps the targets that stay, with their reservations.
func (l *ledger) configure(svc config.Service) {
	l.targets = l.targets[:0]
	next := make(map[string]*slots, len(svc.Targets))
	for name, c := range svc.Targets {
		t := l.byName[name]
		if t == nil {
			t = &slots{name: name}
		}
		t.zone, t.slots, t.leaving = c.Zone, max(c.Slots, 1), c.Leaving
		next[name] = t
		l.targets = append(l.targets, t)
	}
	l.byName = next
	sort.Slice(l.targets, func(i, j int) bool { return l.targets[i].name < l.targets[j].name })
}

func keyOf(request *peerpb.ReserveRequest) key { return key{request.GetFrom(), request.GetId()} }

// lifeOf is the time after which a reservation ends by itself.
func lifeOf(request *peerpb.ReserveRequest) time.Duration {
	if request.GetLifeMs() <= 0 {
		return defaultLife
	}
	return min(time.Duration(request.GetLifeMs())*time.Millisecond, maxLife)
}

// reserve fills the reply with a slot or with a place among the waiting.
func (l *ledger) reserve(request *peerpb.ReserveRequest, zone string, share float64, reply *peerpb.ReserveReply) {
	if l.applied == nil {
		// Without verdicts an ejected target could be given.
		return
	}
	k, life := keyOf(request), lifeOf(request)
	if r := l.reserved[k]; r != nil {
		l.answer(r, life, reply)
		return
	}
	team := l.order.flow(request.GetBatch(), request.GetTeam(), share)
	w := l.waiting[k]
	t, possible := l.choose(request.GetTried(), zone)
	switch {
	case !possible:
		l.endWait(w)
	case t != nil && l.order.eligible(team, l.lead()):
		l.endWait(w)
		l.order.charge(team)
		l.answer(l.grant(t, k, life), life, reply)
	case w != nil:
		w.expires = l.now + waitLife
		l.answerFull(reply)
	case len(l.waiting) >= l.options.MaxWaiting && !l.evict(team):
		l.refused++
		reply.Full, reply.RetryUs = true, l.retry().Microseconds()
	default:
		l.enqueue(team, k)
		l.answerFull(reply)
	}
}

// note counts a request that its instance has placed by itself.
func (l *ledger) note(request *peerpb.ReserveRequest, share float64, reply *peerpb.ReserveReply) {
	t := l.byName[request.GetChosen()]
	if t != nil && l.reserved[keyOf(request)] == nil {
		life := lifeOf(request)
		l.order.charge(l.order.flow(request.GetBatch(), request.GetTeam(), share))
		l.answer(l.grant(t, keyOf(request), life), life, reply)
	}
}

func (l *ledger) answer(r *reservation, life time.Duration, reply *peerpb.ReserveReply) {
	reply.Target, reply.LifeMs = r.target.name, life.Milliseconds()
}

// grant counts one more request at the target.
func (l *ledger) grant(t *slots, k key, life time.Duration) *reservation {
	r := &reservation{key: k, target: t, since: l.now, expires: l.now + life}
	t.reserved++
	l.granted++
	l.reserved[r.key] = r
	heap.Push(&l.deadlines, r)
	return r
}

// release ends the reservation or the wait of a request. A request that is not
// known may still be on its way; it then gets nothing.
func (l *ledger) release(k key) {
	r := l.reserved[k]
	switch {
	case r != nil:
		l.released++
		l.hold += time.Duration(holdWeight * float64(l.now-r.since-l.hold))
		l.remove(r)
	case l.waiting[k] != nil:
		l.endWait(l.waiting[k])
	default:
		l.ended.add(k, l.now)
	}
}

func (l *ledger) remove(r *reservation) {
	if l.reserved[r.key] == r {
		delete(l.reserved, r.key)
		r.target.reserved--
	}
}

// choose returns the target with the lowest share of its slots in use. It
// returns nil when all targets are full; possible is false when no target may
// take the request at any load.
func (l *ledger) choose(tried []string, zone string) (best *slots, possible bool) {
	lowest, ties := 0.0, 0
	for _, t := range l.targets {
		if !t.takes(tried) {
			continue
		}
		possible = true
		used := float64(t.reserved) + l.foreign(t)
		if used >= t.limit(l.now, l.options.QueuePerSlot) {
			continue
		}
		score := (used + 1) / (float64(t.slots) * t.weight(l.now))
		own, bestOwn := t.zone == zone, best != nil && best.zone == zone
		switch {
		case best == nil || score < lowest || score == lowest && own && !bestOwn:
			best, lowest, ties = t, score, 1
		case score == lowest && own == bestOwn:
			ties++
			if l.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	return best, possible
}

// busy tells whether idempotent requests should be reserved for too.
func (l *ledger) busy() bool {
	total, used := 0, 0
	for _, t := range l.targets {
		if t.takes(nil) {
			total += t.slots
			used += t.reserved
		}
	}
	return len(l.waiting) > 0 || float64(used) >= busyShare*float64(total)
}

// foreign is the expected number of requests at the target that have no
// reservation here: those from before the dispatcher's start.
func (l *ledger) foreign(t *slots) float64 {
	return t.atStart(l.now-l.started, l.hold)
}

type deadlines []*reservation

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].expires < d[j].expires }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*reservation)) }

// Pop implements heap.Interface.
func (d *deadlines) Pop() any {
	last := len(*d) - 1
	r := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return r
}
