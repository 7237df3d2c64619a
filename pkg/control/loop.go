package control

import (
	"context"
	"sync"

	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
)

// Loop runs the control state of one instance. Its methods are safe for
// concurrent use; those that need the control goroutine wait until Run has
// started.
type Loop struct {
	core     *core
	commands chan func()
	stopped  chan struct{}
	// work tracks the goroutines that Run waits for.
	work sync.WaitGroup
	// ctx is the context of Run; it ends asynchronous work. It is used on the
	// control goroutine only.
	ctx context.Context
}

// New returns a loop that is idle until Run.
func New(o Options) *Loop {
	l := &Loop{commands: make(chan func(), 64), stopped: make(chan struct{})}
	l.core = newCore(o, l.async)
	return l
}

// Run joins the fleet and maintains the control state until ctx ends. It
// returns nil and may be called once.
func (l *Loop) Run(ctx context.Context) error {
	l.ctx = ctx
	defer l.work.Wait()
	defer close(l.stopped)
	l.core.runDueTasks()
	l.work.Go(func() { l.runPeriodically(ctx) })
	for {
		select {
		case <-ctx.Done():
			return nil
		case command := <-l.commands:
			command()
		}
	}
}

func (l *Loop) runPeriodically(ctx context.Context) {
	for l.core.options.Clock.Sleep(ctx, checkInterval) == nil {
		if l.do(ctx, l.core.runDueTasks) != nil {
			return
		}
	}
}

// async implements asyncFunc. It is called on the control goroutine.
func (l *Loop) async(work func(ctx context.Context) func()) {
	ctx := l.ctx
	l.work.Go(func() {
		then := work(ctx)
		select {
		case l.commands <- then:
		case <-l.stopped:
		}
	})
}

// do runs f on the control goroutine and waits until it has returned.
func (l *Loop) do(ctx context.Context, f func()) error {
	done := make(chan struct{})
	command := func() {
		f()
		close(done)
	}
	select {
	case l.commands <- command:
	case <-l.stopped:
		return errors.WithStack(&StoppedError{})
	case <-ctx.Done():
		return errors.WithStack(&NoAnswerError{Cause: ctx.Err()})
	}
	select {
	case <-done:
		return nil
	case <-l.stopped:
		return errors.WithStack(&StoppedError{})
	case <-ctx.Done():
		return errors.WithStack(&NoAnswerError{Cause: ctx.Err()})
	}
}

// View returns the applied state. It is cheap and never returns nil.
func (l *Loop) View() *View { return l.core.view.Load() }

// MayServe reports whether this instance is a member or a guest and its fence is
// valid. It is cheap.
func (l *Loop) MayServe() bool { return l.core.mayServe() }

// HandleExchange answers a heartbeat. Errors: *StoppedError, *NoAnswerError.
func (l *Loop) HandleExchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	var reply *peerpb.ExchangeReply
	if err := l.do(ctx, func() { reply = l.core.handleExchange(req) }); err != nil {
		return nil, err
	}
	return reply, nil
}

// HandleFetch returns the head row and those documents that the requester
// lacks. It does not wait for the control goroutine. Errors: *StoppedError,
// *MalformedError.
func (l *Loop) HandleFetch(_ context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	d, err := l.documents()
	if err != nil {
		return nil, err
	}
	return d.encodeReply(req.Versions)
}

// Versions returns the applied version numbers, which every message to another
// instance must carry.
func (l *Loop) Versions() *peerpb.Versions { return versionsMessage(l.View().Head) }

// Observe handles the version numbers of a message that another component
// received from the incarnation at the peer address. It does not wait, and it
// is cheap when the numbers are not newer than the applied ones.
func (l *Loop) Observe(from, address string, v *peerpb.Versions) {
	theirs := fence.Versions{Config: v.GetConfig(), Membership: v.GetMembership()}
	if !theirs.NewerThan(versionsOf(l.View().Head)) {
		return
	}
	select {
	case l.commands <- func() { l.core.handleVersions(from, v, address) }:
	default:
		// The command queue is full; the next heartbeat carries the numbers again.
	}
}

// documents returns the documents that were last published. Errors: *StoppedError.
func (l *Loop) documents() (documents, error) {
	select {
	case <-l.stopped:
		return documents{}, errors.WithStack(&StoppedError{})
	default:
		return *l.core.snapshot.Load(), nil
	}
}

// Leave removes this instance from the membership and waits until the removal
// is delivered. The instance serves until it has applied the removal. Errors:
// *StoppedError, *NoAnswerError when ctx ends first, for example because the
// platform is unavailable.
func (l *Loop) Leave(ctx context.Context) error {
	if err := l.do(ctx, l.core.leave); err != nil {
		return err
	}
	return l.await(ctx, func() bool { return l.core.phase == phaseLeft && l.core.applied.row.Delivered })
}

// ReplaceMembership removes members that an operator declares gone after a
// majority of witnesses was lost, and waits until the change is delivered. The
// operator must be sure that these processes have ended: one that still runs
// may act on an old configuration. Errors: *UnknownMemberError,
// *MemberAliveError, *StoppedError, *NoAnswerError.
func (l *Loop) ReplaceMembership(ctx context.Context, gone []string) error {
	var declared error
	if err := l.do(ctx, func() { declared = l.core.declareGone(gone) }); err != nil {
		return err
	}
	if declared != nil {
		return declared
	}
	return l.await(ctx, func() bool { return l.core.applied.row.Delivered && !containsAny(l.core.applied.membership, gone) })
}

// containsAny reports whether any of the incarnations is a member.
func containsAny(m *membership.Membership, incarnations []string) bool {
	for _, id := range incarnations {
		if _, ok := m.Find(id); ok {
			return true
		}
	}
	return false
}

// await checks the condition on the control goroutine every checkInterval until
// it holds.
func (l *Loop) await(ctx context.Context, condition func() bool) error {
	for {
		holds := false
		if err := l.do(ctx, func() { holds = condition() }); err != nil || holds {
			return err
		}
		if err := l.core.options.Clock.Sleep(ctx, checkInterval); err != nil {
			return errors.WithStack(&NoAnswerError{Cause: err})
		}
	}
}
