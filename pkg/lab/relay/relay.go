// Package relay forwards TCP connections to one address and injects network
// faults that can be switched at run time.
//
// The optional admin listener serves GET and POST /admin/faults (Faults), POST
// /admin/silence (Relay.BlackholeExisting) and GET /admin/stats (Stats).
package relay

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

const (
	anyLocalPort = "127.0.0.1:0"
	dialTimeout  = 5 * time.Second
)

// Options configure a Relay.
type Options struct {
	// Address is IP:port; empty selects a free port of 127.0.0.1.
	Address string
	// Target is the address that connections are forwarded to, IP:port.
	Target string
	// AdminAddress is IP:port; empty means no admin listener.
	AdminAddress string
	// Faults are the initial faults.
	Faults Faults
}

// ListenError reports that the listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string {
	return fmt.Sprintf("relay: listen on %q: %s", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Stats describe the connections of a relay.
type Stats struct {
	// Accepted counts connections since Start.
	Accepted int `json:"accepted"`
	// Open counts the connections being relayed, including the blackholed ones.
	// Blackholed counts the open connections that BlackholeExisting has affected.
	Open       int `json:"open"`
	Blackholed int `json:"silenced"`
	// DialFailures counts connections that were closed because the relay could
	// not connect to the target.
	DialFailures int `json:"dial_failures"`
}

// Relay forwards connections. Its methods are safe for concurrent use, except
// Start and Close with each other.
type Relay struct {
	options Options
	clock   clock.Clock
	// faultState holds the faults of all connections.
	faultState *faultState
	listener   net.Listener
	admin      *httpserver.Server
	// group contains the accept loop and one goroutine per connection.
	group sync.WaitGroup
	// context ends on Close.
	context context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	links map[*link]struct{}
	// faultsBySource holds the additional faults of connections by the IP address
	// of their client.
	faultsBySource map[string]*faultState
	accepted       int
	dialFailures   int
}

// New returns a relay that does not listen yet.
func New(o Options) *Relay {
	if o.Address == "" {
		o.Address = anyLocalPort
	}
	r := &Relay{options: o, clock: clock.System{}, links: map[*link]struct{}{}, faultState: newFaultState(), faultsBySource: map[string]*faultState{}}
	r.context, r.cancel = context.WithCancel(context.Background())
	if o.AdminAddress != "" {
		r.admin = httpserver.New(o.AdminAddress, 0, r.serveAdmin)
	}
	return r
}

// Start opens the listeners. It fails with *FaultsError when the initial
// faults are out of range, with *ListenError, and with *httpserver.ListenError
// for the admin listener.
func (r *Relay) Start() error {
	if err := r.SetFaults(r.options.Faults); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", r.options.Address)
	if err != nil {
		return errors.WithStack(&ListenError{Address: r.options.Address, Cause: err})
	}
	if r.admin != nil {
		if err := r.admin.Start(); err != nil {
			return errors.CombineErrors(err, listener.Close())
		}
	}
	r.listener = listener
	r.group.Go(r.accept)
	return nil
}

// Close closes the listeners and all connections, and waits for them to end.
func (r *Relay) Close() error {
	r.cancel()
	var err error
	if r.listener != nil {
		err = errors.WithStack(r.listener.Close())
	}
	if r.admin != nil {
		err = errors.CombineErrors(err, r.admin.Close())
	}
	r.group.Wait()
	return err
}

// Addr returns the address of the listener, IP:port.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// AdminAddr returns the address of the admin listener, IP:port.
func (r *Relay) AdminAddr() string { return r.admin.Addr() }

// SetFaults replaces the faults. It fails with *FaultsError.
func (r *Relay) SetFaults(f Faults) error {
	if err := f.validate(); err != nil {
		return errors.WithStack(err)
	}
	r.faultState.set(f)
	return nil
}

// Faults returns the current faults.
func (r *Relay) Faults() Faults {
	f, _ := r.faultState.get()
	return f
}

// SetSourceFaults replaces the faults of connections from one IP address. They
// apply in addition to the faults of all connections. It fails with *FaultsError.
func (r *Relay) SetSourceFaults(ip string, f Faults) error {
	if err := f.validate(); err != nil {
		return errors.WithStack(err)
	}
	r.sourceFaults(ip).set(f)
	return nil
}

// sourceFaults returns the fault state of an IP address and creates it if needed.
func (r *Relay) sourceFaults(ip string) *faultState {
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.faultsBySource[ip]
	if !ok {
		c = newFaultState()
		r.faultsBySource[ip] = c
	}
	return c
}

// BlackholeExisting blackholes the existing connections permanently: they stay
// open, but the relay forwards neither bytes nor the end of a stream. Later
// connections are not affected. A blackholed connection is freed once both ends
// have closed.
func (r *Relay) BlackholeExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.blackholed.Store(true)
		l.stopForwarding()
	}
}

// ResetExisting closes the existing connections with a TCP reset at both ends.
func (r *Relay) ResetExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		l.reset()
	}
}

// Stats returns the counts of connections.
func (r *Relay) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{Accepted: r.accepted, Open: len(r.links), DialFailures: r.dialFailures}
	for l := range r.links {
		if l.blackholed.Load() {
			s.Blackholed++
		}
	}
	return s
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			if r.context.Err() != nil {
				return
			}
			// The process is out of file descriptors, or the connection ended before
			// it was accepted. The pause prevents a busy loop.
			_ = r.clock.Sleep(r.context, 10*time.Millisecond)
			continue
		}
		r.mu.Lock()
		r.accepted++
		r.mu.Unlock()
		r.group.Go(func() { r.relay(client) })
	}
}

// relay connects to the target and relays one connection until it ends.
func (r *Relay) relay(client net.Conn) {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(r.context, "tcp", r.options.Target)
	if err != nil {
		r.mu.Lock()
		r.dialFailures++
		r.mu.Unlock()
		_ = client.Close()
		return
	}
	l := &link{relay: r, client: client, target: target, faultStates: [2]*faultState{r.faultState, r.sourceFaults(remoteIP(client))}}
	l.run(r.context)
}

func remoteIP(conn net.Conn) string {
	if tcp, ok := conn.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return ""
}

func (r *Relay) addLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links[l] = struct{}{}
}

func (r *Relay) removeLink(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) serveAdmin(ctx *fasthttp.RequestCtx) {
	switch path := string(ctx.Path()); {
	case path == "/admin/faults" && ctx.IsGet():
		httpserver.WriteJSON(ctx, r.Faults())
	case path == "/admin/faults" && ctx.IsPost():
		faults := r.Faults()
		if !httpserver.ReadJSON(ctx, &faults) {
			return
		}
		if err := r.SetFaults(faults); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		httpserver.WriteJSON(ctx, faults)
	case path == "/admin/silence" && ctx.IsPost():
		r.BlackholeExisting()
	case path == "/admin/stats" && ctx.IsGet():
		httpserver.WriteJSON(ctx, r.Stats())
	default:
		ctx.Error("no such resource", fasthttp.StatusNotFound)
	}
}
