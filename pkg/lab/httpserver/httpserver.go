// Package httpserver runs the HTTP listeners of the simulators. Unlike a
// production server, it closes all connections at once, as a killed process does.
package httpserver

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"
)

// maxBodyBytes bounds request bodies. Stored objects are sent in one body each.
const maxBodyBytes = 64 << 20

// ListenError reports that the listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %q: %s", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Server serves one listener. Start and Close are not safe for concurrent use
// with each other.
type Server struct {
	address  string
	server   *fasthttp.Server
	listener net.Listener
	group    errgroup.Group

	mu     sync.Mutex
	closed bool
	// open are the open connections, which Close closes.
	open map[net.Conn]struct{}
}

// New returns a server for the address; port 0 selects a free port. A
// maxConnections of 0 means the default of fasthttp.
func New(address string, maxConnections int, handler fasthttp.RequestHandler) *Server {
	s := &Server{address: address, open: map[net.Conn]struct{}{}}
	s.server = &fasthttp.Server{
		Handler:            handler,
		ConnState:          s.track,
		Concurrency:        maxConnections,
		MaxRequestBodySize: maxBodyBytes,
		Logger:             log.New(io.Discard, "", 0),
		// Handlers get the body of every content type as it was sent.
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
	}
	return s
}

// Start opens the listener and serves it in the background. It fails with
// *ListenError.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.WithStack(&ListenError{Address: s.address, Cause: err})
	}
	s.listener = listener
	s.group.Go(func() error { return s.server.Serve(listener) })
	return nil
}

// Addr returns the address of the listener, IP:port, once Start has succeeded.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and every connection at once. Handlers that are
// still running end on their own.
func (s *Server) Close() error {
	if s.listener == nil {
		return nil
	}
	err := s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close() // the peer may have closed it already
	}
	s.mu.Unlock()
	return errors.CombineErrors(errors.WithStack(err), s.group.Wait())
}

// track records open connections; fasthttp calls it on each change of state.
func (s *Server) track(conn net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.open[conn] = struct{}{}
		if s.closed {
			_ = conn.Close()
		}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.open, conn)
	default:
	}
}

// Drop closes the connection without a response when the handler returns.
func Drop(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

// WriteJSON sets v as the JSON body of the response; the status stays as it is,
// 200 unless it was changed.
func WriteJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// ReadJSON decodes the request body into v; absent fields keep their values. If
// the body is not valid JSON for v, or has unknown fields or trailing data,
// ReadJSON responds with 400 and returns false.
func ReadJSON(ctx *fasthttp.RequestCtx, v any) bool {
	decoder := json.NewDecoder(bytes.NewReader(ctx.PostBody()))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	if decoder.More() {
		ctx.Error("data after the JSON value", fasthttp.StatusBadRequest)
		return false
	}
	return true
}
