package proxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/detour"
)

// targetConn is a connection to a target. One request at a time uses it.
type targetConn struct {
	net.Conn
	address string
	// reader is nil while the connection is idle.
	reader *bufio.Reader
	// idleSince is the time of the last return to the pool, as time since boot.
	idleSince time.Duration
	// unwritten is the number of bytes of the last request that have not been written. While there
	// are any, the target takes whatever comes next for the rest of that request.
	unwritten int
	// check, checkInterval and readDeadline apply to reads while watch is in effect.
	check         func() error
	checkInterval time.Duration
	readDeadline  time.Time
}

// beginRequest says that the next size bytes written are one request.
func (c *targetConn) beginRequest(size int) { c.unwritten = size }

// carriesPart reports whether only a part of the last request has been written.
func (c *targetConn) carriesPart() bool { return c.unwritten > 0 }

// Write implements net.Conn.
func (c *targetConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.unwritten -= n
	return n, err
}

// closeIdle closes a connection whose last exchange was complete. Nothing is
// in flight, so it resets the connection: an orderly close would occupy the
// local port for a minute, and with the default of 28,232 local ports only 470
// connections per second could be closed.
func (c *targetConn) closeIdle() {
	if tcp, ok := unwrap(c.Conn).(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// usable reports whether a new request may use an idle connection.
func (c *targetConn) usable() bool {
	u, ok := c.Conn.(interface{ Usable() bool })
	return (!ok || u.Usable()) && openWithoutData(c.Conn)
}

// via returns the name of the instance through which the connection leads; empty for a
// direct one.
func (c *targetConn) via() string {
	if d, ok := c.Conn.(interface{ Detour() string }); ok {
		return d.Detour()
	}
	return ""
}

// connPool keeps idle connections to targets and opens new ones. It is safe for
// concurrent use.
type connPool struct {
	clock   clock.Clock
	options Options
	// readers holds *bufio.Reader values that no connection uses.
	readers sync.Pool
	// closing is set when connections are no longer kept for reuse.
	closing atomic.Bool
	// lastSweepAt is the start of the last sweep in ns since boot.
	lastSweepAt atomic.Int64

	mu sync.Mutex
	// idle holds the idle connections by target address, the last used one last.
	idle map[string][]*targetConn
}

func newConnPool(c clock.Clock, options Options) *connPool {
	p := &connPool{clock: c, options: options, idle: map[string][]*targetConn{}}
	p.readers.New = func() any { return bufio.NewReaderSize(nil, options.MaxHeaderBytes) }
	return p
}

// get returns a pooled connection that was idle for at most maxIdle, or a new
// one. With a maxIdle of 0 it always opens a new one.
func (p *connPool) get(address string, maxIdle time.Duration, deadline time.Time) (*targetConn, error) {
	now := p.clock.SinceBoot()
	p.sweep(now)
	for maxIdle > 0 {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		if now-conn.idleSince <= maxIdle && conn.usable() {
			p.attachReader(conn)
			return conn, nil
		}
		conn.closeIdle()
	}
	return p.dial(address, deadline)
}

// dial opens a connection before deadline, and within ConnectTimeout unless DialTarget has
// limits of its own.
func (p *connPool) dial(address string, deadline time.Time) (*targetConn, error) {
	dial := p.options.DialTarget
	if dial == nil {
		dial = detour.Direct{}.Dial
		deadline = earliest(time.Now().Add(p.options.ConnectTimeout), deadline)
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, errors.WithStack(&ConnectError{Address: address, Cause: err})
	}
	conn := &targetConn{Conn: raw, address: address}
	p.attachReader(conn)
	return conn, nil
}

func (p *connPool) attachReader(conn *targetConn) {
	conn.reader = p.readers.Get().(*bufio.Reader)
	conn.reader.Reset(conn)
}

func (p *connPool) detachReader(conn *targetConn) {
	conn.unwatch()
	conn.reader.Reset(nil)
	p.readers.Put(conn.reader)
	conn.reader = nil
}

// pop removes the most recently used idle connection, which is the most likely
// to still work, and returns it; nil if there is none.
func (p *connPool) pop(address string) *targetConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	conns[len(conns)-1] = nil
	p.idle[address] = conns[:len(conns)-1]
	return conn
}

// put keeps a connection whose last exchange was complete for reuse, or closes it
// if the pool has MaxIdlePerTarget connections to its address or is closed. It discards one that
// carries only a part of a request.
func (p *connPool) put(conn *targetConn) {
	if conn.carriesPart() {
		p.discard(conn)
		return
	}
	p.detachReader(conn)
	conn.idleSince = p.clock.SinceBoot()
	p.mu.Lock()
	full := p.closing.Load() || len(p.idle[conn.address]) >= p.options.MaxIdlePerTarget
	if !full {
		p.idle[conn.address] = append(p.idle[conn.address], conn)
	}
	p.mu.Unlock()
	if full {
		conn.closeIdle()
	}
}

// discard closes a connection after an exchange that did not complete. It closes
// in the orderly way because TCP resends a lost FIN, so that the target is
// notified of the cancellation.
func (p *connPool) discard(conn *targetConn) {
	p.detachReader(conn)
	_ = conn.Close()
}

// retire closes a connection that must not be reused after a complete exchange.
func (p *connPool) retire(conn *targetConn) {
	p.detachReader(conn)
	conn.closeIdle()
}

// sweep closes connections that were idle for more than IdleTimeout. It runs at
// most twice per IdleTimeout.
func (p *connPool) sweep(now time.Duration) {
	last := p.lastSweepAt.Load()
	if now-time.Duration(last) < p.options.IdleTimeout/2 || !p.lastSweepAt.CompareAndSwap(last, int64(now)) {
		return
	}
	p.closeIdle(func(conn *targetConn) bool { return now-conn.idleSince > p.options.IdleTimeout })
}

// closeIdleTo closes the idle connections to an address.
func (p *connPool) closeIdleTo(address string) {
	p.closeIdle(func(conn *targetConn) bool { return conn.address == address })
}

// closeIdle closes the idle connections for which expired returns true.
func (p *connPool) closeIdle(expired func(*targetConn) bool) {
	var toClose []*targetConn
	p.mu.Lock()
	for address, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if expired(conn) {
				toClose = append(toClose, conn)
			} else {
				kept = append(kept, conn)
			}
		}
		clear(conns[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range toClose {
		conn.closeIdle()
	}
}

// close closes all idle connections. Later ones are closed after their exchange
// instead of kept.
func (p *connPool) close() {
	p.closing.Store(true)
	p.closeIdle(func(*targetConn) bool { return true })
}
