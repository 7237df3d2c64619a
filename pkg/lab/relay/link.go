package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"
)

const (
	// chunkBytes is the largest number of bytes read at once.
	chunkBytes = 16 << 10
	// maxChunks is the number of chunks buffered per direction. When the buffer
	// is full, the relay stops reading and the sender gets back-pressure, as with
	// a full TCP window.
	maxChunks = 64
)

// chunk is a piece of a stream; an empty one marks the end of the stream.
type chunk struct {
	// due is the time, on the relay's clock since boot, at which the chunk is
	// forwarded.
	due  time.Duration
	data []byte
}

// link is one relayed connection.
type link struct {
	relay *Relay
	// faultStates are the faults of all connections and those of the client's IP
	// address.
	faultStates [2]*faultState
	client      net.Conn
	target      net.Conn
	// blackholed is set by BlackholeExisting.
	blackholed atomic.Bool
	// stopForwarding ends the forwarding of both directions for good; the
	// connections stay open.
	stopForwarding context.CancelFunc
}

// run relays until both directions have ended or ctx ends.
func (l *link) run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// Closing the connections when ctx ends wakes blocked reads and writes.
	defer context.AfterFunc(ctx, l.close)()
	forward, stopForward := context.WithCancel(ctx)
	defer stopForward()
	l.stopForwarding = stopForward
	l.relay.addLink(l)
	defer l.relay.removeLink(l)

	done := make(chan struct{}, 2)
	go func() { l.relayDirection(ctx, forward, l.client, l.target, true); done <- struct{}{} }()
	go func() { l.relayDirection(ctx, forward, l.target, l.client, false); done <- struct{}{} }()
	<-done
	<-done
	l.close()
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.client, l.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Fails only on a connection that has ended already.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *link) delay() time.Duration { return l.faultStates[0].delay() + l.faultStates[1].delay() }

// waitUncut waits until neither fault state cuts the direction. It fails with the
// error of ctx when ctx ends.
func (l *link) waitUncut(ctx context.Context, toTarget bool) error {
	for {
		for _, c := range l.faultStates {
			if err := c.waitUncut(ctx, toTarget); err != nil {
				return err
			}
		}
		// The first state may have cut the direction while the loop waited for the
		// second one.
		if f, _ := l.faultStates[0].get(); !f.isCut(toTarget) {
			return nil
		}
	}
}

func (l *link) close() {
	// The errors are those of a connection that is closed already.
	_ = l.client.Close()
	_ = l.target.Close()
}

// relayDirection relays bytes from source to sink until the source ends. Reading
// continues after BlackholeExisting has ended the forwarding, so that the relay
// notices when the source closes.
func (l *link) relayDirection(ctx, forward context.Context, source, sink net.Conn, toTarget bool) {
	chunks := make(chan chunk, maxChunks)
	written := make(chan struct{})
	go func() {
		defer close(written)
		l.writeChunks(forward, sink, chunks, toTarget)
	}()
	l.readChunks(ctx, forward, source, chunks)
	close(chunks)
	<-written
}

// readChunks reads from the source until it ends and schedules each chunk with
// the current delay.
func (l *link) readChunks(ctx, forward context.Context, source net.Conn, chunks chan<- chunk) {
	buffer := make([]byte, chunkBytes)
	for ctx.Err() == nil {
		n, err := source.Read(buffer)
		c := chunk{due: l.relay.clock.SinceBoot() + l.delay(), data: append([]byte(nil), buffer[:n]...)}
		if n > 0 {
			enqueue(forward, chunks, c)
		}
		if err != nil {
			enqueue(forward, chunks, chunk{due: c.due})
			return
		}
	}
}

// enqueue sends c to the writer, or drops it if forwarding has ended.
func enqueue(forward context.Context, chunks chan<- chunk, c chunk) {
	select {
	case chunks <- c:
	case <-forward.Done():
	}
}

// writeChunks writes each chunk to the sink when it is due and the direction is
// not cut.
func (l *link) writeChunks(forward context.Context, sink net.Conn, chunks <-chan chunk, toTarget bool) {
	for c := range chunks {
		if wait := c.due - l.relay.clock.SinceBoot(); wait > 0 {
			if l.relay.clock.Sleep(forward, wait) != nil {
				return
			}
		}
		if l.waitUncut(forward, toTarget) != nil {
			return
		}
		if len(c.data) == 0 {
			closeWrite(sink)
			return
		}
		if _, err := sink.Write(c.data); err != nil {
			// The sink has closed. The source would detect this by a packet in the
			// other direction, which a cut of that direction holds as well.
			if l.waitUncut(forward, !toTarget) == nil {
				l.close()
			}
			return
		}
	}
}

// closeWrite ends the stream in one direction and leaves the other one open.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails only on a connection that is closed already
	}
}
