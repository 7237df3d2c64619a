package proxy

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// sizes are those of responses that are held without a reservation, held in memory of
// the budget, and streamed.
var sizes = map[string]int{"small": 1000, "just small": unbudgetedBody, "held": 200_000, "just held": maxBufferedBody, "streamed": 3_000_000}

// framings are the ways to send a body of a size, and whether it says where it ends.
var framings = map[string]func(size int) string{
	"length": func(size int) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: %d\n\n%s", size, strings.Repeat("b", size))
	},
	"chunks": func(size int) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n")
		for left := size; left > 0; left -= 10_000 {
			n := min(left, 10_000)
			fmt.Fprintf(&b, "%x\n%s\n", n, strings.Repeat("b", n))
		}
		return b.String() + "0\n\n"
	},
}

// Guards against bodies that are changed on the way, against memory that is not given
// back, and against a body that refers to its call after the call has ended: processes
// ended at the first response between 64 KiB and 512 KiB.
func TestBodiesOfAllSizes(t *testing.T) {
	for size, bytes := range sizes {
		for framing, text := range framings {
			t.Run(size+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				target := newTarget(t, respond(text(bytes)))
				r := newTestProxy(t, Options{}, target.ln.Addr().String())
				c := r.dial(t)
				for range 3 {
					response, body := c.send("GET", "/get", "", r.keyLine())
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(len(body), bytes)
				}
				waitUntil(t, func() bool { return r.proxy.Open() == 0 && r.proxy.Budget().Used == 0 })
				r.mu.Lock()
				defer r.mu.Unlock()
				is.Equal(r.results, []Result{Answered, Answered, Answered})
			})
		}
	}
}

// Guards against a large response that breaks off and is complete to the caller, and
// against one that breaks off before anything went to the caller and is not replaced.
func TestLargeResponseThatBreaksOff(t *testing.T) {
	for size, bytes := range sizes {
		for framing, text := range framings {
			t.Run(size+"/"+framing, func(t *testing.T) {
				is := is.New(t)
				whole := text(bytes)
				broken := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
					respond(whole[:len(whole)-len(whole)/10])(c, r, n)
					return false
				})
				good := newTarget(t, respond(whole))
				r := newTestProxy(t, Options{}, broken.ln.Addr().String(), good.ln.Addr().String())
				response, body, err := r.dial(t).try("GET", "/get", "", r.keyLine())
				waitUntil(t, func() bool { return r.proxy.Open() == 0 && r.proxy.Budget().Used == 0 })
				if bytes > maxBufferedBody {
					is.True(err != nil) // not complete
				} else {
					is.NoErr(err)
					is.Equal(response.StatusCode, http.StatusOK)
					is.Equal(len(body), bytes)
				}
				r.mu.Lock()
				defer r.mu.Unlock()
				is.Equal(r.results[0], Broken)
			})
		}
	}
}

// Guards against refusing a request that has run because the memory is in use.
func TestResponseWithoutBudgetIsStreamed(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, respond(framings["length"](300_000)))
	r := newTestProxy(t, Options{BodyBudget: 1000}, target.ln.Addr().String())
	response, body := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(len(body), 300_000)
	is.Equal(r.proxy.Budget().Refused, int64(1))
}

// Guards against a request body that is forwarded in part, and against one that is
// refused after it ran.
func TestRequestBodies(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{BodyBudget: 500_000}, target.ln.Addr().String())
	large := strings.Repeat("b", 400_000)
	response, _ := r.dial(t).send("POST", "/put", large, r.keyLine())
	is.Equal(response.StatusCode, http.StatusOK)
	is.Equal(r.proxy.Budget().Used, int64(0))
	is.True(r.proxy.budget.Reserve(200_000)) // another request's
	response, _ = r.dial(t).send("POST", "/put", large, r.keyLine())
	is.Equal(response.StatusCode, http.StatusServiceUnavailable)
	is.Equal(response.Header.Get("X-Arbutus-Outcome"), "not-run")
	is.True(response.Header.Get("Retry-After") != "")
	response, _ = r.dial(t).send("POST", "/put", strings.Repeat("b", 600_000), r.keyLine())
	is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
	is.Equal(target.requestCount.Load(), int64(1))

	c := r.dial(t)
	_, _ = fmt.Fprintf(c, "POST /put HTTP/1.1\r\nHost: h\r\n%s\r\nContent-Length: 40000\r\n\r\n%s", r.keyLine(), strings.Repeat("b", 20_000))
	is.NoErr(c.Conn.(*net.TCPConn).CloseWrite())
	_, _ = http.ReadResponse(c.r, nil)
	is.Equal(target.requestCount.Load(), int64(1))
}

// Guards against a caller that holds a connection by a body of one byte at a time.
func TestSlowBodyEnds(t *testing.T) {
	is := is.New(t)
	target := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{CallerTimeout: 500 * time.Millisecond}, target.ln.Addr().String())
	c := r.dial(t)
	_, _ = fmt.Fprintf(c, "POST /put HTTP/1.1\r\nHost: h\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n", r.keyLine())
	began := time.Now()
	go func() {
		for time.Since(began) < 3*time.Second {
			if _, err := c.Write([]byte("1\r\nx\r\n")); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	_, _ = http.ReadResponse(c.r, nil)
	is.True(time.Since(began) < 1500*time.Millisecond)
	is.Equal(target.requestCount.Load(), int64(0))
}

func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not within 2 s")
}
