// Package peer defines the calls between instances, apart from how they are
// transported.
package peer

import (
	"context"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
)

// Transport calls the instance at a peer address (IP:port). It is safe for
// concurrent use. Every call needs a context with a deadline. Errors:
// *UnreachableError; the instance may have executed the call all the same.
type Transport interface {
	Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	Fetch(ctx context.Context, address string, req *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	Borrow(ctx context.Context, address string, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Report(ctx context.Context, address string, req *peerpb.ReportRequest) (*peerpb.ReportReply, error)
	Reserve(ctx context.Context, address string, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
}

// Handler serves the calls of other instances. It has the methods of
// peerpb.DRPCPeerServer.
type Handler interface {
	Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	Fetch(ctx context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	Borrow(ctx context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	Report(ctx context.Context, req *peerpb.ReportRequest) (*peerpb.ReportReply, error)
	Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
}

// Handlers is a Handler that consists of one function per call. A call whose
// function is nil fails with *UnsupportedError.
type Handlers struct {
	OnExchange func(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error)
	OnFetch    func(context.Context, *peerpb.FetchRequest) (*peerpb.FetchReply, error)
	OnBorrow   func(context.Context, *peerpb.BorrowRequest) (*peerpb.BorrowReply, error)
	OnReport   func(context.Context, *peerpb.ReportRequest) (*peerpb.ReportReply, error)
	OnReserve  func(context.Context, *peerpb.ReserveRequest) (*peerpb.ReserveReply, error)
}

// Exchange calls OnExchange.
func (h Handlers) Exchange(ctx context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return handle(ctx, "exchange", h.OnExchange, req)
}

// Fetch calls OnFetch.
func (h Handlers) Fetch(ctx context.Context, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return handle(ctx, "fetch", h.OnFetch, req)
}

// Borrow calls OnBorrow.
func (h Handlers) Borrow(ctx context.Context, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return handle(ctx, "borrow", h.OnBorrow, req)
}

// Report calls OnReport.
func (h Handlers) Report(ctx context.Context, req *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return handle(ctx, "report", h.OnReport, req)
}

// Reserve calls OnReserve.
func (h Handlers) Reserve(ctx context.Context, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return handle(ctx, "reserve", h.OnReserve, req)
}

// handle passes the request to the function that serves the call.
func handle[Q, R any](ctx context.Context, call string, serve func(context.Context, Q) (R, error), req Q) (R, error) {
	if serve == nil {
		var zero R
		return zero, errors.WithStack(&UnsupportedError{Call: call})
	}
	return serve(ctx, req)
}

// UnreachableError reports that a call to an instance got no response.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error includes the address and the cause.
func (e *UnreachableError) Error() string {
	return "no response from the instance at " + e.Address + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnsupportedError reports that an instance does not serve a kind of call.
type UnsupportedError struct{ Call string }

// Error includes the call.
func (e *UnsupportedError) Error() string { return "call " + e.Call + " is not supported" }
