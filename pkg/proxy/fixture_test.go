package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// target is a server on loopback whose behaviour a test scripts.
type target struct {
	ln net.Listener
	// respond serves the n-th request of a connection, counted from 0; false closes
	// the connection.
	respond func(c net.Conn, r *http.Request, n int) bool
	// onClose are called when a connection ends.
	onClose      []func()
	requestCount atomic.Int64
	mu           sync.Mutex
	lastRequest  *http.Request
}

func newTarget(t testing.TB, respond func(c net.Conn, r *http.Request, n int) bool, onClose ...func()) *target {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	tg := &target{ln: ln, respond: respond, onClose: onClose}
	go func() {
		for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
			go tg.serve(c)
		}
	}()
	return tg
}

func (tg *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		for _, f := range tg.onClose {
			f()
		}
	}()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		// A request is counted as soon as its first byte arrives.
		if _, err := r.Peek(1); err != nil {
			return
		}
		tg.requestCount.Add(1)
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(request.Body)
		request.Body = io.NopCloser(strings.NewReader(string(body)))
		tg.mu.Lock()
		tg.lastRequest = request
		tg.mu.Unlock()
		if !tg.respond(c, request, n) {
			return
		}
	}
}

// respond returns a behaviour of a target that sends text, with CRLF line ends, to
// every request.
func respond(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, _ *http.Request, _ int) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "\n", "\r\n"))
		return true
	}
}

const okText = "HTTP/1.1 200 OK\nContent-Length: 2\n\nok"

// testProxy is a proxy on loopback. It implements the components of the proxy
// itself, except for the clock, so that tests control them.
type testProxy struct {
	proxy    *Proxy
	address  string
	key      string
	config   *config.Config
	view     atomic.Pointer[control.View]
	mayServe func() bool
	take     func() error
	// onAcquire, if not nil, is called when a request asks for a target.
	onAcquire func()
	targets   []string
	mu        sync.Mutex
	results   []Result
	load      Load
	// hedges is the Hedger of tests with hedges.
	hedges testHedger
	// previous are the results before the retries that were asked for.
	previous []Result
}

func (r *testProxy) View() *control.View                { return r.view.Load() }
func (r *testProxy) MayServe() bool                     { return r.mayServe() }
func (r *testProxy) Take(context.Context, string) error { return r.take() }
func (r *testProxy) Enter(context.Context, Request) (func(), error) {
	return func() {}, nil
}

func (r *testProxy) TakeRetry(request Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.previous = append(r.previous, request.Previous)
	return true
}

func (r *testProxy) Acquire(_ Request, tried []string) (Attempt, error) {
	if r.onAcquire != nil {
		r.onAcquire()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(tried) >= len(r.targets) {
		return nil, refusal.New(refusal.NoTarget, nil)
	}
	return &attempt{r, r.targets[len(tried)]}, nil
}

// setTargets replaces the targets while hedges of answered requests may still ask for one.
func (r *testProxy) setTargets(targets ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targets = targets
}

// AcquireNow implements ImmediateBalancer.
func (r *testProxy) AcquireNow(request Request, tried []string) Attempt {
	a, err := r.Acquire(request, tried)
	if err != nil {
		return nil
	}
	return a
}

type attempt struct {
	r       *testProxy
	address string
}

func (a *attempt) Target() string  { return a.address }
func (a *attempt) Address() string { return a.address }
func (a *attempt) Done(result Result, _ time.Duration, load Load) {
	a.r.mu.Lock()
	defer a.r.mu.Unlock()
	a.r.results, a.r.load = append(a.r.results, result), load
}

// publish makes the test's configuration, changed by edit, the current one.
func (r *testProxy) publish(edit func(c *config.Config)) {
	c := *r.config
	c.Keys = map[string]config.Key{"k1": r.config.Keys["k1"]}
	if edit != nil {
		edit(&c)
	}
	r.view.Store(&control.View{Config: config.NewSnapshot(1, &c)})
}

// newTestProxy starts a proxy in front of targets: /get is idempotent with three
// attempts, /put is not idempotent, /closed is not open to any team. The n-th
// attempt of a request goes to the n-th target.
func newTestProxy(t testing.TB, options Options, targets ...string) *testProxy {
	key, stored := config.GenerateKey("k1", "school")
	c := config.Empty()
	c.Keys["k1"] = stored
	c.Batches["spring"] = config.Batch{Share: 1, Expires: time.Now().Add(time.Hour)}
	c.Teams["school"] = config.Team{Batch: "spring", RatePerSecond: 1e6, Burst: 1000}
	c.Routes["get"] = config.Route{PathPrefix: "/get", Service: "s", OpenToAll: true, Idempotent: true, TimeoutMS: 600, MaxAttempts: 3}
	c.Routes["put"] = config.Route{PathPrefix: "/put", Service: "s", OpenToAll: true, TimeoutMS: 300, MaxAttempts: 1}
	c.Routes["closed"] = config.Route{PathPrefix: "/closed", Service: "s", TimeoutMS: 300, MaxAttempts: 1}
	r := &testProxy{key: key, config: c, targets: targets, mayServe: func() bool { return true }, take: func() error { return nil }}
	r.publish(nil)
	r.proxy = New(Ports{Viewer: r, ServeChecker: r, Clock: clock.System{}, Limiter: r, Queue: r, Balancer: r}, options)
	r.address = listen(t, r.proxy.NewServer(r.proxy.Handle))
	return r
}

func listen(t testing.TB, server interface{ Serve(net.Listener) error }) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = server.Serve(ln) }()
	return ln.Addr().String()
}

// caller is a caller's connection to the proxy.
type caller struct {
	net.Conn
	r *bufio.Reader
	t testing.TB
}

func (r *testProxy) dial(t testing.TB) *caller {
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	// A reset on close keeps tests with many connections from using up the local ports.
	_ = c.(*net.TCPConn).SetLinger(0)
	t.Cleanup(func() { _ = c.Close() })
	return &caller{c, bufio.NewReader(c), t}
}

// send sends one request with additional header lines and returns the complete
// response and its body. A failure fails the test.
func (c *caller) send(method, path, body string, header ...string) (*http.Response, string) {
	response, text, err := c.try(method, path, body, header...)
	if err != nil {
		c.t.Error(err)
		return &http.Response{}, ""
	}
	return response, text
}

// start sends a request without waiting for the response.
func (c *caller) start(method, path, body string, header ...string) {
	lines := strings.Join(append(header, ""), "\r\n")
	_, _ = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n%s", method, path, len(body), lines, body)
}

// try is send with an error instead of a failed test.
func (c *caller) try(method, path, body string, header ...string) (*http.Response, string, error) {
	c.start(method, path, body, header...)
	response, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, "", err
	}
	text, err := io.ReadAll(response.Body)
	return response, string(text), err
}

func (r *testProxy) keyLine() string { return "X-Arbutus-Key: " + r.key }
