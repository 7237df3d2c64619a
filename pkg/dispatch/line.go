package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// ReleaseDelay is how long a release waits for a request that carries it.
	ReleaseDelay = 5 * time.Millisecond
	// maxPending bounds the releases of one service that wait for a call. A
	// release that is dropped ends by its life.
	maxPending = 1024
	// retryRelease is the time between attempts to bring releases to a
	// dispatcher that does not answer.
	retryRelease = 50 * time.Millisecond
)

// line is the way to one dispatcher with the releases that it has yet to hear.
type line struct {
	to membership.Member

	mu      sync.Mutex
	path    Path
	pending map[string][]uint64
	// busyUntil is the time until which services count as busy.
	busyUntil map[string]time.Duration
	// flushing is set for services whose releases will be sent by themselves.
	flushing map[string]bool
}

// line returns the line to a dispatcher and forgets those to former members.
func (b *Balancer) line(to membership.Member, m *membership.Membership) *line {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.membership != m.Version {
		b.membership = m.Version
		for incarnation := range b.lines {
			if _, ok := m.Find(incarnation); !ok {
				delete(b.lines, incarnation)
			}
		}
	}
	l := b.lines[to.Incarnation]
	if l == nil {
		l = &line{
			to: to, pending: map[string][]uint64{}, flushing: map[string]bool{}, busyUntil: map[string]time.Duration{},
		}
		b.lines[to.Incarnation] = l
	}
	return l
}

// ask adds the pending releases of the service to the request.
func (l *line) ask(now time.Duration, request *peerpb.ReserveRequest) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.path.Ask(now)
	if ok {
		request.Released = l.pending[request.Service]
		delete(l.pending, request.Service)
	}
	return wait, ok
}

func (l *line) answered(now, roundTrip time.Duration, inTime bool, service string, reply *peerpb.ReserveReply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.path.Answered(roundTrip, inTime)
	if !reply.GetDispatcher() {
		l.path.Declined(now)
	}
	if reply.GetBusy() {
		l.busyUntil[service] = now + BusyFor
	}
}

func (l *line) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.path.Silent()
}

func (l *line) busy(now time.Duration, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now < l.busyUntil[service]
}

func (l *line) failed(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.path.Failed(now)
}

// release notes the end of a reservation. It is told with the next request to
// the dispatcher, or after ReleaseDelay.
func (l *line) release(b *Balancer, p *place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pending[p.service]) >= maxPending {
		return
	}
	l.pending[p.service] = append(l.pending[p.service], p.id)
	if !l.flushing[p.service] {
		l.flushing[p.service] = true
		go l.flush(b, p.service)
	}
}

// flush sends the releases that no request has carried, and those whose call
// failed, until the instance is no longer the dispatcher's peer. Slots that are
// not released would make the service look full.
func (l *line) flush(b *Balancer, service string) {
	pause := ReleaseDelay
	for {
		_ = b.clock.Sleep(context.Background(), pause)
		l.mu.Lock()
		released := l.pending[service]
		delete(l.pending, service)
		_, member := b.viewer.View().Membership.Find(l.to.Incarnation)
		if len(released) == 0 || !member {
			delete(l.flushing, service)
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
		_, err := l.send(b, &peerpb.ReserveRequest{
			From: b.viewer.View().Self.Incarnation, Service: service, Released: released, ReleaseOnly: true,
		})
		pause = ReleaseDelay
		if err != nil {
			pause = retryRelease
		}
	}
}

// send makes one call and keeps the releases of a failed one for the next.
func (l *line) send(b *Balancer, request *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	reply, err := b.caller.SendReserve(ctx, l.to, request)
	if err != nil {
		for _, id := range request.Released {
			l.release(b, &place{service: request.Service, id: id})
		}
	}
	return reply, err
}
