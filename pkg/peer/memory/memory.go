// Package memory is an in-process transport between instances for tests. It can
// drop and delay messages in one direction and pause the delivery to an address.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
)

// link is one direction of the path between two addresses.
type link struct{ from, to string }

// Network connects handlers by address.
type Network struct {
	mu       sync.Mutex
	handlers map[string]peer.Handler
	cuts     map[link]bool
	delays   map[link]time.Duration
	// paused holds a channel for each paused address, which is closed when
	// delivery resumes.
	paused map[string]chan struct{}
}

// NewNetwork returns a network without faults.
func NewNetwork() *Network {
	return &Network{
		handlers: map[string]peer.Handler{}, cuts: map[link]bool{},
		delays: map[link]time.Duration{}, paused: map[string]chan struct{}{},
	}
}

// Register makes the handler serve the address; a nil handler stops serving it.
func (n *Network) Register(address string, handler peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler
}

// Cut starts or stops dropping everything that is sent from one address to the
// other. To drop the replies, cut the opposite direction.
func (n *Network) Cut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[link{from, to}] = cut
}

// Delay delays everything that is sent from one address to the other by d.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{from, to}] = d
}

// Pause pauses or resumes all delivery to the address.
func (n *Network) Pause(address string, pause bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	resumed, isPaused := n.paused[address]
	switch {
	case pause && !isPaused:
		n.paused[address] = make(chan struct{})
	case !pause && isPaused:
		close(resumed)
		delete(n.paused, address)
	}
}

// Transport returns the transport of the instance at the address.
func (n *Network) Transport(address string) peer.Transport { return &transport{net: n, from: address} }

func (n *Network) handler(address string) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[address]
}

// awaitDelivery blocks until a message would be delivered on the link. On a cut
// link it blocks until ctx ends.
func (n *Network) awaitDelivery(ctx context.Context, from, to string) error {
	n.mu.Lock()
	cut, delay, paused := n.cuts[link{from, to}], n.delays[link{from, to}], n.paused[to]
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return ctx.Err()
	}
	if paused != nil {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-paused:
		}
	}
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	return ctx.Err()
}

// NotServedError reports that no handler serves an address.
type NotServedError struct{ Address string }

// Error includes the address.
func (e *NotServedError) Error() string { return "no handler is registered for " + e.Address }

// transport sends calls from one address.
type transport struct {
	net  *Network
	from string
}

// call delivers the request, calls the method of the handler at the address and
// delivers the reply.
func call[Q, R any](ctx context.Context, t *transport, to string, method func(peer.Handler) func(context.Context, Q) (R, error), req Q) (R, error) {
	var zero R
	unreachable := func(cause error) (R, error) {
		return zero, errors.WithStack(&peer.UnreachableError{Address: to, Cause: cause})
	}
	if err := t.net.awaitDelivery(ctx, t.from, to); err != nil {
		return unreachable(err)
	}
	handler := t.net.handler(to)
	if handler == nil {
		return unreachable(&NotServedError{Address: to})
	}
	reply, err := method(handler)(ctx, req)
	if err != nil {
		return unreachable(err)
	}
	if err := t.net.awaitDelivery(ctx, to, t.from); err != nil {
		return unreachable(err)
	}
	return reply, nil
}

// Exchange calls the handler at the address.
func (t *transport) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return call(ctx, t, address, func(h peer.Handler) func(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
		return h.Exchange
	}, req)
}

// Fetch calls the handler at the address.
func (t *transport) Fetch(ctx context.Context, address string, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(ctx, t, address, func(h peer.Handler) func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
		return h.Fetch
	}, req)
}

// Borrow calls the handler at the address.
func (t *transport) Borrow(ctx context.Context, address string, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return call(ctx, t, address, func(h peer.Handler) func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
		return h.Borrow
	}, req)
}

// Report calls the handler at the address.
func (t *transport) Report(ctx context.Context, address string, req *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return call(ctx, t, address, func(h peer.Handler) func(context.Context, *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
		return h.Report
	}, req)
}

// Reserve calls the handler at the address.
func (t *transport) Reserve(ctx context.Context, address string, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call(ctx, t, address, func(h peer.Handler) func(context.Context, *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
		return h.Reserve
	}, req)
}
