package detour

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

// listen serves connections on loopback with f and returns the address.
func listen(t *testing.T, f func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go f(c)
		}
	}()
	return ln.Addr().String()
}

func echo(c net.Conn) {
	_, _ = io.Copy(c, c)
	_ = c.Close()
}

// newPeer returns the address of an instance that connects to the listed targets for others.
func newPeer(t *testing.T, listed ...string) string {
	s := newServer(listed...)
	return listen(t, func(c net.Conn) {
		if readPrefix(c) {
			s.serve(c)
		}
	})
}

func readPrefix(c net.Conn) bool {
	prefix := make([]byte, len(Prefix))
	_, err := io.ReadFull(c, prefix)
	return err == nil && string(prefix) == Prefix
}

func newServer(listed ...string) *Server {
	nop := zerolog.Nop()
	return &Server{
		Listed: func(a string) bool {
			for _, l := range listed {
				if a == l {
					return true
				}
			}
			return false
		},
		Direct: dialTCP, Timeout: 200 * time.Millisecond, Log: &nop,
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, "tcp", address)
}

func connect(t *testing.T, peer, target string) (net.Conn, error) {
	t.Helper()
	conn, err := Connect(context.Background(), peer, target, 200*time.Millisecond)
	if err == nil {
		t.Cleanup(func() { _ = conn.Close() })
		is.New(t).NoErr(conn.SetDeadline(time.Now().Add(2 * time.Second)))
	}
	return conn, err
}

// Guards against bytes that are lost or changed on a detour, and against an end of one
// direction that ends the other.
func TestBytesPassUnchanged(t *testing.T) {
	is := is.New(t)
	target := listen(t, echo)
	conn, err := connect(t, newPeer(t, target), target)
	is.NoErr(err)
	sent := make([]byte, 3*copyBufferBytes+7)
	for i := range sent {
		sent[i] = byte(i * 31)
	}
	go func() {
		_, _ = conn.Write(sent)
		half, _ := tcpOf(conn)
		_ = half.CloseWrite()
	}()
	got, err := io.ReadAll(conn)
	is.NoErr(err)
	is.Equal(got, sent)
}

// Guards against a response that the target resets and that looks complete.
func TestResetPassesAsReset(t *testing.T) {
	is := is.New(t)
	target := listen(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "half")
		time.Sleep(20 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	conn, err := connect(t, newPeer(t, target), target)
	is.NoErr(err)
	got, err := io.ReadAll(conn)
	is.Equal(string(got), "half")
	is.True(err != nil)
}

// Guards against a target that takes a broken off request for one whose caller has sent all.
func TestResetByTheCallerReachesTheTarget(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	target := listen(t, func(c net.Conn) {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	})
	conn, err := connect(t, newPeer(t, target), target)
	is.NoErr(err)
	reset(conn)
	is.True(errors.Is(<-ended, syscall.ECONNRESET))
}

// Guards against responses without a length that look whole when the instance between ends.
func TestEndOfTheInstanceBetweenIsNoEndOfTheResponse(t *testing.T) {
	is := is.New(t)
	target := listen(t, func(c net.Conn) { _, _ = io.WriteString(c, "half") })
	serve := newServer(target).serve
	accepted := make(chan net.Conn, 1)
	peer := listen(t, func(c net.Conn) {
		if readPrefix(c) {
			accepted <- c
			serve(c)
		}
	})
	conn, err := connect(t, peer, target)
	is.NoErr(err)
	got := make([]byte, 4)
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.NoErr((<-accepted).Close())
	_, err = conn.Read(got)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// Guards against an instance that connects anybody to any address, and against a connection
// that seems open although the target did not accept it.
func TestTargetsAreRefused(t *testing.T) {
	is := is.New(t)
	other := listen(t, echo)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	peer := newPeer(t, closed.Addr().String())
	for target, answer := range map[string]byte{other: answerUnknown, closed.Addr().String(): answerFailed} {
		_, err = connect(t, peer, target)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Answer, answer)
	}
	_, err = connect(t, closed.Addr().String(), other)
	is.True(err != nil)
}

// testDialer is a Dialer whose direct connections fail while cut is set.
type testDialer struct {
	*Dialer
	cut    atomic.Bool
	direct atomic.Int64
	// dialed counts the direct connections by address.
	dialed  sync.Map
	reached atomic.Bool
	changes atomic.Int64
}

func newTestDialer(t *testing.T, peers []Peer, targets ...string) *testDialer {
	nop := zerolog.Nop()
	d := &testDialer{}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		d.direct.Add(1)
		d.dialed.Store(address, true)
		if d.cut.Load() {
			return nil, io.ErrClosedPipe
		}
		return dialTCP(ctx, address)
	}
	d.Dialer = &Dialer{Zone: "a", Direct: dial, Timeout: 100 * time.Millisecond, Peers: func() []Peer { return append([]Peer(nil), peers...) }, Monitor: &Monitor{
		Paths: &Paths{}, Clock: clock.System{}, Log: &nop, Targets: func() []string { return targets }, Reached: func(time.Duration) bool { return d.reached.Load() },
		OnChange: func() { d.changes.Add(1) },
		Connect: func(ctx context.Context, address string) error {
			conn, err := dial(ctx, address)
			if err == nil {
				_ = conn.Close()
			}
			return err
		},
	}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = d.Run(ctx) }()
	return d
}

func (d *testDialer) dial(t *testing.T, address string) (*Conn, error) {
	conn, err := d.Dial(context.Background(), address)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn.(*Conn), nil
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("not within 4 s: " + what)
}

// Guards against connections that are tried directly while the paths are lost, against an
// instance that does not notice the loss or the end of it, and against connections from
// before either that are used after it.
func TestDialerTakesDetoursWhileThePathsAreLost(t *testing.T) {
	is := is.New(t)
	a, b, c, untested := listen(t, echo), listen(t, echo), listen(t, echo), listen(t, echo)
	peers := []Peer{{Instance: "far", Zone: "b", Address: newPeer(t, a, b, c, untested)}, {Instance: "near", Zone: "a", Address: newPeer(t, a, b, c, untested)}}
	d := newTestDialer(t, peers, a, b, c)
	before, err := d.dial(t, a)
	is.NoErr(err)
	is.Equal(before.Detour(), "")
	d.cut.Store(true)
	_, err = d.dial(t, a)
	is.True(err != nil) // the target may have failed
	for _, target := range []string{b, c} {
		conn, err := d.dial(t, target)
		is.NoErr(err)
		is.Equal(conn.Detour(), "near")
	}
	time.Sleep(4 * witnessInterval)
	is.True(!d.Lost()) // all targets may be lost
	d.reached.Store(true)
	eventually(t, "paths lost", d.Lost)
	is.True(!before.Usable())
	during, err := d.dial(t, untested)
	is.NoErr(err)
	is.Equal(during.Detour(), "near")
	is.True(during.Usable())
	_, direct := d.dialed.Load(untested)
	is.True(!direct) // it would take the time of a connection that hangs
	d.cut.Store(false)
	eventually(t, "paths regained", func() bool { return !d.Lost() })
	after, err := d.dial(t, b)
	is.NoErr(err)
	is.Equal(after.Detour(), "")
	is.Equal(d.changes.Load(), int64(2))
}

// Guards against the loss of all paths being declared where a few targets have failed, and
// where no other instance reaches any.
func TestLossOfTargetsIsNoLossOfPaths(t *testing.T) {
	is := is.New(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	gone := closed.Addr().String()
	peer := newPeer(t, gone)
	d := newTestDialer(t, []Peer{{Instance: "p", Zone: "a", Address: peer}}, gone, listen(t, echo))
	d.reached.Store(true)
	for range 2 * testTargets {
		_, err := d.dial(t, gone)
		is.True(err != nil)
	}
	is.True(d.Check(context.Background()))
	time.Sleep(4 * witnessInterval)
	is.True(!d.Lost())
}

// Guards against requests that fail because an instance that takes detours finds no other
// one, though it reaches the target itself again.
func TestDirectIsTheLastResort(t *testing.T) {
	is := is.New(t)
	target := listen(t, echo)
	d := newTestDialer(t, nil, target)
	d.setLost(true)
	conn, err := d.dial(t, target)
	is.NoErr(err)
	is.Equal(conn.Detour(), "")
}

// Guards against an instance that does not ask while it knows none that reaches targets, and
// against answers from instances that reach none.
func TestInstancesAnswerWhetherTheyReachTargets(t *testing.T) {
	is := is.New(t)
	target := listen(t, echo)
	asks, standby, cutOff := newTestDialer(t, nil, target), newTestDialer(t, nil, target), newTestDialer(t, nil, target)
	asks.cut.Store(true)
	cutOff.cut.Store(true)
	asked := make(chan struct{}, 1)
	asks.OnAsk = func() { asked <- struct{}{} }
	go asks.Check(context.Background())
	<-asked
	is.True(asks.Asking())
	var answers atomic.Int64
	cutOff.Answer(context.Background(), func() { answers.Add(100) })
	standby.Answer(context.Background(), func() { answers.Add(1); asks.reached.Store(true) })
	eventually(t, "paths lost", asks.Lost)
	is.Equal(answers.Load(), int64(1))
	direct := standby.direct.Load()
	standby.Answer(context.Background(), func() { answers.Add(1) })
	is.Equal(answers.Load(), int64(2))
	is.Equal(standby.direct.Load(), direct) // a recent connection answers
}
