package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// told is an attempt at a target that the dispatcher did not choose but counts.
type told struct {
	proxy.Attempt
	balancer *Balancer
	done     atomic.Bool

	mu sync.Mutex
	// place is nil until the dispatcher's answer has come.
	place *place
	ended bool
}

// tell says to the dispatcher where the wrapped balancer has placed a request.
// The request does not wait for it.
func (b *Balancer) tell(request *peerpb.ReserveRequest, deadline time.Duration, chosen proxy.Attempt) proxy.Attempt {
	now := b.clock.SinceBoot()
	request.From, request.LifeMs = b.viewer.View().Self.Incarnation, max((deadline-now).Milliseconds(), 1)
	request.Chosen = chosen.Target()
	way, ok := b.way(now, request)
	if !ok || way.self {
		return chosen
	}
	l := way.line
	a := &told{Attempt: chosen, balancer: b}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callLimit)
		defer cancel()
		reply, err := b.caller.SendReserve(ctx, l.to, request)
		after := b.clock.SinceBoot()
		inTime := err == nil && after-now <= way.wait
		if err == nil {
			l.answered(after, after-now, inTime, request.Service, reply)
		}
		if !inTime {
			l.failed(after)
		}
		if reply.GetReservation() != 0 {
			b.counters.told.Add(1)
			a.counted(&place{line: l, service: request.Service, target: request.Chosen, id: reply.Reservation})
		}
	}()
	return a
}

// counted takes the dispatcher's answer.
func (a *told) counted(p *place) {
	a.mu.Lock()
	a.place = p
	ended := a.ended
	a.mu.Unlock()
	if ended {
		a.balancer.release(p)
	}
}

// Done reports the result and gives the slot back. Calls after the first have
// no effect.
func (a *told) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	if a.done.Swap(true) {
		return
	}
	a.Attempt.Done(result, latency, load)
	a.mu.Lock()
	a.ended = true
	p := a.place
	a.mu.Unlock()
	if p != nil {
		a.balancer.release(p)
	}
}
