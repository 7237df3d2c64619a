package detour

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcmigrate"
)

// prefixTimeout is how long another instance may take for the first bytes of a connection,
// which tell calls from detours.
const prefixTimeout = 5 * time.Second

// Split serves the detours that arrive at a listener of calls between instances until ctx
// ends, and returns a listener for the calls. It ends with the given one.
func Split(ctx context.Context, listener net.Listener, detours *Server) net.Listener {
	mux := drpcmigrate.NewListenMux(prefixListener{listener}, len(Prefix))
	go detours.Serve(mux.Route(Prefix))
	// An error ends the returned listener, too.
	go func() { _ = mux.Run(ctx) }()
	return callListener{mux.Default(), listener}
}

// prefixListener bounds the time for the first bytes of each connection.
type prefixListener struct{ net.Listener }

// Accept waits for the next connection.
func (l prefixListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(prefixTimeout)) // fails only on a closed connection
	}
	return conn, err
}

// callListener ends the bound of prefixListener, and closes the whole listener.
type callListener struct {
	net.Listener
	whole net.Listener
}

// Accept waits for the next connection.
func (l callListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return conn, err
}

// Close closes the listener of calls and detours.
func (l callListener) Close() error { return l.whole.Close() }
