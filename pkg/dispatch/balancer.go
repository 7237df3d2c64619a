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

// ReserveSender sends a request to a remote dispatcher. Implementations fill in
// the versions of the request and process those of the reply.
type ReserveSender interface {
	SendReserve(ctx context.Context, to membership.Member, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
}

// callTimeout bounds one call. It is longer than the time for which a request
// waits, so that the round trip of a late answer is measured too. The slot that
// a late answer reserves is released.
const callTimeout = 250 * time.Millisecond

// Balancer asks the dispatcher of each service for a target. Without an answer
// in time it uses the target that the wrapped balancer chose. It implements
// proxy.Balancer and is safe for concurrent use.
type Balancer struct {
	inner     proxy.Balancer
	clock     clock.Clock
	viewer    control.Viewer
	standings Standings
	local     *Dispatcher
	sender    ReserveSender
	options   Options
	counters  counters
	// ids holds the last request id.
	ids atomic.Uint64

	mu sync.Mutex
	// membership is the membership version up to which clients are pruned.
	membership int64
	// clients holds the client of each remote dispatcher by incarnation.
	clients map[string]*client
}

var _ proxy.Balancer = (*Balancer)(nil)

// counters count outcomes; see BalancerDump.
type counters struct{ granted, reported, late, paused, unusable, full, refused atomic.Uint64 }

// NewBalancer wraps inner. local is the dispatcher of this instance, which is
// called directly instead of through sender.
func NewBalancer(
	c clock.Clock, viewer control.Viewer, standings Standings, inner proxy.Balancer, local *Dispatcher, sender ReserveSender,
	options Options,
) *Balancer {
	b := &Balancer{
		inner: inner, clock: c, viewer: viewer, standings: standings, local: local, sender: sender,
		options: options.withDefaults(), clients: map[string]*client{},
	}
	local.SetUnresponsiveCheck(b.unresponsive)
	return b
}

// TakeRetry takes one retry from the route's retry budget of the wrapped balancer
// and reports whether it was available.
func (b *Balancer) TakeRetry(r proxy.Request) bool { return b.inner.TakeRetry(r) }

// Acquire chooses a target that is not in tried. It waits for the dispatcher's
// answer for the typical round trip plus AnswerSlack, and longer only while the
// dispatcher says that all targets are full. Errors are *refusal.Refusal: those
// of the wrapped balancer, and overloaded if no slot was free within MaxWait or
// before the request's deadline, or if the dispatcher's queue was full.
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
	if r.Idempotent && !b.options.AlwaysReserve && b.mayPlaceLocally(r.Service, start) {
		return b.reportPlaced(request, r.Deadline, fallback), nil
	}
	end := min(start+b.options.MaxWait, r.Deadline)
	for {
		reply, client := b.ask(request, r.Deadline)
		switch {
		case reply.GetTarget() != "":
			return b.useGrant(r, tried, fallback, &reservationRef{client: client, service: r.Service, target: reply.Target, id: request.Id})
		case !reply.GetFull():
			return b.fallBack(r, tried, fallback)
		}
		// While the request waits, it must not count as in flight at a target.
		discard(fallback)
		fallback = nil
		retry := time.Duration(reply.RetryUs) * time.Microsecond
		if !reply.Waiting || b.clock.SinceBoot()+retry >= end {
			b.counters.refused.Add(1)
			if reply.Waiting {
				b.release(&reservationRef{client: client, service: r.Service, id: request.Id})
			}
			return nil, errors.WithStack(refusal.WithRetryAfter(refusal.Overloaded, retry))
		}
		b.counters.full.Add(1)
		_ = b.clock.Sleep(context.Background(), retry)
	}
}

// onTrial reports whether the target is on trial. The wrapped balancer alone
// decides which requests are trials.
func (b *Balancer) onTrial(service, target string) bool {
	s := b.standings.Standings(service)
	return s != nil && s.Targets[target].State == peerpb.TargetState_TARGET_STATE_TRIAL
}

// useGrant acquires the granted target from the wrapped balancer, which may
// refuse it: it has newer drain signals and knows this instance's connections.
func (b *Balancer) useGrant(r proxy.Request, tried []string, fallback proxy.Attempt, ref *reservationRef) (proxy.Attempt, error) {
	if fallback != nil && fallback.Target() == ref.target {
		b.counters.granted.Add(1)
		return &attempt{Attempt: fallback, balancer: b, reservationRef: ref}, nil
	}
	chosen, err := b.inner.Acquire(r, b.others(r.Service, ref.target))
	if err != nil {
		b.counters.unusable.Add(1)
		b.release(ref)
		return b.fallBack(r, tried, fallback)
	}
	discard(fallback)
	b.counters.granted.Add(1)
	return &attempt{Attempt: chosen, balancer: b, reservationRef: ref}, nil
}

// fallBack returns the attempt of the wrapped balancer. A request that waited for
// a slot has discarded it and acquires a new one.
func (b *Balancer) fallBack(r proxy.Request, tried []string, fallback proxy.Attempt) (proxy.Attempt, error) {
	if fallback != nil {
		return fallback, nil
	}
	return b.inner.Acquire(r, tried)
}

// discard ends an attempt for which nothing was sent.
func discard(a proxy.Attempt) {
	if a != nil {
		a.Done(proxy.Canceled, 0, proxy.Load{})
	}
}

// others lists all targets of the service except one, to exclude them. The list
// is never empty, because a wrapped balancer takes an empty one for the first
// attempt of a request, which adds to the retry budget and may be a trial.
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

// endpoint is the dispatcher of a service as this instance reaches it.
type endpoint struct {
	// self is set if this instance is the dispatcher; client is nil then.
	self   bool
	client *client
	// wait is the maximum wait for the answer.
	wait time.Duration
}

// endpoint finds the dispatcher, or its stand-in while the dispatcher is
// unresponsive, and adds the pending releases for it to the request. It returns
// false if calls to it are paused.
func (b *Balancer) endpoint(now time.Duration, request *peerpb.ReserveRequest) (endpoint, bool) {
	view := b.viewer.View()
	for _, to := range b.local.dispatcherCache.dispatchers(view.Membership, request.Service) {
		if to.Incarnation == view.Self.Incarnation {
			return endpoint{self: true}, true
		}
		c := b.client(to, view.Membership)
		if wait, ok := c.beginCall(now, request); ok {
			return endpoint{client: c, wait: wait}, true
		}
		if !c.unresponsive() {
			break
		}
	}
	b.counters.paused.Add(1)
	return endpoint{}, false
}

// unresponsive reports whether a member has stopped answering this instance.
func (b *Balancer) unresponsive(member membership.Member) bool {
	return b.client(member, b.viewer.View().Membership).unresponsive()
}

// mayPlaceLocally reports whether the wrapped balancer may choose the targets of
// idempotent requests. If this instance is the dispatcher, it reserves for all
// requests, because that costs no time.
func (b *Balancer) mayPlaceLocally(service string, now time.Duration) bool {
	view := b.viewer.View()
	for _, to := range b.local.dispatcherCache.dispatchers(view.Membership, service) {
		if to.Incarnation == view.Self.Incarnation {
			return false
		}
		c := b.client(to, view.Membership)
		if !c.unresponsive() {
			return !c.busy(now, service)
		}
	}
	return true
}

// ask returns the dispatcher's reply, or nil if there was none in time. The client
// is nil if this instance is the dispatcher.
func (b *Balancer) ask(request *peerpb.ReserveRequest, deadline time.Duration) (*peerpb.ReserveReply, *client) {
	now := b.clock.SinceBoot()
	request.From, request.LifeMs = b.viewer.View().Self.Incarnation, max((deadline-now).Milliseconds(), 1)
	endpoint, ok := b.endpoint(now, request)
	switch {
	case !ok:
		return nil, nil
	case endpoint.self:
		return b.local.HandleReserve(request), nil
	}
	reply := b.call(endpoint.client, request, now, endpoint.wait)
	if reply == nil {
		b.counters.late.Add(1)
	}
	return reply, endpoint.client
}

// call waits for the reply no longer than wait. Without a reply in time, it
// releases the request's slot, which the dispatcher may have reserved anyway.
func (b *Balancer) call(c *client, request *peerpb.ReserveRequest, asked, wait time.Duration) *peerpb.ReserveReply {
	var mu sync.Mutex
	var reply *peerpb.ReserveReply
	var abandoned bool
	// The request may be modified for the next call while this one is in progress.
	sent := proto.CloneOf(request)
	waiting, answered := context.WithCancel(context.Background())
	go func() {
		defer answered()
		got, err := c.send(b, sent)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		now := b.clock.SinceBoot()
		c.answered(now, now-asked, !abandoned, sent.Service, got)
		if !abandoned {
			reply = got
		}
	}()
	_ = b.clock.Sleep(waiting, wait)
	mu.Lock()
	defer mu.Unlock()
	if reply == nil {
		abandoned = true
		c.failed(b.clock.SinceBoot())
		c.release(b, &reservationRef{service: sent.Service, id: sent.Id})
	}
	return reply
}

// reservationRef identifies a reservation or a waiting request at a dispatcher.
// client is nil if this instance is the dispatcher.
type reservationRef struct {
	client  *client
	service string
	target  string
	id      uint64
}

// release gives the slot back to the dispatcher, or ends the wait for one.
func (b *Balancer) release(ref *reservationRef) {
	if ref.client != nil {
		ref.client.release(b, ref)
		return
	}
	b.local.HandleReserve(&peerpb.ReserveRequest{
		From: b.viewer.View().Self.Incarnation, Service: ref.service, Released: []uint64{ref.id}, ReleaseOnly: true,
	})
}

// attempt is an attempt at a reserved target.
type attempt struct {
	proxy.Attempt
	balancer       *Balancer
	reservationRef *reservationRef
	done           atomic.Bool
}

// Withdrawn reports whether the target has gone out of use since the choice.
func (a *attempt) Withdrawn() bool { return proxy.IsWithdrawn(a.Attempt) }

// Done reports the result and releases the slot. Calls after the first have no
// effect.
func (a *attempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	if a.done.Swap(true) {
		return
	}
	a.Attempt.Done(result, latency, load)
	a.balancer.release(a.reservationRef)
}
