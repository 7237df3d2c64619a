package drpcpeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcconn"
)

// class separates calls that must not wait for each other.
type class int

const (
	heartbeats class = iota
	fetches
	data
	reservations
	classes
)

// Connections per address and class. A connection carries one call at a time.
// Two heartbeat connections let a fresh one work while the other is silent.
var connectionsPerClass = [classes]int{heartbeats: 2, fetches: 1, data: 4, reservations: 4}

const (
	// defaultCallTimeout bounds a call whose context has no deadline.
	defaultCallTimeout = time.Second
	// idleLimit closes connections to instances that are no longer called.
	idleLimit = 30 * time.Second
)

// Client is a peer.Transport over TCP. Close it when it is no longer used.
type Client struct {
	dialer   net.Dialer
	counters Counters

	mu     sync.Mutex
	closed bool
	pools  map[poolKey]*pool
}

type poolKey struct {
	address string
	class   class
}

// pool holds the idle connections to one address; slots bounds all of them.
type pool struct {
	slots chan struct{}
	idle  []idleConn
}

type idleConn struct {
	conn  *clientConn
	since time.Time
}

// clientConn is a drpc connection with the counts of its TCP connection.
type clientConn struct {
	*drpcconn.Conn
	raw *countedConn
}

// NewClient returns a client without connections.
func NewClient() *Client { return NewClientFrom("") }

// NewClientFrom returns a client that connects from a local IP address; empty
// lets the operating system choose.
func NewClientFrom(sourceIP string) *Client {
	c := &Client{pools: map[poolKey]*pool{}}
	if ip := net.ParseIP(sourceIP); ip != nil {
		c.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return c
}

// ClosedError says that the client has been closed.
type ClosedError struct{}

// Error describes the state.
func (*ClosedError) Error() string { return "client is closed" }

// Exchange sends a heartbeat.
func (c *Client) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return call(ctx, c, address, exchange, peerpb.DRPCPeerClient.Exchange, req)
}

// Fetch asks for documents.
func (c *Client) Fetch(ctx context.Context, address string, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(ctx, c, address, fetch, peerpb.DRPCPeerClient.Fetch, req)
}

// Borrow asks for tokens.
func (c *Client) Borrow(ctx context.Context, address string, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return call(ctx, c, address, borrow, peerpb.DRPCPeerClient.Borrow, req)
}

// Report sends observations.
func (c *Client) Report(ctx context.Context, address string, req *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return call(ctx, c, address, report, peerpb.DRPCPeerClient.Report, req)
}

// Reserve asks a dispatcher for a slot.
func (c *Client) Reserve(ctx context.Context, address string, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call(ctx, c, address, reserve, peerpb.DRPCPeerClient.Reserve, req)
}

// classOf separates the kinds of calls.
var classOf = [kinds]class{exchange: heartbeats, fetch: fetches, borrow: data, report: data, reserve: reservations}

// Traffic counts the calls that this client has made and their bytes by kind.
func (c *Client) Traffic() map[string]Calls { return c.counters.Snapshot() }

func call[Q, R any](ctx context.Context, c *Client, address string, k kind, invoke func(peerpb.DRPCPeerClient, context.Context, Q) (R, error), req Q) (R, error) {
	var none R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	key := poolKey{address, classOf[k]}
	conn, release, err := c.acquire(ctx, key)
	if err != nil {
		return none, errors.WithStack(&peer.UnreachableError{Address: address, Cause: err})
	}
	defer release()
	reply, err := invoke(peerpb.NewDRPCPeerClient(conn), ctx, req)
	count := &c.counters.byKind[k]
	count.calls.Add(1)
	conn.raw.assignSent(count)
	conn.raw.assignReceived(count)
	if err != nil {
		// The state of the connection is not known, and the idle ones of a
		// silent path are likely to be as silent.
		_ = conn.Close()
		c.discardIdle(key)
		return none, errors.WithStack(&peer.UnreachableError{Address: address, Cause: err})
	}
	c.park(key, conn)
	return reply, nil
}

func (c *Client) acquire(ctx context.Context, key poolKey) (*clientConn, func(), error) {
	p, err := c.pool(key)
	if err != nil {
		return nil, nil, err
	}
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errors.WithStack(ctx.Err())
	}
	release := func() { <-p.slots }
	if conn := c.takeIdle(p); conn != nil {
		return conn, release, nil
	}
	raw, err := c.dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		release()
		return nil, nil, errors.WithStack(err)
	}
	counted := &countedConn{Conn: raw}
	conn := drpcconn.NewWithOptions(counted, drpcconn.Options{Manager: managerOptions()})
	return &clientConn{Conn: conn, raw: counted}, release, nil
}

func (c *Client) pool(key poolKey) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.WithStack(&ClosedError{})
	}
	p, ok := c.pools[key]
	if !ok {
		c.dropUnused()
		p = &pool{slots: make(chan struct{}, connectionsPerClass[key.class])}
		c.pools[key] = p
	}
	return p, nil
}

// dropUnused forgets pools whose connections have all been idle for long, which
// bounds the number of addresses as instances are replaced.
func (c *Client) dropUnused() {
	for key, p := range c.pools {
		stale := len(p.slots) == 0
		for _, i := range p.idle {
			stale = stale && time.Since(i.since) > idleLimit
		}
		if stale {
			closeAll(p.idle)
			delete(c.pools, key)
		}
	}
}

func (c *Client) takeIdle(p *pool) *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-last.conn.Closed():
		default:
			return last.conn
		}
	}
	return nil
}

func (c *Client) park(key poolKey, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[key]
	if !ok || c.closed {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn, time.Now()})
}

func (c *Client) discardIdle(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[key]; ok {
		closeAll(p.idle)
		p.idle = nil
	}
}

// Close closes the idle connections; calls in progress end with their contexts.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.pools {
		closeAll(p.idle)
	}
	c.pools = map[poolKey]*pool{}
	return nil
}

func closeAll(conns []idleConn) {
	for _, i := range conns {
		// Close waits for the connection's goroutines.
		go func() { _ = i.conn.Close() }()
	}
}
