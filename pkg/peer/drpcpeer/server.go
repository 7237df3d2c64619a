// Package drpcpeer carries the calls between instances over drpc and TCP.
package drpcpeer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

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
	return ServeCounted(ctx, listener, handler, &Counters{})
}

// ServeCounted is Serve and counts the calls and their bytes in counters.
func ServeCounted(ctx context.Context, listener net.Listener, handler peer.Handler, counters *Counters) error {
	return serve(ctx, listener, handler, counters, fetchWriteTime)
}

func serve(ctx context.Context, listener net.Listener, handler peer.Handler, counters *Counters, writeTime time.Duration) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, handler); err != nil {
		return errors.WithStack(&ServeError{Cause: err})
	}
	counting := &countingHandler{Handler: mux, counters: counters, fetches: make(chan struct{}, maxServedFetches), writeTime: writeTime}
	server := drpcserver.NewWithOptions(counting, drpcserver.Options{Manager: managerOptions()})
	ctx, cancel := context.WithCancel(ctx)
	var connections sync.WaitGroup
	defer connections.Wait()
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		switch {
		case err == nil:
			connections.Go(func() {
				conn := &countedConn{Conn: raw}
				// The client sees the end of the connection.
				_ = server.ServeOne(withConn(ctx, conn), conn)
			})
		case ctx.Err() != nil:
			return nil
		case !temporary(err):
			return errors.WithStack(&ServeError{Cause: err})
		default:
			// Too few file descriptors, for example.
			time.Sleep(acceptRetry)
		}
	}
}

// acceptRetry is the wait after an error of Accept that passes by itself.
const acceptRetry = 100 * time.Millisecond

func temporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}
