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
	// observeInterval bounds how late a limiter without traffic records a view.
	observeInterval = 100 * time.Millisecond
	// sweepInterval is how often pools without use are looked for.
	sweepInterval = 5 * time.Second
	// maxSends bounds the Borrow calls that are open at once.
	maxSends = 256
	// notScheduled is the heap index of a timer that is not in the heap.
	notScheduled = -1
)

// timer is the next time at which an entry must be polled.
type timer struct {
	entry *entry
	due   time.Duration
	index int
}

// schedule orders the timers of all entries.
type schedule struct {
	mu     sync.Mutex
	timers timers
	// wakeAt is when the running sleep ends; wake ends it early.
	wakeAt time.Duration
	wake   context.CancelFunc
}

func (s *schedule) set(t *timer, due time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t.due = due
	if t.index == notScheduled {
		heap.Push(&s.timers, t)
	} else {
		heap.Fix(&s.timers, t.index)
	}
	if s.wake != nil && due < s.wakeAt {
		s.wake()
		s.wake = nil
	}
}

// pop removes and returns a timer that is due.
func (s *schedule) pop(now time.Duration) *timer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.timers) == 0 || s.timers[0].due > now {
		return nil
	}
	return heap.Pop(&s.timers).(*timer)
}

func (s *schedule) remove(t *timer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.index != notScheduled {
		heap.Remove(&s.timers, t.index)
	}
}

// plan returns how long to sleep and a context that ends when an earlier timer is set.
func (s *schedule) plan(ctx context.Context, now time.Duration) (context.Context, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeAt = now + observeInterval
	if len(s.timers) > 0 {
		s.wakeAt = min(s.wakeAt, s.timers[0].due)
	}
	ctx, s.wake = context.WithCancel(ctx)
	return ctx, s.wakeAt - now
}

// done releases the context of plan.
func (s *schedule) done() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.wake != nil {
		s.wake()
		s.wake = nil
	}
}

// Run sends messages and drives timers until ctx ends. It returns the error of ctx.
func (l *Limiter) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return l.drive(ctx) })
	group.Go(func() error { return l.sendAll(ctx) })
	return errors.WithStack(group.Wait())
}

func (l *Limiter) sendAll(ctx context.Context) error {
	sends := &errgroup.Group{}
	sends.SetLimit(maxSends)
	for {
		select {
		case <-ctx.Done():
			_ = sends.Wait()
			return ctx.Err()
		case j := <-l.jobs:
			sends.Go(func() error {
				l.send(ctx, j)
				return nil
			})
		}
	}
}

func (l *Limiter) drive(ctx context.Context) error {
	swept := l.clock.SinceBoot()
	for ctx.Err() == nil {
		l.observe()
		now := l.clock.SinceBoot()
		for t := l.schedule.pop(now); t != nil; t = l.schedule.pop(now) {
			t.entry.mu.Lock()
			if !t.entry.dropped {
				l.poll(t.entry)
			}
			t.entry.mu.Unlock()
		}
		if now-swept >= sweepInterval {
			swept = now
			l.sweep(now)
		}
		sleep, d := l.schedule.plan(ctx, l.clock.SinceBoot())
		// An early end of the sleep is the wake-up; the loop checks ctx itself.
		_ = l.clock.Sleep(sleep, d)
		l.schedule.done()
	}
	return ctx.Err()
}

// sweep drops the pools that are not needed any more. It holds the mutex of
// the map only while it removes one entry, since requests wait for it.
func (l *Limiter) sweep(now time.Duration) {
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
			l.schedule.remove(&e.timer)
		}
		e.mu.Unlock()
	}
}

// send makes one Borrow call and brings its answer to the pool.
func (l *Limiter) send(ctx context.Context, j job) {
	v := l.viewer.View()
	reply, ok := Reply{}, false
	if member, found := v.Membership.Find(j.message.To); found {
		ctx, cancel := context.WithTimeout(ctx, l.params.AskTimeout)
		answer, err := l.borrower.Borrow(ctx, member.PeerAddress, &peerpb.BorrowRequest{
			From: v.Self.Incarnation, Team: j.entry.team, Millitokens: j.message.Millitokens,
			ReturnedMillitokens: j.message.ReturnedMillitokens, ReturnedLoan: j.message.ReturnedLoan,
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
				Life: time.Duration(answer.GetLifeMs()) * time.Millisecond, Retry: time.Duration(answer.GetRetryMs()) * time.Millisecond,
			}
		}
	}
	j.entry.mu.Lock()
	defer j.entry.mu.Unlock()
	j.entry.pool.Reply(l.clock.SinceBoot(), j.message, reply, ok)
	if !j.entry.dropped {
		l.poll(j.entry)
	}
}

// timers implements heap.Interface.
type timers []*timer

// Len returns the number of timers.
func (t timers) Len() int { return len(t) }

// Less orders by due time.
func (t timers) Less(i, j int) bool { return t[i].due < t[j].due }

// Swap exchanges two timers.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push adds a timer.
func (t *timers) Push(x any) {
	added := x.(*timer)
	added.index = len(*t)
	*t = append(*t, added)
}

// Pop removes the last timer.
func (t *timers) Pop() any {
	last := len(*t) - 1
	popped := (*t)[last]
	popped.index = notScheduled
	*t = (*t)[:last]
	return popped
}
