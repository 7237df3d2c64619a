package proxy

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

// targetConn is a connection to a target. One request at a time owns it.
type targetConn struct {
	net.Conn
	address string
	// reader is nil while the connection is idle.
	reader    *bufio.Reader
	idleSince time.Duration
}

// closeIdle closes a connection whose last exchange was complete. Nothing is
// in flight, so it resets the connection: an orderly close would hold the local
// port for a minute, and the usual 28,232 local ports would last for 470/s.
func (c *targetConn) closeIdle() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// connPool keeps idle connections by target address.
type connPool struct {
	clock     clock.Clock
	options   Options
	dialer    net.Dialer
	readers   sync.Pool
	closing   atomic.Bool
	lastSweep atomic.Int64

	mu   sync.Mutex
	idle map[string][]*targetConn
}

func newConnPool(c clock.Clock, options Options) *connPool {
	p := &connPool{clock: c, options: options, idle: map[string][]*targetConn{}}
	// Idle connections live for seconds, too short for keep-alive probes, which
	// would cost four system calls for each connection.
	p.dialer.KeepAlive = -1
	p.readers.New = func() any { return bufio.NewReaderSize(nil, options.MaxHeaderBytes) }
	return p
}

// get returns a connection that was idle for at most maxIdle, or a fresh one.
func (p *connPool) get(address string, maxIdle time.Duration, deadline time.Time) (*targetConn, error) {
	now := p.clock.SinceBoot()
	p.sweep(now)
	for maxIdle > 0 {
		conn := p.pop(address)
		if conn == nil {
			break
		}
		if now-conn.idleSince <= maxIdle && quiet(conn.Conn) {
			p.attachReader(conn)
			return conn, nil
		}
		conn.closeIdle()
	}
	return p.dial(address, deadline)
}

func (p *connPool) dial(address string, deadline time.Time) (*targetConn, error) {
	if limit := time.Now().Add(p.options.ConnectTimeout); limit.Before(deadline) {
		deadline = limit
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	// Addresses are IP:port, so the resolver and its allocations are not needed.
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.WithStack(&ConnectError{Address: address, Cause: err})
	}
	raw, err := p.dialer.DialTCP(ctx, "tcp", netip.AddrPort{}, remote)
	if err != nil {
		return nil, errors.WithStack(&ConnectError{Address: address, Cause: err})
	}
	conn := &targetConn{Conn: raw, address: address}
	p.attachReader(conn)
	return conn, nil
}

func (p *connPool) attachReader(conn *targetConn) {
	conn.reader = p.readers.Get().(*bufio.Reader)
	conn.reader.Reset(conn.Conn)
}

func (p *connPool) detachReader(conn *targetConn) {
	conn.reader.Reset(nil)
	p.readers.Put(conn.reader)
	conn.reader = nil
}

// pop takes the connection that was used last, which is the likeliest to work.
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

// put keeps a connection whose last exchange was complete.
func (p *connPool) put(conn *targetConn) {
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

// discard closes a connection after an exchange that did not complete. The
// orderly close is resent if it is lost, so that the target learns of the
// cancellation.
func (p *connPool) discard(conn *targetConn) {
	p.detachReader(conn)
	_ = conn.Close()
}

// retire closes a connection after a complete exchange.
func (p *connPool) retire(conn *targetConn) {
	p.detachReader(conn)
	conn.closeIdle()
}

// sweep closes connections that were idle for too long, at most twice per IdleTimeout.
func (p *connPool) sweep(now time.Duration) {
	last := p.lastSweep.Load()
	if now-time.Duration(last) < p.options.IdleTimeout/2 || !p.lastSweep.CompareAndSwap(last, int64(now)) {
		return
	}
	p.closeIdle(func(conn *targetConn) bool { return now-conn.idleSince > p.options.IdleTimeout })
}

// closeIdle closes the idle connections for which expired holds.
func (p *connPool) closeIdle(expired func(*targetConn) bool) {
	var drop []*targetConn
	p.mu.Lock()
	for address, conns := range p.idle {
		keep := conns[:0]
		for _, conn := range conns {
			if expired(conn) {
				drop = append(drop, conn)
			} else {
				keep = append(keep, conn)
			}
		}
		clear(conns[len(keep):])
		p.idle[address] = keep
		if len(keep) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, conn := range drop {
		conn.closeIdle()
	}
}

// close closes all idle connections and keeps none from now on.
func (p *connPool) close() {
	p.closing.Store(true)
	p.closeIdle(func(*targetConn) bool { return true })
}
