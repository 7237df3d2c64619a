package dispatch

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// reportPlaced tells the dispatcher which target the wrapped balancer has chosen
// for a request. The request does not wait for the call.
func (b *Balancer) reportPlaced(request *peerpb.ReserveRequest, deadline time.Duration, chosen proxy.Attempt) proxy.Attempt {
	now := b.clock.SinceBoot()
	request.From, request.LifeMs = b.viewer.View().Self.Incarnation, max((deadline-now).Milliseconds(), 1)
	request.Chosen = chosen.Target()
	endpoint, ok := b.endpoint(now, request)
	if !ok || endpoint.self {
		return chosen
	}
	c := endpoint.client
	go func() {
		reply, err := c.send(b, request)
		after := b.clock.SinceBoot()
		inTime := err == nil && after-now <= endpoint.wait
		if err == nil {
			c.answered(after, after-now, inTime, request.Service, reply)
			b.counters.reported.Add(1)
		}
		if !inTime {
			c.failed(after)
		}
	}()
	return &attempt{Attempt: chosen, balancer: b, reservationRef: &reservationRef{client: c, service: request.Service, id: request.Id}}
}
