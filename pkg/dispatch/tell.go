package dispatch

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

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
	go func() {
		reply, err := l.send(b, request)
		after := b.clock.SinceBoot()
		inTime := err == nil && after-now <= way.wait
		if err == nil {
			l.answered(after, after-now, inTime, request.Service, reply)
			b.counters.told.Add(1)
		}
		if !inTime {
			l.failed(after)
		}
	}()
	return &attempt{Attempt: chosen, balancer: b, place: &place{line: l, service: request.Service, id: request.Id}}
}
