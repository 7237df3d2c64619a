package drpcpeer

import (
	"context"
	"fmt"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc"
)

// kind is a kind of call, one for each method of peer.Transport.
type kind int

const (
	exchange kind = iota
	fetch
	borrow
	report
	reserve
	kindCount
)

var kindNames = [kindCount]string{"exchange", "fetch", "borrow", "report", "reserve"}

// CallCounts is the number of calls of one kind and of their bytes on the connections,
// including the framing of drpc but not the headers of TCP and IP.
type CallCounts struct {
	Calls         int64 `json:"calls"`
	SentBytes     int64 `json:"sent_bytes"`
	ReceivedBytes int64 `json:"received_bytes"`
}

// Counters counts calls and bytes per kind of call. The zero value is ready to
// use; it is safe for concurrent use.
type Counters struct{ byKind [kindCount]counter }

type counter struct{ calls, sent, received atomic.Int64 }

// Snapshot returns the counts since the start by kind of call.
func (c *Counters) Snapshot() map[string]CallCounts {
	calls := make(map[string]CallCounts, kindCount)
	for k := range c.byKind {
		count := &c.byKind[k]
		calls[kindNames[k]] = CallCounts{Calls: count.calls.Load(), SentBytes: count.sent.Load(), ReceivedBytes: count.received.Load()}
	}
	return calls
}

// countedConn counts the bytes of one connection until they are assigned to the
// kind of the call in progress. A connection carries one call at a time.
type countedConn struct {
	net.Conn
	sent, received atomic.Int64
	// writeTimeout is the timeout of each write in nanoseconds; 0 means none.
	writeTimeout atomic.Int64
}

// Read counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	if timeout := time.Duration(c.writeTimeout.Load()); timeout > 0 {
		// Setting the deadline fails only on a connection that has failed already.
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
	}
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// assignSent and assignReceived add the bytes counted since their last call to a
// counter.
func (c *countedConn) assignSent(count *counter)     { count.sent.Add(c.sent.Swap(0)) }
func (c *countedConn) assignReceived(count *counter) { count.received.Add(c.received.Swap(0)) }

// connKey is the context key of the connection of a served call.
type connKey struct{}

// countingHandler counts served calls and their bytes by kind, and limits the
// number of Fetch calls that are served at once.
type countingHandler struct {
	drpc.Handler
	counters *Counters
	// fetches is a semaphore with one element per Fetch call that is served.
	fetches chan struct{}
}

const (
	// maxServedFetches is the maximum number of Fetch calls that are served at
	// once. It bounds the replies in memory: a configuration of the expected scale
	// has 11 MB, and after a change every instance fetches it at the same time.
	maxServedFetches = 4
	// fetchWriteTimeout is the timeout of each write of a reply to Fetch. Without
	// it, a client that does not read would keep other clients waiting forever.
	fetchWriteTimeout = 2 * time.Second
)

// acquireFetch waits while maxServedFetches calls are served, and sets the write
// timeout of the connection. The returned function undoes both.
func (h *countingHandler) acquireFetch(ctx context.Context, conn *countedConn) (func(), error) {
	select {
	case h.fetches <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	conn.writeTimeout.Store(int64(fetchWriteTimeout))
	return func() {
		conn.writeTimeout.Store(0)
		_ = conn.SetWriteDeadline(time.Time{})
		<-h.fetches
	}, nil
}

// kindOfRPC maps the drpc name of a call to its kind.
var kindOfRPC = map[string]kind{
	"/arbutuslink.peer.Peer/Exchange": exchange,
	"/arbutuslink.peer.Peer/Fetch":    fetch,
	"/arbutuslink.peer.Peer/Borrow":   borrow,
	"/arbutuslink.peer.Peer/Report":   report,
	"/arbutuslink.peer.Peer/Reserve":  reserve,
}

// PanicError reports that the handling of a call failed in an unforeseen way.
type PanicError struct {
	Cause any
	Stack []byte
}

// Error names the cause and the place.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v\n%s", e.Cause, e.Stack) }

// HandleRPC serves one call and counts its bytes. A panic ends the call only; the other
// instance gets it as the error.
func (h *countingHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.WithStack(&PanicError{Cause: cause, Stack: debug.Stack()})
		}
	}()
	k, known := kindOfRPC[rpc]
	conn, ok := stream.Context().Value(connKey{}).(*countedConn)
	if !known || !ok {
		return h.Handler.HandleRPC(stream, rpc)
	}
	count := &h.counters.byKind[k]
	count.calls.Add(1)
	if k == fetch {
		release, err := h.acquireFetch(stream.Context(), conn)
		if err != nil {
			return err
		}
		defer release()
	}
	err = h.Handler.HandleRPC(&countingStream{stream, conn, count}, rpc)
	conn.assignSent(count)
	return err
}

// countingStream assigns the received bytes to the kind of call as soon as the
// request is complete; none of them belongs to another call, because the next
// request is sent only after the reply to this one.
type countingStream struct {
	drpc.Stream
	conn  *countedConn
	count *counter
}

// MsgRecv receives the request and counts its bytes.
func (s *countingStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	s.conn.assignReceived(s.count)
	return err
}

func withConn(ctx context.Context, conn *countedConn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}
