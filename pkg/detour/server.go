package detour

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// Prefix are the first bytes of a connection that asks for a target; calls between instances
// begin otherwise. The address of the target and a line feed follow; the answer is one byte.
// After it bytes to the target pass as they are, those from it in frames.
const Prefix = "DETOUR1\n"

// Answers to the request for a target.
const (
	answerConnected = 'c'
	// answerUnknown means that the instance does not list the target, answerFailed that it
	// could not connect to it, answerBusy that it has too many such connections.
	answerUnknown = 'u'
	answerFailed  = 'f'
	answerBusy    = 'b'
)

const (
	// maxAddressBytes bounds the line with the address.
	maxAddressBytes = 64
	// requestTimeout bounds the wait for that line.
	requestTimeout = time.Second
	// maxCarried bounds the connections that an instance carries for others. Each takes two
	// descriptors; the smallest instances have 4,100.
	maxCarried = 512
	// copyBufferBytes is the size of the buffer for one direction of a connection.
	copyBufferBytes = 16 << 10
)

// RefusedError says that another instance did not connect to a target.
type RefusedError struct {
	Peer, Target string
	Answer       byte
}

// Error names the instance, the target and the reason.
func (e *RefusedError) Error() string {
	reason := map[byte]string{answerUnknown: "does not list it", answerFailed: "cannot connect to it", answerBusy: "has too many connections"}[e.Answer]
	if reason == "" {
		reason = "gave an unknown answer"
	}
	return "connect to " + e.Target + " through " + e.Peer + ": it " + reason
}

// Connect opens a connection to a target through the instance at a gossip address. It
// succeeds once the target has accepted the connection. The timeout holds for the
// connection to the instance, and again for its connection to the target.
func Connect(ctx context.Context, peer, target string, timeout time.Duration) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, 2*timeout)
	defer cancel()
	remote, err := netip.ParseAddrPort(peer)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialTCP(limited, "tcp", netip.AddrPort{}, remote)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	answer, err := ask(limited, conn, target)
	if err == nil && answer != answerConnected {
		err = &RefusedError{Peer: peer, Target: target, Answer: answer}
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.WithStack(err)
	}
	return &framedConn{Conn: conn}, nil
}

// ask requests a target and returns the answer.
func ask(ctx context.Context, conn net.Conn, target string) (byte, error) {
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(conn, Prefix+target+"\n"); err != nil {
		return 0, err
	}
	var answer [1]byte
	if _, err := io.ReadFull(conn, answer[:]); err != nil {
		return 0, err
	}
	return answer[0], conn.SetDeadline(time.Time{})
}

// Server connects to targets for other instances. The connections that it serves have been
// read up to the end of Prefix.
type Server struct {
	// Listed reports whether an address is that of a listed target.
	Listed func(address string) bool
	// Direct opens a direct connection to a target.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Timeout bounds the connection to a target.
	Timeout time.Duration
	Log     *zerolog.Logger

	open    atomic.Int64
	buffers sync.Pool
}

// Open returns the number of connections that the instance carries for others.
func (s *Server) Open() int64 { return s.open.Load() }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer event.Contain(s.Log, "detour", func() { _ = conn.Close() })
			s.serve(conn)
		}()
	}
}

// serve connects one connection to its target and copies bytes until both directions have
// ended.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	s.open.Add(1)
	defer s.open.Add(-1)
	target, answer := s.connect(conn)
	if _, err := conn.Write([]byte{answer}); err != nil || answer != answerConnected {
		if target != nil {
			_ = target.Close()
		}
		return
	}
	defer func() { _ = target.Close() }()
	var directions sync.WaitGroup
	directions.Go(func() { s.copy(target, conn, copyBytes) })
	directions.Go(func() { s.copy(conn, target, copyFrames) })
	directions.Wait()
}

// connect reads the address and connects to the target.
func (s *Server) connect(conn net.Conn) (target net.Conn, answer byte) {
	if s.open.Load() > maxCarried {
		return nil, answerBusy
	}
	_ = conn.SetReadDeadline(time.Now().Add(requestTimeout)) // fails only on a closed connection
	// Nothing follows the line before the answer, so that the reader holds nothing back.
	line, err := bufio.NewReaderSize(io.LimitReader(conn, maxAddressBytes), maxAddressBytes).ReadSlice('\n')
	if err != nil {
		return nil, answerUnknown
	}
	_ = conn.SetReadDeadline(time.Time{})
	address := string(line[:len(line)-1])
	if !s.Listed(address) {
		return nil, answerUnknown
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.Timeout)
	defer cancel()
	if target, err = s.Direct(ctx, address); err != nil {
		return nil, answerFailed
	}
	return target, answerConnected
}

// copy passes bytes on by means of pass until from ends. Its end is passed on as it is: an
// orderly one ends only this direction, a reset both, since what was read may be incomplete
// then.
func (s *Server) copy(to, from net.Conn, pass func(to io.Writer, from io.Reader, buffer []byte) error) {
	buffer, ok := s.buffers.Get().(*[]byte)
	if !ok {
		b := make([]byte, copyBufferBytes)
		buffer = &b
	}
	defer s.buffers.Put(buffer)
	if pass(to, from, *buffer) != nil {
		reset(to)
		reset(from)
		return
	}
	if half, ok := tcpOf(to); ok {
		_ = half.CloseWrite() // a closed connection has ended anyway
	}
}

// copyBytes passes bytes to a target on as they are.
func copyBytes(to io.Writer, from io.Reader, buffer []byte) error {
	// Only Read and Write are used: a copy inside the kernel would bypass the buffer.
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, buffer)
	return err
}

// reset closes a connection so that its other end sees a failure, and no end.
func reset(conn net.Conn) {
	if tcp, ok := tcpOf(conn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// tcpOf returns the TCP connection below wrappers.
func tcpOf(conn net.Conn) (*net.TCPConn, bool) {
	for {
		if tcp, ok := conn.(*net.TCPConn); ok {
			return tcp, true
		}
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return nil, false
		}
		conn = wrapped.NetConn()
	}
}
