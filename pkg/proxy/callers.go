package proxy

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
)

const (
	// closePollInterval is the time between two looks at the open connections
	// while a CallerServer shuts down.
	closePollInterval = 5 * time.Millisecond
	// firstRequestGrace is how long a shutdown leaves a new connection to its
	// first request, which a caller sends right after connecting.
	firstRequestGrace = 250 * time.Millisecond
)

// CallerServer serves callers and shuts down without cutting off a request that
// has arrived: fasthttp.Server closes an idle connection also when the kernel has
// already received a request on it.
type CallerServer struct {
	*fasthttp.Server

	// mu guards listener and open.
	mu       sync.Mutex
	listener net.Listener
	open     map[*callerConn]struct{}
}

func newCallerServer(s *fasthttp.Server) *CallerServer {
	c := &CallerServer{Server: s, open: map[*callerConn]struct{}{}}
	s.ConnState = c.trackState
	return c
}

// Serve accepts callers on ln until the server shuts down. It is called once.
func (s *CallerServer) Serve(ln net.Listener) error {
	tracked := &callerListener{Listener: daemon.TolerantListener{Listener: ln}, server: s}
	s.mu.Lock()
	s.listener = tracked
	s.mu.Unlock()
	return s.Server.Serve(tracked)
}

// Shutdown stops accepting connections, closes those without a request, and
// returns when all are closed, or with an error when ctx ends.
func (s *CallerServer) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		// Close fails only if the listener is closed already.
		_ = listener.Close()
	}
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for s.endIdle() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	return errors.WithStack(s.ShutdownWithContext(ctx))
}

// endIdle ends the connections that wait for a request, and returns the number of
// connections that were open.
func (s *CallerServer) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for c := range s.open {
		c.endIfIdle(now)
	}
	return len(s.open)
}

// trackState is fasthttp's ConnState hook.
func (s *CallerServer) trackState(conn net.Conn, state fasthttp.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateIdle:
		c.mu.Lock()
		c.idle, c.served = true, true
		c.mu.Unlock()
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}
}

// callerListener wraps the accepted connections and can be closed more than once.
type callerListener struct {
	net.Listener
	server *CallerServer
	once   sync.Once
	err    error
}

// Accept returns the next connection as a *callerConn.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &callerConn{Conn: conn, openedAt: time.Now(), idle: true, readTimeout: l.server.ReadTimeout}
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	l.server.open[c] = struct{}{}
	return c, nil
}

// Close closes the listener once.
func (l *callerListener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// callerConn is a connection of a caller that knows whether it waits for a request.
type callerConn struct {
	net.Conn
	openedAt    time.Time
	readTimeout time.Duration
	// readAllowance is the number of bytes that may still arrive for a part of a body,
	// or 0 without a bound. Only the goroutine that reads uses it.
	readAllowance int

	// mu guards the fields below. It is never held during a read.
	mu sync.Mutex
	// idle is set while no byte of a next request has been read, served once a
	// request has been answered.
	idle, served bool
	// ended is set when a shutdown has ended the wait for a request.
	ended bool
}

// NetConn returns the wrapped connection.
func (c *callerConn) NetConn() net.Conn { return c.Conn }

// endIfIdle ends the wait for a request, unless a new connection may still be
// about to send its first one. Read then checks what the kernel has received.
func (c *callerConn) endIfIdle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle || c.ended || (!c.served && now.Sub(c.openedAt) < firstRequestGrace) {
		return
	}
	c.ended = true
	// A failure means that the connection is closed already.
	_ = c.SetReadDeadline(now)
}

// Read reads from the connection. A wait for a request that ends by a timeout or
// by a shutdown is reported as the end of the connection, unless data has arrived
// meanwhile.
func (c *callerConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.mu.Lock()
		idle, ended := c.idle, c.ended
		arrived := n > 0 || (idle && err != nil && peek(c.Conn) == dataReceived)
		if idle && arrived {
			c.idle, c.ended = false, false
		}
		c.mu.Unlock()
		if !idle {
			return n, c.checkAllowance(n, err)
		}
		if arrived && ended {
			if err := c.SetReadDeadline(time.Now().Add(c.readTimeout)); err != nil {
				return n, err
			}
		}
		var timeout net.Error
		switch {
		case n > 0 || err == nil:
			return n, err
		case arrived && ended:
			continue
		case errors.As(err, &timeout) && timeout.Timeout():
			return 0, io.EOF
		default:
			return n, err
		}
	}
}

// FramingError says that a caller sent far more bytes than the body that they frame.
type FramingError struct{}

// Error describes the failure.
func (*FramingError) Error() string { return "the body's framing is larger than the body" }

// checkAllowance counts n bytes that were read with err.
func (c *callerConn) checkAllowance(n int, err error) error {
	if c.readAllowance == 0 || err != nil {
		return err
	}
	if c.readAllowance -= n; c.readAllowance <= 0 {
		c.readAllowance = 1
		return errors.WithStack(&FramingError{})
	}
	return nil
}
