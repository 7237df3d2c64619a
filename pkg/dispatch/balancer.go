package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
)

// Caller brings a request to the dispatcher. Implementations fill in the
// versions of the request and handle those of the reply.
type Caller interface {
	SendReserve(ctx context.Context, to membership.Member, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
}

// callLimit bounds one call. An answer that comes after the request's wait
// still gives its slot back and tells the round trip.
const callLimit = 250 * time.Millisecond

// Balancer asks the dispatcher of each service for a target. Without an answer
// in time it uses the choice of the balancer that it wraps. It implements
// proxy.Balancer and is safe for concurrent use.
type Balancer struct {
	inner     proxy.Balancer
	clock     clock.Clock
	viewer    control.Viewer
	standings Standings
	own       *Dispatcher
	caller    Caller
	options   Options
	counters  counters
	ids       atomic.Uint64

	mu         sync.Mutex
	membership int64
	lines      map[string]*line
}

var _ proxy.Balancer = (*Balancer)(nil)

type counters struct{ granted, told, late, paused, unusable, full, refused atomic.Uint64 }

// NewBalancer wraps inner. own is this instance's dispatcher, which answers
// without a message.
func NewBalancer(
	c clock.Clock, viewer control.Viewer, standings Standings, inner proxy.Balancer, own *Dispatcher, caller Caller,
	options Options,
) *Balancer {
	b := &Balancer{
		inner: inner, clock: c, viewer: viewer, standings: standings, own: own, caller: caller,
		options: options.withDefaults(), lines: map[string]*line{},
	}
	own.ObserveSilence(b.silent)
	return b
}

// MayRetry spends the route's retry budget.
func (b *Balancer) MayRetry(r proxy.Request) bool { return b.inner.MayRetry(r) }

// Acquire chooses a target that is not in tried. It waits for the dispatcher's
// answer for the usual round trip plus Slack, and longer only while the
// dispatcher says that all targets are full. Errors are *refusal.Refusal:
// those of the wrapped balancer, and overloaded after MaxWait.
func (b *Balancer) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	fallback, err := b.inner.Acquire(r, tried)
	if err != nil || b.onTrial(r.Service, fallback.Target()) {
		return fallback, err
	}
	request := &peerpb.ReserveRequest{
		Service: r.Service, Team: r.Team, Batch: r.Batch, Idempotent: r.Idempotent, Tried: tried,
		Id: b.ids.Add(1),
	}
	start := b.clock.SinceBoot()
	if r.Idempotent && !b.options.All && b.calm(r.Service, start) {
		return b.tell(request, r.Deadline, fallback), nil
	}
	end := min(start+b.options.MaxWait, r.Deadline)
	for {
		reply, line := b.ask(request, r.Deadline)
		switch {
		case reply.GetTarget() != "":
			return b.use(r, tried, fallback, &place{line: line, service: r.Service, target: reply.Target, id: request.Id})
		case !reply.GetFull():
			return b.fallBack(r, tried, fallback)
		}
		// A request that waits must not count as a request at a target.
		discard(fallback)
		fallback = nil
		retry := time.Duration(reply.RetryUs) * time.Microsecond
		if !reply.Waiting || b.clock.SinceBoot()+retry >= end {
			b.counters.refused.Add(1)
			if reply.Waiting {
				b.release(&place{line: line, service: r.Service, id: request.Id})
			}
			return nil, errors.WithStack(refusal.After(refusal.Overloaded, retry))
		}
		b.counters.full.Add(1)
		_ = b.clock.Sleep(context.Background(), retry)
	}
}

// onTrial tells whether the target is on trial. The wrapped balancer alone
// decides about trials.
func (b *Balancer) onTrial(service, target string) bool {
	s := b.standings.Standings(service)
	return s != nil && s.Targets[target].State == peerpb.TargetState_TARGET_STATE_TRIAL
}

// use takes the granted target. The wrapped balancer has the last word: it
// knows newer drain signals and its own connections.
func (b *Balancer) use(r proxy.Request, tried []string, fallback proxy.Attempt, p *place) (proxy.Attempt, error) {
	if fallback != nil && fallback.Target() == p.target {
		b.counters.granted.Add(1)
		return &attempt{Attempt: fallback, balancer: b, place: p}, nil
	}
	chosen, err := b.inner.Acquire(r, b.others(r.Service, p.target))
	if err != nil {
		b.counters.unusable.Add(1)
		b.release(p)
		return b.fallBack(r, tried, fallback)
	}
	discard(fallback)
	b.counters.granted.Add(1)
	return &attempt{Attempt: chosen, balancer: b, place: p}, nil
}

// fallBack returns the choice of the wrapped balancer, which a request that
// waited for a slot has given up before.
func (b *Balancer) fallBack(r proxy.Request, tried []string, fallback proxy.Attempt) (proxy.Attempt, error) {
	if fallback != nil {
		return fallback, nil
	}
	return b.inner.Acquire(r, tried)
}

// discard gives up an attempt to which nothing was written.
func discard(a proxy.Attempt) {
	if a != nil {
		a.Done(proxy.Canceled, 0, proxy.Load{})
	}
}

// others lists all targets of the service but one, to exclude them. The list
// is never empty, because a wrapped balancer may take an empty one for a first
// attempt, which earns retries and may go to a target on trial.
func (b *Balancer) others(service, target string) []string {
	targets := b.viewer.View().Config.Config.Services[service].Targets
	others := make([]string, 0, len(targets)+1)
	for name := range targets {
		if name != target {
			others = append(others, name)
		}
	}
	return append(others, "")
}

// way is how to reach the dispatcher of a service.
type way struct {
	// self tells that this instance dispatches; line is nil then.
	self bool
	line *line
	// wait bounds the wait for the answer.
	wait time.Duration
}

// way finds the dispatcher, or the instance that stands in while the
// dispatcher is silent, and adds the pending releases for it to the request.
// It returns false when neither may be asked now.
func (b *Balancer) way(now time.Duration, request *peerpb.ReserveRequest) (way, bool) {
	view := b.viewer.View()
	for _, to := range b.own.roles.dispatchers(view.Membership, request.Service) {
		if to.Incarnation == view.Self.Incarnation {
			return way{self: true}, true
		}
		l := b.line(to, view.Membership)
		if wait, ok := l.ask(now, request); ok {
			return way{line: l, wait: wait}, true
		}
		if !l.silent() {
			break
		}
	}
	b.counters.paused.Add(1)
	return way{}, false
}

// silent tells whether a member gave no answers to this instance lately.
func (b *Balancer) silent(member membership.Member) bool {
	return b.line(member, b.viewer.View().Membership).silent()
}

// calm tells whether the wrapped balancer may place idempotent requests. The
// dispatcher itself reserves for all, because that costs no time.
func (b *Balancer) calm(service string, now time.Duration) bool {
	view := b.viewer.View()
	for _, to := range b.own.roles.dispatchers(view.Membership, service) {
		if to.Incarnation == view.Self.Incarnation {
			return false
		}
		l := b.line(to, view.Membership)
		if !l.silent() {
			return !l.busy(now, service)
		}
	}
	return true
}

// ask returns the dispatcher's answer, or nil without one in time.
func (b *Balancer) ask(request *peerpb.ReserveRequest, deadline time.Duration) (*peerpb.ReserveReply, *line) {
	now := b.clock.SinceBoot()
	request.From, request.LifeMs = b.viewer.View().Self.Incarnation, max((deadline-now).Milliseconds(), 1)
	way, ok := b.way(now, request)
	switch {
	case !ok:
		return nil, nil
	case way.self:
		return b.own.HandleReserve(request), nil
	}
	reply := b.call(way.line, request, now, way.wait)
	if reply == nil {
		b.counters.late.Add(1)
	}
	return reply, way.line
}

// call waits for the answer no longer than wait. Without an answer in time the
// dispatcher may have reserved a slot all the same, so it is released.
func (b *Balancer) call(l *line, request *peerpb.ReserveRequest, asked, wait time.Duration) *peerpb.ReserveReply {
	var mu sync.Mutex
	var reply *peerpb.ReserveReply
	var abandoned bool
	// The request is changed for the next ask, maybe while this call is made.
	sent := proto.CloneOf(request)
	waiting, answered := context.WithCancel(context.Background())
	go func() {
		defer answered()
		got, err := l.send(b, sent)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		now := b.clock.SinceBoot()
		l.answered(now, now-asked, !abandoned, sent.Service, got)
		if !abandoned {
			reply = got
		}
	}()
	_ = b.clock.Sleep(waiting, wait)
	mu.Lock()
	defer mu.Unlock()
	if reply == nil {
		abandoned = true
		l.failed(b.clock.SinceBoot())
		l.release(b, &place{service: sent.Service, id: sent.Id})
	}
	return reply
}

// place is a reservation. Its line is nil when this instance is the dispatcher.
type place struct {
	line    *line
	service string
	target  string
	id      uint64
}

func (b *Balancer) release(p *place) {
	if p.line != nil {
		p.line.release(b, p)
		return
	}
	b.own.HandleReserve(&peerpb.ReserveRequest{
		From: b.viewer.View().Self.Incarnation, Service: p.service, Released: []uint64{p.id}, ReleaseOnly: true,
	})
}

// attempt is an attempt at a reserved target.
type attempt struct {
	proxy.Attempt
	balancer *Balancer
	place    *place
	done     atomic.Bool
}

// Done reports the result and gives the slot back. Calls after the first have
// no effect.
func (a *attempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	if a.done.Swap(true) {
		return
	}
	a.Attempt.Done(result, latency, load)
	a.balancer.release(a.place)
}
