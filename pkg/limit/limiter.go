package limit

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Borrower sends a Borrow request to the instance with the given peer address.
type Borrower interface {
	Borrow(ctx context.Context, address string, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
}

// Options are the dependencies and constants of a Limiter. All fields are
// required.
type Options struct {
	Clock        clock.Clock
	Viewer       control.Viewer
	ServeChecker control.ServeChecker
	Borrower     Borrower
	Params       Params
}

// Limiter implements proxy.Limiter. It keeps a Pool only for teams with recent
// traffic. It is safe for concurrent use once Run has been started.
type Limiter struct {
	clock        clock.Clock
	viewer       control.Viewer
	serveChecker control.ServeChecker
	borrower     Borrower
	params       Params

	// historyMu guards history and observedView. A goroutine that also needs the
	// mutex of an entry locks the entry first.
	historyMu sync.RWMutex
	history   *History
	// observedView is the view that was recorded in history last.
	observedView *control.View

	// mu guards entries, which are keyed by team.
	mu      sync.RWMutex
	entries map[string]*entry

	// schedule holds the time of the next poll of each entry.
	schedule schedule
	// sendQueue holds the messages that Run sends.
	sendQueue chan queuedMessage
}

// entry is the pool of one team with the mutex that guards it.
type entry struct {
	mu   sync.Mutex
	team string
	pool *Pool
	// decisionView is the view that the last decision of the pool was based on.
	decisionView *control.View
	// dropped is set when the entry has been removed from Limiter.entries.
	dropped   bool
	pollTimer pollTimer
}

// queuedMessage is a Borrow message to send for the pool of an entry.
type queuedMessage struct {
	entry   *entry
	message BorrowMessage
}

// maxQueuedMessages bounds the messages that are queued for sending. A message
// beyond it counts as failed.
const maxQueuedMessages = 4096

// New returns a limiter. It issues and borrows tokens once Run has been started.
func New(o Options) *Limiter {
	l := &Limiter{
		clock: o.Clock, viewer: o.Viewer, serveChecker: o.ServeChecker, borrower: o.Borrower, params: o.Params,
		entries: map[string]*entry{}, sendQueue: make(chan queuedMessage, maxQueuedMessages),
	}
	l.history = NewHistory(o.Viewer.View().Self.Incarnation, o.Params)
	l.observeView()
	return l
}

// observeView records the current view in the history and returns it. It is
// called before every decision, so that no decision is based on a view that the
// history lacks.
func (l *Limiter) observeView() *control.View {
	v := l.viewer.View()
	l.historyMu.RLock()
	known := v == l.observedView
	l.historyMu.RUnlock()
	if known {
		return v
	}
	l.historyMu.Lock()
	defer l.historyMu.Unlock()
	// Another goroutine may have recorded a newer view in the meantime; the
	// history ignores older versions.
	l.history.Observe(l.clock.SinceBoot(), v)
	l.observedView = v
	return v
}

// Take spends one token of the team. It waits at most Params.MaxWait.
func (l *Limiter) Take(ctx context.Context, team string) error {
	// A view that changes while a decision is made invalidates the decision: its
	// token is lost and the request tries again.
	const attempts = 3
	for range attempts {
		if !l.serveChecker.MayServe() {
			return refusal.New(refusal.InstanceNotFresh, nil)
		}
		t, view := l.takeTicket(ctx, team)
		switch t.Decision {
		case Granted:
			if !l.serveChecker.MayServe() {
				return refusal.New(refusal.InstanceNotFresh, nil)
			}
			if sameVersions(l.viewer.View(), view) {
				return nil
			}
		case Unreachable:
			return refusal.New(refusal.RateUnavailable, nil)
		case Stale:
			return refusal.New(refusal.InstanceNotFresh, nil)
		default:
			return refusal.WithRetryAfter(refusal.RateExceeded, t.RetryAfter)
		}
	}
	return refusal.New(refusal.InstanceNotFresh, nil)
}

// sameVersions reports whether two views have the same configuration and
// membership versions.
func sameVersions(a, b *control.View) bool {
	return a == b || a.Config.Version == b.Config.Version && a.Membership.Version == b.Membership.Version
}

// takeTicket waits until the pool of the team has decided on the request or ctx
// ends. It returns the decided ticket and the view that the decision was based
// on.
func (l *Limiter) takeTicket(ctx context.Context, team string) (*Ticket, *control.View) {
	e := l.lockedEntry(team)
	if e == nil {
		return &Ticket{Decision: Exceeded, RetryAfter: l.params.MaxWait}, nil
	}
	now := l.clock.SinceBoot()
	deadline := now + l.params.MaxWait
	if d, ok := ctx.Deadline(); ok {
		// Waiting for a token takes at most half of the request's remaining
		// time; the rest is for the target.
		deadline = min(deadline, now+d.Sub(l.clock.Now())/2)
	}
	l.historyMu.RLock()
	t := e.pool.Take(now, deadline)
	l.historyMu.RUnlock()
	l.poll(e)
	if t.Decision != Waiting {
		defer e.mu.Unlock()
		return t, e.decisionView
	}
	done := make(chan *control.View, 1)
	t.OnDecided = func() { done <- e.decisionView }
	e.mu.Unlock()
	select {
	case v := <-done:
		return t, v
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Cancel(t)
	return t, e.decisionView
}

// lockedEntry returns the entry of the team with its mutex held, and creates it
// if necessary. It returns nil when the configuration has no such team.
func (l *Limiter) lockedEntry(team string) *entry {
	for {
		l.mu.RLock()
		e := l.entries[team]
		l.mu.RUnlock()
		if e == nil {
			e = l.createEntry(team)
		}
		if e == nil {
			return nil
		}
		e.mu.Lock()
		if !e.dropped {
			return e
		}
		e.mu.Unlock()
	}
}

// createEntry adds an entry for the team, unless another goroutine has added one
// in the meantime. It returns nil when the configuration has no such team.
func (l *Limiter) createEntry(team string) *entry {
	v := l.observeView()
	if v.Config == nil || v.Membership == nil {
		return nil
	}
	if _, ok := v.Config.Config.Teams[team]; !ok {
		return nil
	}
	l.historyMu.RLock()
	pool := NewPool(team, l.history, l.params, l.clock.SinceBoot())
	l.historyMu.RUnlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[team]; e != nil {
		return e
	}
	e := &entry{team: team, pool: pool, decisionView: v}
	e.pollTimer = pollTimer{entry: e, heapIndex: notScheduled}
	l.entries[team] = e
	return e
}

// poll lets the pool of e decide, queues the messages that it returns for
// sending, and schedules the next poll. The mutex of e must be held.
func (l *Limiter) poll(e *entry) {
	for {
		e.decisionView = l.observeView()
		now := l.clock.SinceBoot()
		l.historyMu.RLock()
		messages, next := e.pool.Poll(now, l.serveChecker.MayServe())
		l.historyMu.RUnlock()
		failed := false
		for _, m := range messages {
			select {
			case l.sendQueue <- queuedMessage{e, m}:
			default:
				e.pool.Reply(now, m, Reply{}, false)
				failed = true
			}
		}
		if !failed {
			l.schedule.set(&e.pollTimer, next)
			return
		}
	}
}

// HandleBorrow answers the Borrow request of another instance.
func (l *Limiter) HandleBorrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	v := l.observeView()
	e := l.lenderEntry(request.GetTeam(), v)
	if e == nil {
		return &peerpb.BorrowReply{}, nil
	}
	defer e.mu.Unlock()
	v = l.observeView()
	now := l.clock.SinceBoot()
	l.historyMu.RLock()
	r := e.pool.Lend(now, l.serveChecker.MayServe(), request.GetFrom(), BorrowMessage{
		Millitokens:         request.GetMillitokens(),
		ReturnedMillitokens: request.GetReturnedMillitokens(),
		ReturnedLoan:        request.GetReturnedLoan(),
	})
	l.historyMu.RUnlock()
	l.poll(e)
	if !sameVersions(l.viewer.View(), v) || !l.serveChecker.MayServe() {
		// The view changed or became invalid while the loan was made, so the
		// borrower does not receive it. The loan stays open here until it
		// expires, and nobody spends it.
		return &peerpb.BorrowReply{Issuer: r.Issuer}, nil
	}
	return &peerpb.BorrowReply{
		Loan: r.Loan, Millitokens: r.Millitokens, LifeMs: r.TTL.Milliseconds(),
		Issuer: r.Issuer, RetryMs: ceilMilliseconds(r.RetryAfter),
	}, nil
}

// lenderEntry returns the locked entry of the team if this instance issues the
// team's tokens or already has a pool for it. Otherwise it returns nil, so that
// a Borrow request that is sent to the wrong instance creates no pool.
func (l *Limiter) lenderEntry(team string, v *control.View) *entry {
	l.mu.RLock()
	known := l.entries[team] != nil
	l.mu.RUnlock()
	if !known {
		if v.Config == nil || v.Membership == nil {
			return nil
		}
		issuer := false
		for _, m := range l.params.Issuers(v.Membership, team, v.Config.Config.Teams[team]) {
			issuer = issuer || m.Incarnation == v.Self.Incarnation
		}
		if !issuer {
			return nil
		}
	}
	return l.lockedEntry(team)
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
