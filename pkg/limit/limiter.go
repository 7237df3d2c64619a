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

// Borrower sends a Borrow request to the instance at a peer address.
type Borrower interface {
	Borrow(ctx context.Context, address string, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
}

// Options are what a Limiter needs. All fields are required.
type Options struct {
	Clock     clock.Clock
	Viewer    control.Viewer
	Freshness control.Freshness
	Borrower  Borrower
	Params    Params
}

// Limiter implements proxy.Limiter. It keeps a Pool only for teams with
// traffic. It is safe for concurrent use once Run has been started.
type Limiter struct {
	clock     clock.Clock
	viewer    control.Viewer
	freshness control.Freshness
	borrower  Borrower
	params    Params

	// historyMu is taken after the mutex of an entry.
	historyMu sync.RWMutex
	history   *History
	observed  *control.View

	mu      sync.RWMutex
	entries map[string]*entry

	schedule schedule
	jobs     chan job
}

// entry guards the pool of one team.
type entry struct {
	mu   sync.Mutex
	team string
	pool *Pool
	// view is the one that the last decision was based on.
	view *control.View
	// dropped is set when the entry has left the map.
	dropped bool
	timer   timer
}

// job is one message to send.
type job struct {
	entry   *entry
	message Message
}

// maxJobs bounds the messages that wait to be sent; more count as failed.
const maxJobs = 4096

// New returns a limiter. It issues tokens and borrows once Run has been started.
func New(o Options) *Limiter {
	l := &Limiter{
		clock: o.Clock, viewer: o.Viewer, freshness: o.Freshness, borrower: o.Borrower, params: o.Params,
		entries: map[string]*entry{}, jobs: make(chan job, maxJobs),
	}
	l.history = NewHistory(o.Viewer.View().Self.Incarnation, o.Params)
	l.observe()
	return l
}

// observe records the current view in the history before anything acts on it.
func (l *Limiter) observe() *control.View {
	v := l.viewer.View()
	l.historyMu.RLock()
	known := v == l.observed
	l.historyMu.RUnlock()
	if known {
		return v
	}
	l.historyMu.Lock()
	defer l.historyMu.Unlock()
	// Another goroutine may have recorded a newer view in the meantime; the
	// history ignores older versions.
	l.history.Observe(l.clock.SinceBoot(), v)
	l.observed = v
	return v
}

// Take spends one token of the team. It waits at most Params.MaxWait.
func (l *Limiter) Take(ctx context.Context, team string) error {
	// A view that changes while a decision is made voids the decision; the
	// token is lost and the request tries again.
	const attempts = 3
	for range attempts {
		if !l.freshness.Fresh() {
			return refusal.New(refusal.NotFresh, nil)
		}
		t, view := l.wait(ctx, team)
		switch t.Decision {
		case Granted:
			if !l.freshness.Fresh() {
				return refusal.New(refusal.NotFresh, nil)
			}
			if sameVersions(l.viewer.View(), view) {
				return nil
			}
		case Unreachable:
			return refusal.New(refusal.RateUnavailable, nil)
		case Stale:
			return refusal.New(refusal.NotFresh, nil)
		default:
			return refusal.After(refusal.RateExceeded, t.RetryAfter)
		}
	}
	return refusal.New(refusal.NotFresh, nil)
}

func sameVersions(a, b *control.View) bool {
	return a == b || a.Config.Version == b.Config.Version && a.Membership.Version == b.Membership.Version
}

// wait returns a decided ticket and the view that the decision was based on.
func (l *Limiter) wait(ctx context.Context, team string) (*Ticket, *control.View) {
	e := l.locked(team)
	if e == nil {
		return &Ticket{Decision: Exceeded, RetryAfter: l.params.MaxWait}, nil
	}
	now := l.clock.SinceBoot()
	deadline := now + l.params.MaxWait
	if d, ok := ctx.Deadline(); ok {
		// At least half of the request's time is left for the target.
		deadline = min(deadline, now+d.Sub(l.clock.Now())/2)
	}
	l.historyMu.RLock()
	t := e.pool.Take(now, deadline)
	l.historyMu.RUnlock()
	l.poll(e)
	if t.Decision != Waiting {
		defer e.mu.Unlock()
		return t, e.view
	}
	done := make(chan *control.View, 1)
	t.Decided = func() { done <- e.view }
	e.mu.Unlock()
	select {
	case v := <-done:
		return t, v
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pool.Cancel(t)
	return t, e.view
}

// locked returns the entry of the team with its mutex held, or nil when the
// configuration has no such team.
func (l *Limiter) locked(team string) *entry {
	for {
		l.mu.RLock()
		e := l.entries[team]
		l.mu.RUnlock()
		if e == nil {
			e = l.create(team)
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

func (l *Limiter) create(team string) *entry {
	v := l.observe()
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
	e := &entry{team: team, pool: pool, view: v}
	e.timer = timer{entry: e, index: notScheduled}
	l.entries[team] = e
	return e
}

// poll advances the pool of e, whose mutex is held, and queues its messages.
func (l *Limiter) poll(e *entry) {
	for {
		e.view = l.observe()
		now := l.clock.SinceBoot()
		l.historyMu.RLock()
		messages, next := e.pool.Poll(now, l.freshness.Fresh())
		l.historyMu.RUnlock()
		failed := false
		for _, m := range messages {
			select {
			case l.jobs <- job{e, m}:
			default:
				e.pool.Reply(now, m, Reply{}, false)
				failed = true
			}
		}
		if !failed {
			l.schedule.set(&e.timer, next)
			return
		}
	}
}

// HandleBorrow answers the Borrow request of another instance.
func (l *Limiter) HandleBorrow(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	v := l.observe()
	e := l.lender(request.GetTeam(), v)
	if e == nil {
		return &peerpb.BorrowReply{}, nil
	}
	defer e.mu.Unlock()
	v = l.observe()
	now := l.clock.SinceBoot()
	l.historyMu.RLock()
	r := e.pool.Lend(now, l.freshness.Fresh(), request.GetFrom(), Message{
		Millitokens:         request.GetMillitokens(),
		ReturnedMillitokens: request.GetReturnedMillitokens(),
		ReturnedLoan:        request.GetReturnedLoan(),
	})
	l.historyMu.RUnlock()
	l.poll(e)
	if !sameVersions(l.viewer.View(), v) || !l.freshness.Fresh() {
		// The loan stays open here until it expires, and nobody spends it.
		return &peerpb.BorrowReply{Issuer: r.Issuer}, nil
	}
	return &peerpb.BorrowReply{
		Loan: r.Loan, Millitokens: r.Millitokens, LifeMs: r.Life.Milliseconds(),
		Issuer: r.Issuer, RetryMs: ceilMilliseconds(r.Retry),
	}, nil
}

// lender returns the locked entry of the team if this instance issues its
// tokens or has a pool already; a stranger's request makes no pool.
func (l *Limiter) lender(team string, v *control.View) *entry {
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
	return l.locked(team)
}

func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
