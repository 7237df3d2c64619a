package limit

import (
	"container/heap"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// observeInterval is the maximum delay with which a limiter without traffic
	// records a new view.
	observeInterval = 100 * time.Millisecond
	// idleCheckInterval is the interval between checks for idle pools.
	idleCheckInterval = 5 * time.Second
	// maxOpenCalls bounds the Borrow calls that are open at the same time.
	maxOpenCalls = 256
	// notScheduled is the heap index of a timer that is not in the heap.
	notScheduled = -1
)

// pollTimer is the next time at which an entry must be polled.
type pollTimer struct {
	entry     *entry
	due       time.Duration
	heapIndex int
}

// schedule orders the poll timers of all entries by their due times.
type schedule struct {
	mu     sync.Mutex
	timers timers
	// sleepEnd is when the current sleep of Run ends; cancelSleep ends it early
	// and is nil while Run does not sleep.
	sleepEnd    time.Duration
	cancelSleep context.CancelFunc
}

// set changes the due time of t and adds t if it is not scheduled. It ends the
// current sleep early if t is due before its end.
func (s *schedule) set(t *pollTimer, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.due = due
	if t.heapIndex == notScheduled {
		heap.Push(&s.timers, t)
	} else {
		heap.Fix(&s.timers, t.heapIndex)
	}
	if s.cancelSleep != nil && due < s.sleepEnd {
		s.cancelSleep()
		s.cancelSleep = nil
	}
}

// pop removes and returns the earliest timer if it is due; otherwise it returns
// nil.
func (s *schedule) pop(now time.Duration) *pollTimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.timers) == 0 || s.timers[0].due > now {
		return nil
	}
	return heap.Pop(&s.timers).(*pollTimer)
}

func (s *schedule) remove(t *pollTimer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.heapIndex != notScheduled {
		heap.Remove(&s.timers, t.heapIndex)
	}
}

// startSleep returns how long to sleep and a context that ends when an earlier
// timer is set. The caller must call endSleep after the sleep.
func (s *schedule) startSleep(ctx context.Context, now time.Duration) (context.Context, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sleepEnd = now + observeInterval
	if len(s.timers) > 0 {
		s.sleepEnd = min(s.sleepEnd, s.timers[0].due)
	}
	ctx, s.cancelSleep = context.WithCancel(ctx)
	return ctx, s.sleepEnd - now
}

// endSleep releases the context of startSleep.
func (s *schedule) endSleep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancelSleep != nil {
		s.cancelSleep()
		s.cancelSleep = nil
	}
}

// Run sends queued messages, polls entries when they are due and drops idle
// pools until ctx ends. It returns the error of ctx.
func (l *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.runTimers(ctx) })
	group.Go(func() error { return l.sendQueued(ctx) })
	return errors.WithStack(group.Wait())
}

// sendQueued sends the messages of sendQueue, at most maxOpenCalls at the same
// time.
func (l *Limiter) sendQueued(ctx context.Context) error {
	sends := &errgroup.Group{}
	sends.SetLimit(maxOpenCalls)
	for {
		select {
		case <-ctx.Done():
			_ = sends.Wait()
			return ctx.Err()
		case queued := <-l.sendQueue:
			sends.Go(func() error {
				l.send(ctx, queued)
				return nil
			})
		}
	}
}

// runTimers records new views, polls the entries that are due and drops idle
// pools.
func (l *Limiter) runTimers(ctx context.Context) error {
	lastIdleCheck := l.clock.SinceBoot()
	for ctx.Err() == nil {
		l.observeView()
		now := l.clock.SinceBoot()
		for t := l.schedule.pop(now); t != nil; t = l.schedule.pop(now) {
			t.entry.mu.Lock()
			if !t.entry.dropped {
				l.poll(t.entry)
			}
			t.entry.mu.Unlock()
		}
		if now-lastIdleCheck >= idleCheckInterval {
			lastIdleCheck = now
			l.dropIdlePools(now)
		}
		sleep, d := l.schedule.startSleep(ctx, l.clock.SinceBoot())
		// Sleep fails if its context ends, which is how set ends it early; the
		// loop checks ctx itself.
		_ = l.clock.Sleep(sleep, d)
		l.schedule.endSleep()
	}
	return ctx.Err()
}

// dropIdlePools drops the pools that are no longer needed. It write-locks l.mu
// only for the removal of one entry at a time, since requests wait for that
// mutex, and it skips entries that are in use.
func (l *Limiter) dropIdlePools(now time.Duration) {
	l.mu.RLock()
	entries := slices.Collect(maps.Values(l.entries))
	l.mu.RUnlock()
	for _, e := range entries {
		if !e.mu.TryLock() {
			continue
		}
		l.historyMu.RLock()
		idle := !e.dropped && e.pool.Idle(now)
		l.historyMu.RUnlock()
		if idle {
			e.dropped = true
			l.mu.Lock()
			delete(l.entries, e.team)
			l.mu.Unlock()
			l.schedule.remove(&e.pollTimer)
		}
		e.mu.Unlock()
	}
}

// send makes one Borrow call and passes its answer, or its failure, to the pool.
func (l *Limiter) send(ctx context.Context, queued queuedMessage) {
	v := l.viewer.View()
	reply, ok := Reply{}, false
	if member, found := v.Membership.Find(queued.message.To); found {
		ctx, cancel := context.WithTimeout(ctx, l.params.BorrowTimeout)
		answer, err := l.borrower.Borrow(ctx, member.PeerAddress, &peerpb.BorrowRequest{
			From: v.Self.Incarnation, Team: queued.entry.team, Millitokens: queued.message.Millitokens,
			ReturnedMillitokens: queued.message.ReturnedMillitokens, ReturnedLoan: queued.message.ReturnedLoan,
			Versions: &peerpb.Versions{
				Revision: v.Head.Revision, Config: v.Head.ConfigVersion,
				Membership: v.Head.MembershipVersion, Delivered: v.DeliveredAt != 0,
			},
		})
		cancel()
		if err == nil {
			ok = true
			reply = Reply{
				Loan: answer.GetLoan(), Millitokens: answer.GetMillitokens(), Issuer: answer.GetIssuer(),
				TTL: time.Duration(answer.GetLifeMs()) * time.Millisecond, RetryAfter: time.Duration(answer.GetRetryMs()) * time.Millisecond,
			}
		}
	}
	queued.entry.mu.Lock()
	defer queued.entry.mu.Unlock()
	queued.entry.pool.Reply(l.clock.SinceBoot(), queued.message, reply, ok)
	if !queued.entry.dropped {
		l.poll(queued.entry)
	}
}

// timers is a heap of timers that implements heap.Interface.
type timers []*pollTimer

// Len returns the number of timers.
func (t timers) Len() int { return len(t) }

// Less orders timers by due time.
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

// Swap exchanges two timers.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push adds a timer at the end.
func (t *timers) Push(x any) {
	added := x.(*pollTimer)
	added.heapIndex = len(*t)
	*t = append(*t, added)
}

// Pop removes the last timer.
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	popped.heapIndex = notScheduled
	*t = (*t)[:last]
	return popped
}
