package drpcpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
)

// kind is a kind of call.
type kind int

const (
	exchange kind = iota
	fetch
	borrow
	report
	reserve
	kinds
)

var kindNames = [kinds]string{"exchange", "fetch", "borrow", "report", "reserve"}

// Calls are the calls of one kind and their bytes on the connections, with the
// framing of drpc and without the headers of TCP and IP.
type Calls struct {
	Calls         int64 `json:"calls"`
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Counters count calls and bytes per kind of call. The zero value is ready and
// safe for concurrent use.
type Counters struct{ byKind [kinds]counter }

type counter struct{ calls, sent, received atomic.Int64 }

// Snapshot returns the counts since the start by kind of call.
func (c *Counters) Snapshot() map[string]Calls {
	calls := make(map[string]Calls, kinds)
	for k := range c.byKind {
		one := &c.byKind[k]
		calls[kindNames[k]] = Calls{Calls: one.calls.Load(), SentBytes: one.sent.Load(), ReceivedBytes: one.received.Load()}
	}
	return calls
}

// countedConn counts the bytes of one connection until they are assigned to a
// kind of call. A connection carries one call at a time.
type countedConn struct {
	net.Conn
	sent, received atomic.Int64
	// writeTime bounds each write in nanoseconds; 0 means no bound.
	writeTime atomic.Int64
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if bound := time.Duration(c.writeTime.Load()); bound > 0 {
		// A connection that cannot take a deadline has failed already.
		_ = c.SetWriteDeadline(time.Now().Add(bound))
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

func (c *countedConn) assignSent(to *counter)     { to.sent.Add(c.sent.Swap(0)) }
func (c *countedConn) assignReceived(to *counter) { to.received.Add(c.received.Swap(0)) }

// connKey finds the connection of a served call in its context.
type connKey struct{}

// countingHandler assigns the bytes of served calls to their kinds.
type countingHandler struct {
	drpc.Handler
	counters *Counters
	// fetches holds one element per served call of that kind.
	fetches chan struct{}
	// writeTime bounds one write of a reply to one of them.
	writeTime time.Duration
}

const (
	// maxServedFetches bounds the replies that are in memory at once: a
	// configuration of the expected scale has 11 MB, and a change makes every
	// instance fetch it at the same time.
	maxServedFetches = 4
	// fetchWriteTime bounds one write of a reply. A client that reads nothing
	// would keep others waiting for good.
	fetchWriteTime = 2 * time.Second
)

// enterFetch waits for a place. The returned function gives it back.
func (h *countingHandler) enterFetch(ctx context.Context, conn *countedConn) (func(), error) {
	select {
	case h.fetches <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn.writeTime.Store(int64(h.writeTime))
	return func() {
		conn.writeTime.Store(0)
		_ = conn.SetWriteDeadline(time.Time{})
		<-h.fetches
	}, nil
}

var kindOfRPC = map[string]kind{
	"/arbutuslink.peer.Peer/Exchange": exchange,
	"/arbutuslink.peer.Peer/Fetch":    fetch,
	"/arbutuslink.peer.Peer/Borrow":   borrow,
	"/arbutuslink.peer.Peer/Report":   report,
	"/arbutuslink.peer.Peer/Reserve":  reserve,
}

// HandleRPC serves one call.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) error {
	k, known := kindOfRPC[rpc]
	conn, ok := stream.Context().Value(connKey{}).(*countedConn)
	if !known || !ok {
		return h.Handler.HandleRPC(stream, rpc)
	}
	to := &h.counters.byKind[k]
	to.calls.Add(1)
	if k == fetch {
		leave, err := h.enterFetch(stream.Context(), conn)
		if err != nil {
			return err
		}
		defer leave()
	}
	err := h.Handler.HandleRPC(&countingStream{stream, conn, to}, rpc)
	conn.assignSent(to)
	return err
}

// countingStream assigns the received bytes as soon as the request is
// complete: the next request is sent only after the reply to this one.
type countingStream struct {
	drpc.Stream
	conn *countedConn
	to   *counter
}

// MsgRecv receives the request.
func (s *countingStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	s.conn.assignReceived(s.to)
	return err
}

func withConn(ctx context.Context, conn *countedConn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
