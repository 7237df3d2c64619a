package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// ReleaseDelay is how long a release waits for a reserve request that can
	// carry it, before it is sent in a call of its own.
	ReleaseDelay = 5 * time.Millisecond
	// maxPendingReleases bounds the releases of one service that wait for a call.
	// Further ones are dropped; their reservations expire.
	maxPendingReleases = 1024
	// releaseRetryInterval is the time between attempts to send releases to a
	// dispatcher that does not answer.
	releaseRetryInterval = 50 * time.Millisecond
)

// client makes the calls to one remote dispatcher and holds the releases that are
// still to be sent to it.
type client struct {
	to membership.Member

	mu      sync.Mutex
	breaker Breaker
	// pending holds the ids to be released, by service.
	pending map[string][]uint64
	// busyUntil is the time until which each service counts as busy.
	busyUntil map[string]time.Duration
	// flushing is set for services for which flush runs.
	flushing map[string]bool
}

// client returns the client of a dispatcher and drops those of former members.
func (b *Balancer) client(to membership.Member, m *membership.Membership) *client {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.membership != m.Version {
		b.membership = m.Version
		for incarnation := range b.clients {
			if _, ok := m.Find(incarnation); !ok {
				delete(b.clients, incarnation)
			}
		}
	}
	c := b.clients[to.Incarnation]
	if c == nil {
		c = &client{
			to: to, pending: map[string][]uint64{}, flushing: map[string]bool{}, busyUntil: map[string]time.Duration{},
		}
		b.clients[to.Incarnation] = c
	}
	return c
}

// beginCall adds the pending releases of the service to the request and returns how
// long to wait for the reply. It returns false if calls are paused.
func (c *client) beginCall(now time.Duration, request *peerpb.ReserveRequest) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wait, ok := c.breaker.Allow(now)
	if ok {
		request.Released = c.pending[request.Service]
		delete(c.pending, request.Service)
	}
	return wait, ok
}

// answered records a reply and its round trip.
func (c *client) answered(now, roundTrip time.Duration, inTime bool, service string, reply *peerpb.ReserveReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Answered(roundTrip, inTime)
	if !reply.GetDispatcher() {
		c.breaker.Declined(now)
	}
	if reply.GetBusy() {
		c.busyUntil[service] = now + BusyFor
	}
}

func (c *client) unresponsive() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.breaker.Unresponsive()
}

func (c *client) busy(now time.Duration, service string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now < c.busyUntil[service]
}

// failed records that no reply came in time or that the call failed.
func (c *client) failed(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Failed(now)
}

// release records the end of a reservation. It is sent with the next request to
// the dispatcher, or by flush after ReleaseDelay.
func (c *client) release(b *Balancer, ref *reservationRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending[ref.service]) >= maxPendingReleases {
		return
	}
	c.pending[ref.service] = append(c.pending[ref.service], ref.id)
	if !c.flushing[ref.service] {
		c.flushing[ref.service] = true
		go c.flush(b, ref.service)
	}
}

// flush sends the releases that no request has carried, and those whose call
// failed, until none is left or the dispatcher is no longer a member. Slots that
// are not released would make the service look full.
func (c *client) flush(b *Balancer, service string) {
	pause := ReleaseDelay
	for {
		_ = b.clock.Sleep(context.Background(), pause)
		c.mu.Lock()
		released := c.pending[service]
		delete(c.pending, service)
		_, member := b.viewer.View().Membership.Find(c.to.Incarnation)
		if len(released) == 0 || !member {
			delete(c.flushing, service)
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		_, err := c.send(b, &peerpb.ReserveRequest{
			From: b.viewer.View().Self.Incarnation, Service: service, Released: released, ReleaseOnly: true,
		})
		pause = ReleaseDelay
		if err != nil {
			pause = releaseRetryInterval
		}
	}
}

// send makes one call. If it fails, the releases of the request are pending again.
func (c *client) send(b *Balancer, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := b.sender.SendReserve(ctx, c.to, request)
	if err != nil {
		for _, id := range request.Released {
			c.release(b, &reservationRef{service: request.Service, id: id})
		}
	}
	return reply, err
}
