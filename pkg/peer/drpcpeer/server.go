// Package drpcpeer transports the calls between instances by drpc over TCP.
package drpcpeer

import (
	"context"
	"net"
	"sync"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageBytes is the maximum size of a message. It allows for a configuration
// of 15 MB; that of the expected scale, 53,000 teams and 5,700 routes, has about
// 11 MB as JSON. The default of drpc is 4 MB.
const maxMessageBytes = 64 << 20

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// ServeError reports that the server stopped although its context has not ended.
type ServeError struct{ Cause error }

// Error includes the cause.
func (e *ServeError) Error() string { return "peer server: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ServeError) Unwrap() error { return e.Cause }

// Serve serves calls on the listener until ctx ends, then closes the listener.
// Errors: *ServeError.
func Serve(ctx context.Context, listener net.Listener, handler peer.Handler) error {
	return ServeCounted(ctx, listener, handler, &Counters{})
}

// ServeCounted is like Serve and counts the calls and their bytes in counters.
func ServeCounted(ctx context.Context, listener net.Listener, handler peer.Handler, counters *Counters) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.WithStack(&ServeError{Cause: err})
	}
	counting := &countingHandler{Handler: mux, counters: counters, fetches: make(chan struct{}, maxServedFetches)}
	server := drpcserver.NewWithOptions(counting, drpcserver.Options{Manager: managerOptions()})
	ctx, cancel := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer connections.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	accepting := daemon.TolerantListener{Listener: listener}
	for {
		raw, err := accepting.Accept()
		switch {
		case err == nil:
			connections.Go(func() {
				conn := &countedConn{Conn: raw}
				// On an error the connection ends, which the client notices.
				_ = server.ServeOne(withConn(ctx, conn), conn)
			})
		case ctx.Err() != nil:
			return nil
		default:
			return errors.WithStack(&ServeError{Cause: err})
		}
	}
}
