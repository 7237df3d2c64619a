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

// class is a group of kinds of calls with its own connections, so that calls of
// one class never wait for calls of another.
type class int

const (
	heartbeatClass class = iota
	fetchClass
	dataClass // loans and health reports
	reservationClass
	classCount
)

// connectionsPerClass is the maximum number of connections per address and class.
// A connection carries one call at a time. There are two for heartbeats, so that
// a new one can work while the other does not respond.
var connectionsPerClass = [classCount]int{heartbeatClass: 2, fetchClass: 1, dataClass: 4, reservationClass: 4}

const (
	// defaultCallTimeout is the timeout of a call whose context has no deadline.
	defaultCallTimeout = time.Second
	// maxIdleTime is the idle time after which the connections to an instance that
	// is no longer called are closed.
	maxIdleTime = 30 * time.Second
)

// Client is a peer.Transport over TCP. Close it when it is no longer used.
type Client struct {
	// dial opens a TCP connection to an address.
	dial     func(ctx context.Context, network, address string) (net.Conn, error)
	counters Counters

	mu     sync.Mutex
	closed bool
	pools  map[poolKey]*pool
}

// poolKey identifies a pool: there is one per address and class.
type poolKey struct {
	address string
	class   class
}

// pool holds the idle connections of one class to one address.
type pool struct {
	// inUse is a semaphore with one element per call in progress. It also bounds
	// the number of connections, because a call uses an idle one if there is one.
	inUse chan struct{}
	idle  []idleConn
}

type idleConn struct {
	conn      *clientConn
	idleSince time.Time
}

// clientConn is a drpc connection with its TCP connection, which counts bytes.
type clientConn struct {
	*drpcconn.Conn
	raw *countedConn
}

// NewClient returns a client. It opens connections when they are needed.
func NewClient() *Client { return NewClientFrom("") }

// NewClientFrom returns a client that connects from the local IP address
// sourceIP; if it is empty, the operating system chooses one.
func NewClientFrom(sourceIP string) *Client {
	dialer := &net.Dialer{}
	if ip := net.ParseIP(sourceIP); ip != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return &Client{dial: dialer.DialContext, pools: map[poolKey]*pool{}}
}

// ClosedError reports a call on a client that has been closed.
type ClosedError struct{}

// Error describes the failure.
func (*ClosedError) Error() string { return "client is closed" }

// Exchange sends a heartbeat.
func (c *Client) Exchange(ctx context.Context, address string, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	return call(ctx, c, address, exchange, peerpb.DRPCPeerClient.Exchange, req)
}

// Fetch requests documents, such as the configuration.
func (c *Client) Fetch(ctx context.Context, address string, req *peerpb.FetchRequest) (*peerpb.FetchReply, error) {
	return call(ctx, c, address, fetch, peerpb.DRPCPeerClient.Fetch, req)
}

// Borrow requests tokens of a team from a token issuer.
func (c *Client) Borrow(ctx context.Context, address string, req *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
	return call(ctx, c, address, borrow, peerpb.DRPCPeerClient.Borrow, req)
}

// Report sends health observations of targets to an evaluator.
func (c *Client) Report(ctx context.Context, address string, req *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return call(ctx, c, address, report, peerpb.DRPCPeerClient.Report, req)
}

// Reserve asks a dispatcher for a slot.
func (c *Client) Reserve(ctx context.Context, address string, req *peerpb.ReserveRequest) (*peerpb.ReserveReply, error) {
	return call(ctx, c, address, reserve, peerpb.DRPCPeerClient.Reserve, req)
}

// classOf is the class of each kind of call.
var classOf = [kindCount]class{exchange: heartbeatClass, fetch: fetchClass, borrow: dataClass, report: dataClass, reserve: reservationClass}

// Traffic returns the number of calls that this client has made and their bytes,
// by kind of call.
func (c *Client) Traffic() map[string]CallCounts { return c.counters.Snapshot() }

// call makes one call on a connection of its class and counts its bytes.
func call[Q, R any](ctx context.Context, c *Client, address string, k kind, invoke func(peerpb.DRPCPeerClient, context.Context, Q) (R, error), req Q) (R, error) {
	var zero R
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	key := poolKey{address, classOf[k]}
	conn, release, err := c.acquire(ctx, key)
	if err != nil {
		return zero, errors.WithStack(&peer.UnreachableError{Address: address, Cause: err})
	}
	defer release()
	reply, err := invoke(peerpb.NewDRPCPeerClient(conn), ctx, req)
	count := &c.counters.byKind[k]
	count.calls.Add(1)
	conn.raw.assignSent(count)
	conn.raw.assignReceived(count)
	if err != nil {
		// The state of the connection is unknown. If the path is unresponsive, the
		// idle connections are probably unresponsive, too.
		_ = conn.Close()
		c.discardIdle(key)
		return zero, errors.WithStack(&peer.UnreachableError{Address: address, Cause: err})
	}
	c.putIdle(key, conn)
	return reply, nil
}

// acquire returns an idle connection or opens a new one. It waits while the
// maximum number of connections is in use. The returned function ends the use.
func (c *Client) acquire(ctx context.Context, key poolKey) (*clientConn, func(), error) {
	p, err := c.pool(key)
	if err != nil {
		return nil, nil, err
	}
	select {
	case p.inUse <- struct{}{}:
	case <-ctx.Done():
		return nil, nil, errors.WithStack(ctx.Err())
	}
	release := func() { <-p.inUse }
	if conn := c.takeIdle(p); conn != nil {
		return conn, release, nil
	}
	raw, err := c.dial(ctx, "tcp", key.address)
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
		c.removeUnusedPools()
		p = &pool{inUse: make(chan struct{}, connectionsPerClass[key.class])}
		c.pools[key] = p
	}
	return p, nil
}

// removeUnusedPools removes pools whose connections have all been idle for longer
// than maxIdleTime. This bounds the number of addresses as instances are replaced.
func (c *Client) removeUnusedPools() {
	for key, p := range c.pools {
		unused := len(p.inUse) == 0
		for _, i := range p.idle {
			unused = unused && time.Since(i.idleSince) > maxIdleTime
		}
		if unused {
			closeAll(p.idle)
			delete(c.pools, key)
		}
	}
}

// takeIdle returns the idle connection that was used last, or nil.
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

// putIdle makes a connection available to later calls.
func (c *Client) putIdle(key poolKey, conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[key]
	if !ok || c.closed {
		_ = conn.Close()
		return
	}
	p.idle = append(p.idle, idleConn{conn, time.Now()})
}

// discardIdle closes the idle connections of one pool.
func (c *Client) discardIdle(key poolKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p, ok := c.pools[key]; ok {
		closeAll(p.idle)
		p.idle = nil
	}
}

// Close closes the idle connections. Calls in progress go on until they finish or
// their contexts end.
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
		// Close blocks until the connection's goroutines have ended.
		go func() { _ = i.conn.Close() }()
	}
}
