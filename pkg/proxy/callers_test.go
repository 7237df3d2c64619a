package proxy

import (
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/drain"
)

// lateListener delays each read of its connections after data has arrived, as a
// busy machine does that schedules the reader late.
type lateListener struct{ net.Listener }

const lateReadDelay = 150 * time.Millisecond

func (l lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &lateConn{Conn: conn}, err
}

// lateConn reads like a connection whose reader is scheduled late: a deadline that
// passes meanwhile ends the read although data has arrived.
type lateConn struct {
	net.Conn
	mu       sync.Mutex
	deadline time.Time
}

func (c *lateConn) NetConn() net.Conn { return c.Conn }

func (c *lateConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return nil
}

func (c *lateConn) expired() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && time.Now().After(c.deadline)
}

func (c *lateConn) Read(b []byte) (int, error) {
	for peek(c.Conn) == nothingReceived && !c.expired() {
		time.Sleep(time.Millisecond)
	}
	if !c.expired() {
		time.Sleep(lateReadDelay)
	}
	if c.expired() {
		return 0, os.ErrDeadlineExceeded
	}
	return c.Conn.Read(b)
}

// newStoppableProxy starts a proxy in front of one target, whose server the test stops.
func newStoppableProxy(t *testing.T, wrap func(net.Listener) net.Listener) (*testProxy, *CallerServer) {
	target := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, target.ln.Addr().String())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := r.proxy.NewServer(r.proxy.Handle)
	go func() { _ = server.Serve(wrap(ln)) }()
	r.address = ln.Addr().String()
	return r, server
}

// Guards against a graceful stop that closes a kept connection on which a request
// has already arrived, and cuts that request off without an answer.
func TestShutdownAnswersRequestsThatArrived(t *testing.T) {
	is := is.New(t)
	r, server := newStoppableProxy(t, func(ln net.Listener) net.Listener { return lateListener{ln} })
	kept, fresh := r.dial(t), r.dial(t)
	response, _ := kept.send(http.MethodGet, "/get", "", r.keyLine())
	is.Equal(response.StatusCode, http.StatusOK)

	r.proxy.StartDrain(drain.NewPlan(r.proxy.Clock.SinceBoot(), time.Minute))
	kept.start(http.MethodGet, "/get", "", r.keyLine())
	fresh.start(http.MethodGet, "/get", "", r.keyLine())
	time.Sleep(lateReadDelay / 3) // the requests have arrived but are not read yet
	stopped := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		stopped <- server.Shutdown(ctx)
	}()
	for name, c := range map[string]*caller{"kept": kept, "fresh": fresh} {
		response, err := http.ReadResponse(c.r, nil)
		if err != nil {
			t.Errorf("%s connection: %v", name, err)
			continue
		}
		is.Equal(response.StatusCode, http.StatusOK)
		is.True(response.Close)
	}
	is.NoErr(<-stopped)
}

// Guards against a stop that waits for idle connections, and against an answer on
// a connection without a request.
func TestShutdownClosesIdleConnections(t *testing.T) {
	is := is.New(t)
	r, server := newStoppableProxy(t, func(ln net.Listener) net.Listener { return ln })
	kept, fresh := r.dial(t), r.dial(t)
	_, _ = kept.send(http.MethodGet, "/get", "", r.keyLine())
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	is.NoErr(server.Shutdown(ctx))
	is.True(time.Since(began) < time.Second)
	for _, c := range []*caller{kept, fresh} {
		n, err := c.r.Read(make([]byte, 1))
		is.True(n == 0 && err != nil)
	}
}
