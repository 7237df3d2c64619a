// Package drpcpeer carries the calls between instances over drpc and TCP.
package drpcpeer

import (
	"context"
	"net"

	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes admits a configuration of 53,000 teams and 5,700 routes,
// which is about 15 MB as JSON. The default of drpc is 4 MB.
const maxMessageBytes = 64 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// ServeError says that the server stopped although its context has not ended.
type ServeError struct{ Cause error }

// Error gives the cause.
func (e *ServeError) Error() string { return "peer server: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Serve answers calls on the listener until ctx ends, and closes the listener.
// Errors: *ServeError.
func Serve(ctx context.Context, listener net.Listener, handler peer.Handler) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.WithStack(&ServeError{Cause: err})
	}
	server := drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: managerOptions()})
	err := server.Serve(ctx, listener)
	if ctx.Err() != nil || err == nil {
		return nil
	}
	return errors.WithStack(&ServeError{Cause: err})
}
