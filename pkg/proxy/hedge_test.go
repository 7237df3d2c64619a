package proxy

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testHedger makes a hedge due at a fixed age. It sends hedges to the targets of a balancer.
type testHedger struct {
	balancer ImmediateBalancer
	delay    time.Duration
	// wait delays the target of a hedge. refuse refuses all hedges.
	wait   time.Duration
	refuse bool

	mu       sync.Mutex
	asked    int
	won      []bool
	wasted   time.Duration
	observed []bool // of first attempts: whether they were canceled
	slow     []string
}

// hedgeAfter turns hedging on; with a delay of 0 none is due.
func (r *testProxy) hedgeAfter(delay time.Duration) {
	r.hedges.balancer, r.hedges.delay = r, delay
	r.proxy.Hedger = &r.hedges
}

func (h *testHedger) HedgeDelay(Request, time.Duration, time.Duration) time.Duration { return h.delay }

func (h *testHedger) StartHedge(r Request, tried []string, _, _ time.Duration) <-chan Attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	if h.refuse {
		return nil
	}
	found := make(chan Attempt, 1)
	go func() {
		time.Sleep(h.wait)
		found <- h.balancer.AcquireNow(r, tried)
	}()
	return found
}

func (h *testHedger) ObserveFirst(_ Request, _ time.Duration, _ int64, canceled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observed = append(h.observed, canceled)
}

func (h *testHedger) HedgeEnded(_ Request, won bool, wasted time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.won, h.wasted = append(h.won, won), h.wasted+wasted
}

// ObserveSlow implements AttemptWithAge.
func (a *attempt) ObserveSlow(time.Duration) {
	h := &a.r.hedges
	h.mu.Lock()
	defer h.mu.Unlock()
	h.slow = append(h.slow, a.address)
}

// after returns a behaviour of a target that responds after a time.
func after(d time.Duration, text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, n int) bool {
		time.Sleep(d)
		return respond(text)(c, r, n)
	}
}

const failedText = "HTTP/1.1 500 Internal Server Error\nContent-Length: 2\n\nno"

// Guards against a hedge whose end is not reported, against the age of the slower attempt being
// lost, and against a slow first attempt that counts as a failure of its target.
func TestHedgeIsReported(t *testing.T) {
	for name, tc := range map[string]struct {
		first, second func(net.Conn, *http.Request, int) bool
		want          []Result
		won, canceled bool
	}{
		"hedge wins":          {after(300*time.Millisecond, okText), respond(okText), []Result{Canceled, Answered}, true, true},
		"first attempt wins":  {after(60*time.Millisecond, okText), after(300*time.Millisecond, okText), []Result{Canceled, Answered}, false, false},
		"hedge fails":         {after(100*time.Millisecond, okText), respond(failedText), []Result{ServerError, Answered}, false, false},
		"hedge is lost":       {after(100*time.Millisecond, okText), func(net.Conn, *http.Request, int) bool { return false }, []Result{Broken, Answered}, false, false},
		"first attempt fails": {after(60*time.Millisecond, failedText), after(60*time.Millisecond, okText), []Result{ServerError, Answered}, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newTarget(t, tc.first), newTarget(t, tc.second)
			r := newTestProxy(t, Options{}, first.ln.Addr().String(), second.ln.Addr().String())
			r.hedgeAfter(20 * time.Millisecond)
			response, body := r.dial(t).send("GET", "/get", "", r.keyLine())
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, "ok")
			is.Equal(r.results, tc.want)
			is.Equal(r.hedges.won, []bool{tc.won})
			is.True(r.hedges.wasted > 0)
			is.Equal(len(r.hedges.slow) > 0, tc.canceled)
			if name != "first attempt fails" {
				is.Equal(r.hedges.observed, []bool{tc.canceled})
			}
			is.Equal(first.requestCount.Load()+second.requestCount.Load(), int64(2))
		})
	}
}

// Guards against a response that begins first, stalls, and takes the complete response of the other
// target away from the caller; and against waiting for a body that is none.
func TestFirstCompleteResponseWins(t *testing.T) {
	begun := func(c net.Conn, r *http.Request, n int) bool {
		respond("HTTP/1.1 200 OK\nContent-Length: 9\n\nhal")(c, r, n)
		time.Sleep(time.Second)
		return false
	}
	for name, tc := range map[string]struct {
		first, second func(net.Conn, *http.Request, int) bool
		method, body  string
	}{
		"first attempt stalls": {func(c net.Conn, r *http.Request, n int) bool {
			time.Sleep(40 * time.Millisecond)
			return begun(c, r, n)
		}, after(100*time.Millisecond, okText), "GET", "ok"},
		"hedge stalls":           {after(60*time.Millisecond, okText), begun, "GET", "ok"},
		"both are slow to begin": {after(60*time.Millisecond, okText), after(60*time.Millisecond, okText), "GET", "ok"},
		"no body":                {after(60*time.Millisecond, "HTTP/1.1 200 OK\nContent-Length: 9\n\n"), after(time.Second, okText), "HEAD", ""},
		"chunks":                 {after(60*time.Millisecond, "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n"), after(time.Second, okText), "GET", "ok"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, second := newTarget(t, tc.first), newTarget(t, tc.second)
			r := newTestProxy(t, Options{}, first.ln.Addr().String(), second.ln.Addr().String())
			r.hedgeAfter(20 * time.Millisecond)
			response, body := r.dial(t).send(tc.method, "/get", "", r.keyLine())
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(body, tc.body)
		})
	}
}

// Guards against a failed hedge that costs the request its retry: without the hedge, the slow
// attempt would have got one beside it.
func TestRetryAfterFailedHedge(t *testing.T) {
	is := is.New(t)
	slow, failing, good := newTarget(t, failures["silent"].answer), newTarget(t, respond(failedText)), newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, slow.ln.Addr().String(), failing.ln.Addr().String(), good.ln.Addr().String())
	r.hedgeAfter(20 * time.Millisecond)
	_, body := r.dial(t).send("GET", "/get", "", r.keyLine())
	is.Equal(body, "ok")
	is.Equal(good.requestCount.Load(), int64(1))
	is.Equal(r.hedges.asked, 1)
}

// Guards against more targets than the route permits, hedges included.
func TestHedgesCountAsAttempts(t *testing.T) {
	is := is.New(t)
	slow, failing := newTarget(t, after(150*time.Millisecond, failedText)), newTarget(t, respond(failedText))
	spare := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, slow.ln.Addr().String(), failing.ln.Addr().String(), spare.ln.Addr().String(), spare.ln.Addr().String())
	r.hedgeAfter(20 * time.Millisecond)
	route := r.config.Routes["get"]
	route.PathPrefix, route.MaxAttempts = "/two", 2
	r.config.Routes["two"] = route
	r.publish(nil)
	response, _ := r.dial(t).send("GET", "/two", "", r.keyLine())
	is.Equal(response.StatusCode, http.StatusInternalServerError)
	is.Equal(slow.requestCount.Load()+failing.requestCount.Load(), int64(2))
	is.Equal(spare.requestCount.Load(), int64(0))
}

// Guards against a first response that waits for the target of a hedge, and against a target
// that is got too late and stays assigned.
func TestHedgeDoesNotDelayTheFirstResponse(t *testing.T) {
	is := is.New(t)
	first, second := newTarget(t, after(60*time.Millisecond, okText)), newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, first.ln.Addr().String(), second.ln.Addr().String())
	r.hedgeAfter(20 * time.Millisecond)
	r.hedges.wait = 400 * time.Millisecond
	began := time.Now()
	_, body := r.dial(t).send("GET", "/get", "", r.keyLine())
	is.Equal(body, "ok")
	is.True(time.Since(began) < 300*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	is.Equal(r.results, []Result{Answered, Canceled})
	is.Equal(second.requestCount.Load(), int64(0))
}

// Guards against a request that is suspected of crashing targets and goes to two at once, and
// against a non-idempotent one that is hedged.
func TestSuspectedRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	r := newTestProxy(t, Options{})
	r.hedgeAfter(time.Millisecond)
	for _, tc := range []struct {
		idempotent, first bool
		crashes           uint32
		want              time.Duration
	}{
		{true, true, 0, time.Millisecond},
		{true, true, 1, 0},
		{false, true, 0, 0},
		{true, false, 0, 0},
	} {
		x := &exchange{call: &call{p: r.proxy, request: Request{Idempotent: tc.idempotent}}, isFirst: tc.first}
		x.suspicion.Crashes = tc.crashes
		is.Equal(x.hedgeDelay(time.Second), tc.want)
	}
}

// Guards against a refused hedge that changes what the caller gets.
func TestRefusedHedge(t *testing.T) {
	is := is.New(t)
	first, second := newTarget(t, after(60*time.Millisecond, okText)), newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, first.ln.Addr().String(), second.ln.Addr().String())
	r.hedgeAfter(20 * time.Millisecond)
	r.hedges.refuse = true
	_, body := r.dial(t).send("GET", "/get", "", r.keyLine())
	is.Equal(body, "ok")
	is.Equal(r.hedges.asked, 1)
	is.Equal(r.results, []Result{Answered})
	is.Equal(second.requestCount.Load(), int64(0))
}
