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
	// A reservation that is never released, for example because its instance
	// was lost, expires after the request's remaining time: defaultTTL if it is
	// unknown, and at most maxTTL.
	defaultTTL = 2 * time.Second
	maxTTL     = 30 * time.Second
	// waitTTL is the time after which a waiting request that has not asked again
	// is dropped. It covers two retries and a slow round trip.
	waitTTL = 2*maxRetry + 20*time.Millisecond
	// Bounds of the interval at which a waiting request asks again.
	minRetry = 4 * time.Millisecond
	maxRetry = 100 * time.Millisecond
	// callsPerFreedSlot is the number of calls that the waiting requests of a
	// service make together in the typical time between two freed slots. A freed
	// slot is found within half of that time, and the call rate of an overloaded
	// service stays bounded.
	callsPerFreedSlot = 2
	// leadRetryIntervals is the time, in retry intervals, for which maxLead
	// counts grants. It covers a retry and a slow round trip.
	leadRetryIntervals = 2.0
	// holdSmoothing is the weight of one release in the moving average typicalHold.
	holdSmoothing = 0.02
	// busyFraction is the ratio of reservations to slots from which a service
	// counts as busy. The two random targets that the wrapped balancer compares
	// then often have no free slot. With 0.8, half of the requests waited for the
	// dispatcher's answer at 60% load; with 1.1, twice as many requests were shed
	// by targets at 60% load.
	busyFraction       = 0.95
	initialTypicalHold = 50 * time.Millisecond
)

// ledger records the reservations and the waiting requests of one service and
// decides which request gets the next free slot. Methods other than idle and
// dump require mu to be held.
type ledger struct {
	options Options
	random  *rand.Rand

	mu sync.Mutex
	// now is the time of the latest call, started that of the ledger's creation.
	now     time.Duration
	started time.Duration
	// config is the configuration version from which targets were built.
	config           int64
	appliedStandings *health.Standings
	targets          []*targetState
	byName           map[string]*targetState
	reserved         map[key]*reservation
	deadlines        deadlines
	// typicalHold is a moving average of the time between a grant and its release.
	typicalHold time.Duration

	waiting       map[key]*waiter
	order         order
	earlyReleases earlyReleases

	// Counters; enqueued also numbers the waiters.
	granted, released, expired, refused, enqueued uint64
}

// key identifies one request of one instance.
type key struct {
	from string // incarnation of the instance
	id   uint64
}

// reservation is one request that counts at one target.
type reservation struct {
	key     key
	target  *targetState
	since   time.Duration
	expires time.Duration
}

func newLedger(options Options, random *rand.Rand, now time.Duration) *ledger {
	return &ledger{
		options: options, random: random, now: now, started: now, byName: map[string]*targetState{},
		reserved: map[key]*reservation{}, typicalHold: initialTypicalHold, waiting: map[key]*waiter{}, order: newOrder(),
		earlyReleases: earlyReleases{keys: map[key]bool{}},
	}
}

// idle reports whether the last call was more than ledgerMaxIdle ago.
func (l *ledger) idle(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now-l.now > ledgerMaxIdle
}

// advance applies the configuration and the standings to the targets and drops
// expired reservations, early releases and waiters.
func (l *ledger) advance(now time.Duration, c *config.Snapshot, svc config.Service, standings *health.Standings) {
	l.now = now
	if c.Version != l.config || len(l.targets) == 0 {
		l.config, l.appliedStandings = c.Version, nil
		l.configure(svc)
	}
	if standings != nil && standings != l.appliedStandings {
		l.appliedStandings = standings
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
	l.earlyReleases.forget(now)
	for _, w := range l.waiting {
		if w.expires <= now {
			l.endWait(w)
		}
	}
}

// configure sets the targets. Targets that remain configured keep their
// reservations.
func (l *ledger) configure(svc config.Service) {
	l.targets = l.targets[:0]
	next := make(map[string]*targetState, len(svc.Targets))
	for name, c := range svc.Targets {
		t := l.byName[name]
		if t == nil {
			t = &targetState{name: name}
		}
		t.zone, t.slots, t.outOfUse = c.Zone, max(c.Slots, 1), c.OutOfUse()
		next[name] = t
		l.targets = append(l.targets, t)
	}
	l.byName = next
	sort.Slice(l.targets, func(i, j int) bool { return l.targets[i].name < l.targets[j].name })
}

func keyOf(request *peerpb.ReserveRequest) key { return key{request.GetFrom(), request.GetId()} }

// ttlOf is the time after which a reservation for the request expires.
func ttlOf(request *peerpb.ReserveRequest) time.Duration {
	if request.GetLifeMs() <= 0 {
		return defaultTTL
	}
	return min(time.Duration(request.GetLifeMs())*time.Millisecond, maxTTL)
}

// reserve fills the reply with a reserved target, or enqueues the request if all
// targets are full or others are to be served first. If the queue is full too,
// the request is refused.
func (l *ledger) reserve(request *peerpb.ReserveRequest, zone string, share float64, reply *peerpb.ReserveReply) {
	if l.appliedStandings == nil {
		// Before the first verdicts are known, the chosen target could be an
		// ejected one.
		return
	}
	k, ttl := keyOf(request), ttlOf(request)
	if r := l.reserved[k]; r != nil {
		l.answer(r, ttl, reply)
		return
	}
	team := l.order.flow(request.GetBatch(), request.GetTeam(), share)
	w := l.waiting[k]
	t, possible := l.choose(request.GetTried(), zone)
	switch {
	case !possible:
		l.endWait(w)
	case t != nil && l.order.eligible(team, l.maxLead()):
		l.endWait(w)
		l.order.charge(team)
		l.answer(l.grant(t, k, ttl), ttl, reply)
	case w != nil:
		w.expires = l.now + waitTTL
		l.answerFull(reply)
	case len(l.waiting) >= l.options.MaxWaiting && !l.evict(team):
		l.refused++
		reply.Full, reply.RetryUs = true, l.retryInterval().Microseconds()
	default:
		l.enqueue(team, k)
		l.answerFull(reply)
	}
}

// recordPlaced counts a request whose instance has chosen the target without
// the dispatcher.
func (l *ledger) recordPlaced(request *peerpb.ReserveRequest, share float64, reply *peerpb.ReserveReply) {
	t := l.byName[request.GetChosen()]
	if t != nil && l.reserved[keyOf(request)] == nil {
		ttl := ttlOf(request)
		l.order.charge(l.order.flow(request.GetBatch(), request.GetTeam(), share))
		l.answer(l.grant(t, keyOf(request), ttl), ttl, reply)
	}
}

func (l *ledger) answer(r *reservation, ttl time.Duration, reply *peerpb.ReserveReply) {
	reply.Target, reply.LifeMs = r.target.name, ttl.Milliseconds()
}

// grant counts one more request at the target.
func (l *ledger) grant(t *targetState, k key, ttl time.Duration) *reservation {
	r := &reservation{key: k, target: t, since: l.now, expires: l.now + ttl}
	t.reserved++
	l.granted++
	l.reserved[r.key] = r
	heap.Push(&l.deadlines, r)
	return r
}

// release ends the reservation or the wait of a request. The call of an unknown
// request may still be in transit; it is recorded, so that it gets no slot when
// it arrives.
func (l *ledger) release(k key) {
	r := l.reserved[k]
	switch {
	case r != nil:
		l.released++
		l.typicalHold += time.Duration(holdSmoothing * float64(l.now-r.since-l.typicalHold))
		l.remove(r)
	case l.waiting[k] != nil:
		l.endWait(l.waiting[k])
	default:
		l.earlyReleases.add(k, l.now)
	}
}

func (l *ledger) remove(r *reservation) {
	if l.reserved[r.key] == r {
		delete(l.reserved, r.key)
		r.target.reserved--
	}
}

// choose returns the target with the lowest load per slot, adjusted by weight;
// among equal ones it prefers those in the given zone. It returns nil if all
// targets are full; possible is false if no target may take the request at any
// load.
func (l *ledger) choose(tried []string, zone string) (best *targetState, possible bool) {
	lowest, ties := 0.0, 0
	for _, t := range l.targets {
		if !t.usable(tried) {
			continue
		}
		possible = true
		used := float64(t.reserved) + l.untrackedLoad(t)
		if used >= t.fullAt(l.now, l.options.QueuePerSlot) {
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

// busy reports whether instances should ask the dispatcher for idempotent
// requests too.
func (l *ledger) busy() bool {
	total, used := 0, 0
	for _, t := range l.targets {
		if t.usable(nil) {
			total += t.slots
			used += t.reserved
		}
	}
	return len(l.waiting) > 0 || float64(used) >= busyFraction*float64(total)
}

// untrackedLoad is the expected number of requests at the target that have no
// reservation in this ledger because they began before its creation.
func (l *ledger) untrackedLoad(t *targetState) float64 {
	return t.remainingInitialLoad(l.now-l.started, l.typicalHold)
}

// deadlines is a heap of reservations by expiry. Released reservations stay in
// it until they expire.
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
