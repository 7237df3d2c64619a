package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against forwarded headers that contain the key, a forged team or values
// for one connection only, and against lost bodies and response headers.
func TestForwardsRequestAndResponse(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, respond("HTTP/1.1 201 Created\nX-Load: in_flight=3, queued=4\nX-Draining: true\nKeep-Alive: x\n"+
		"X-Arbutus-Outcome: not-run\nX-Kept: yes\nSet-Cookie: a=b\nTransfer-Encoding: chunked\n\n3\nabc\n0\n\n"))
	r := newTestProxy(t, Options{}, tg.ln.Addr().String())
	for _, keyLine := range []string{"X-Arbutus-Key: " + r.key, "Authorization: bearer " + r.key} {
		response, body := r.dial(t).send("POST", "/put/a%2Fb?q=%41", "payload", keyLine, "X-Team: other", "X-Deadline-Ms: 9",
			"X-Request-Id: id7", "Connection: keep-alive, X-Hop", "X-Hop: 1", "TE: trailers", "X-Sent: yes", "Cookie: c=d")
		is.Equal(response.StatusCode, 201)
		is.Equal(body, "abc")
		is.Equal(response.Header.Get("X-Kept")+response.Header.Get("X-Request-Id"), "yesid7")
		is.Equal(response.Header.Get("Set-Cookie"), "a=b")
		for _, name := range []string{"X-Load", "X-Draining", "Keep-Alive", refusal.OutcomeHeader} {
			is.Equal(response.Header.Get(name), "")
		}
		is.Equal(r.load, Load{Known: true, InFlight: 3, Queued: 4, Draining: true})
		got := tg.lastRequest
		sent, _ := io.ReadAll(got.Body)
		is.Equal(string(sent), "payload")
		is.Equal(got.RequestURI, "/put/a%2Fb?q=%41")
		is.Equal(got.Header["X-Team"], []string{"school"})
		is.Equal(got.Header.Get("X-Request-Id")+got.Header.Get("X-Sent")+got.Header.Get("Cookie"), "id7yesc=d")
		ms, err := strconv.Atoi(got.Header.Get("X-Deadline-Ms"))
		is.NoErr(err)
		is.True(ms > 200 && ms <= 300)
		for _, name := range []string{"X-Arbutus-Key", "Authorization", "Connection", "X-Hop", "Te"} {
			is.Equal(got.Header.Get(name), "")
		}
	}
}

// Guards against responses without a body, such as those to HEAD, that block the
// proxy or lose headers, and against passing a target's HTTP/1.0 to the caller.
func TestResponsesWithoutBody(t *testing.T) {
	is := is.New(t)
	for text, method := range map[string]string{
		"HTTP/1.0 200 OK\nContent-Length: 5\n\n":                     "HEAD",
		"HTTP/1.1 304 Not Modified\nContent-Length: 5\n\n":           "GET",
		"HTTP/1.1 103 Early\nLink: x\n\nHTTP/1.1 204 No Content\n\n": "DELETE",
	} {
		tg := newTarget(t, respond(text))
		r := newTestProxy(t, Options{}, tg.ln.Addr().String())
		c := r.dial(t)
		for range 2 {
			response, body := c.send(method, "/get", "", r.keyLine())
			is.Equal(body, "")
			is.True(response.ProtoMinor == 1 && (response.StatusCode == 204 || response.Header.Get("Content-Length") == "5"))
		}
	}
}

// failures are the ways in which a target can fail after the first byte of a request.
var failures = map[string]struct {
	answer func(net.Conn, *http.Request, int) bool
	code   refusal.Code
}{
	"closed":          {func(net.Conn, *http.Request, int) bool { return false }, "target_failed"},
	"silent":          {func(net.Conn, *http.Request, int) bool { return true }, "target_timeout"},
	"garbage":         {respond("nonsense\n\n"), "target_failed"},
	"short body":      {respondAndClose("HTTP/1.1 200 OK\nContent-Length: 9\n\nabc"), "target_failed"},
	"half header":     {respondAndClose("HTTP/1.1 200 OK\nContent-Le"), "target_failed"},
	"chunk cut":       {respondAndClose("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n5\nab"), "target_failed"},
	"chunks no end":   {respondAndClose("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n"), "target_failed"},
	"chunks no CRLF":  {respondAndClose("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nab\n0\n"), "target_failed"},
	"close-delimited": {respondAndClose("HTTP/1.0 200 OK\n\nabc"), "target_failed"},
	"upgrade":         {respond("HTTP/1.1 101 Switching\n\n"), "target_failed"},
	"shed":            {respond("HTTP/1.1 503 Busy\nX-Shed: true\nContent-Length: 0\n\n"), "target_shed"},
	"reset": {func(c net.Conn, _ *http.Request, _ int) bool {
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}, "target_failed"},
	"long header": {respond("HTTP/1.1 200 OK\nX-A: " + strings.Repeat("a", 20000) + "\n\n"), "target_failed"},
}

// respondAndClose is respond with a target that closes the connection afterwards.
func respondAndClose(text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, n int) bool { return respond(text)(c, r, n) && false }
}

// Guards against a non-idempotent request that is written twice, by this
// package or by fasthttp, and against truncated responses passed on as complete.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	for name, f := range failures {
		for _, reuse := range []time.Duration{0, time.Minute} {
			t.Run(name+"/"+reuse.String(), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				tg := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
					if r.URL.Path == "/get" {
						return respond(okText)(c, r, n)
					}
					return f.answer(c, r, n)
				})
				address := tg.ln.Addr().String()
				r := newTestProxy(t, Options{NonIdempotentMaxIdle: reuse}, address, address, address)
				c := r.dial(t)
				for _, method := range []string{"GET", "PUT", "POST", "DELETE", "HEAD", "OPTIONS"} {
					if method == "HEAD" && name != "closed" {
						continue // A response to HEAD has no body that could be truncated.
					}
					c.send("GET", "/get", "", r.keyLine()) // Leaves an idle connection.
					before := tg.requestCount.Load()
					response, _ := c.send(method, "/put", "", r.keyLine())
					is.Equal(response.Header.Get(refusal.CodeHeader), string(f.code))
					is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeUnknown))
					is.Equal(tg.requestCount.Load()-before, int64(1))
				}
			})
		}
	}
}

// Guards against sending a non-idempotent request again after a write failed and
// only a part of the request was written.
func TestPartialWriteIsNotRepeated(t *testing.T) {
	for _, taken := range []int64{1, 100, 100_000} {
		is := is.New(t)
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		var written atomic.Int64
		go func() {
			for c, err := ln.Accept(); err == nil; c, err = ln.Accept() {
				if n, _ := io.CopyN(io.Discard, c, taken); n > 0 {
					written.Add(1)
				}
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}
		}()
		address := ln.Addr().String()
		r := newTestProxy(t, Options{}, address, address, address)
		response, _ := r.dial(t).send("POST", "/put", strings.Repeat("a", 4<<20), r.keyLine())
		is.Equal(response.Header.Get(refusal.OutcomeHeader), "unknown")
		is.Equal(written.Load(), int64(1))
		is.NoErr(ln.Close())
	}
}

// Guards against an idempotent request that fails although another target works.
func TestIdempotentRetriesElsewhere(t *testing.T) {
	for name, f := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			bad, good := newTarget(t, f.answer), newTarget(t, respond(okText))
			r := newTestProxy(t, Options{}, bad.ln.Addr().String(), good.ln.Addr().String())
			response, body := r.dial(t).send("POST", "/get", "", r.keyLine())
			is.Equal(response.StatusCode, 200)
			is.Equal(body, "ok")
			is.Equal(bad.requestCount.Load()+good.requestCount.Load(), int64(2))
		})
	}
}

// Guards against a request with an unknown outcome because it was written to an
// idle connection that the target had closed.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, respondAndClose(okText))
	r := newTestProxy(t, Options{NonIdempotentMaxIdle: time.Minute}, tg.ln.Addr().String())
	c := r.dial(t)
	for range 5 {
		_, body := c.send("POST", "/put", "", r.keyLine())
		is.Equal(body, "ok")
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(tg.requestCount.Load(), int64(5))
}

// Guards against the outcome "unknown" when no target could be reached, and
// against a failure while another target can be reached.
func TestConnectFailure(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	dead := ln.Addr().String()
	is.NoErr(ln.Close())
	tg := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, dead, tg.ln.Addr().String())
	_, body := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(body, "ok")
	r = newTestProxy(t, Options{}, dead, dead, dead, dead)
	response, _ := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.Header.Get(refusal.CodeHeader), "connect_failed")
	is.Equal(response.Header.Get(refusal.OutcomeHeader), "not-run")
	is.Equal(r.results, []Result{NotSent, NotSent, NotSent})
}

// Guards against a response that is returned for another request: late responses
// and surplus bytes must not be read from a reused connection.
func TestResponsesAreNeverCrossed(t *testing.T) {
	for _, delay := range []time.Duration{0, 10 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) { testResponsesAreNeverCrossed(t, delay) })
	}
}

func testResponsesAreNeverCrossed(t *testing.T, delay time.Duration) {
	is := is.New(t)
	var late, reused atomic.Int64
	tg := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		id, surplus := r.Header.Get("X-Request-Id"), ""
		if sum := xxhash.Sum64String(id); sum%9 == 0 {
			late.Add(1)
			time.Sleep(150 * time.Millisecond)
		}
		if n == 1 {
			surplus = okText
		} else if n > 1 {
			reused.Add(1)
		}
		return respond("HTTP/1.1 200 OK\nContent-Length: "+strconv.Itoa(len(id))+"\n\n"+id+surplus)(c, r, n)
	})
	address := tg.ln.Addr().String()
	r := newTestProxy(t, Options{}, address, address)
	r.hedgeAfter(delay)
	r.publish(func(c *config.Config) {
		c.Routes = map[string]config.Route{"put": {PathPrefix: "/put", OpenToAll: true, TimeoutMS: 100, Idempotent: true, MaxAttempts: 2}}
	})
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			c := r.dial(t)
			for i := range 40 {
				id := "r" + strconv.Itoa(worker*1000+i)
				response, body := c.send("POST", "/put", "", r.keyLine(), "X-Request-Id: "+id)
				if response.StatusCode == 200 && body != id {
					t.Errorf("request %s: response %q", id, body)
				}
			}
		})
	}
	wg.Wait()
	is.True(tg.requestCount.Load() >= 320 && late.Load() > 10)
	is.Equal(reused.Load(), int64(0)) // No connection with surplus bytes is reused.
}

// Guards against a target that continues to work on a request whose caller has
// disconnected.
func TestCallerGoneCancels(t *testing.T) {
	is := is.New(t)
	closed := make(chan time.Duration, 1)
	tg := newTarget(t, func(c net.Conn, _ *http.Request, _ int) bool {
		began := time.Now()
		_, _ = c.Read(make([]byte, 1))
		closed <- time.Since(began)
		return false
	})
	r := newTestProxy(t, Options{}, tg.ln.Addr().String())
	c := r.dial(t)
	c.start("POST", "/get", "", r.keyLine())
	time.Sleep(20 * time.Millisecond)
	is.NoErr(c.Close())
	is.True(<-closed < 150*time.Millisecond)
	is.NoErr(r.proxy.Drain(context.Background()))
	is.Equal(r.results, []Result{Canceled})
}

// Guards against a shutdown that aborts requests or keeps idle connections.
func TestDrain(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	tg := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		<-release
		return respond(okText)(c, r, n)
	})
	r := newTestProxy(t, Options{}, tg.ln.Addr().String())
	done := make(chan bool)
	go func() {
		response, body := r.dial(t).send("POST", "/get", "", r.keyLine())
		done <- body == "ok" && response.Close
	}()
	for r.proxy.Open() == 0 {
		time.Sleep(time.Millisecond)
	}
	r.proxy.StartDrain(drain.NewPlan(r.proxy.Clock.SinceBoot(), time.Minute))
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	is.True(r.proxy.Drain(short) != nil)
	close(release)
	is.NoErr(r.proxy.Drain(context.Background()))
	is.True(<-done)
	is.Equal(len(r.proxy.pool.idle), 0)
}

// Guards against one request whose handling panics ending the process, or leaving an
// open request behind that delays a stop.
func TestPanicIsContained(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, target.ln.Addr().String())
	r.take = func() error { panic("unforeseen") }
	response, _ := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.StatusCode, http.StatusBadGateway)
	is.True(response.Close)
	r.take = func() error { return nil }
	response, _ = r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(r.proxy.Open(), int64(0))
}

// Guards against a repeat of a non-idempotent request after a failed attempt, whatever
// the number of attempts that its route permits.
func TestNonIdempotentIsNeverRepeated(t *testing.T) {
	is := is.New(t)
	r := newTestProxy(t, Options{})
	for _, idempotent := range []bool{false, true} {
		c := &call{p: r.proxy, request: Request{Idempotent: idempotent}, maxAttempts: 3, writeCount: 1, ioDeadline: time.Now().Add(time.Minute)}
		is.Equal(c.takeRetry(nil), idempotent)
	}
}

// Guards against a non-idempotent request that goes to more targets than its route
// permits, each of which proves that it did not run it.
func TestFurtherTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	for redirects := range 3 {
		busy := newTarget(t, respond(notRunText))
		r := newDialectTestProxy(t, redirects, slices.Repeat([]string{busy.ln.Addr().String()}, 6)...)
		response, _ := r.dial(t).send("POST", "/put", "", r.keyLine())
		is.True(response.StatusCode == http.StatusServiceUnavailable)
		is.Equal(busy.requestCount.Load(), int64(1+redirects))
	}
}
