package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// truncatedText are responses of which a test sends a part. None may pass as whole without
// its last byte.
var truncatedText = map[string]string{
	"length":       "HTTP/1.1 200 OK\nX-A: b\nContent-Length: 12\n\nabcdefghijkl",
	"length first": "HTTP/1.1 200 OK\nContent-Length: 0\nX-A: b\n\n",
	"chunks":       "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nX-A: b\n\n3\nabc\n0\n\n",
	"interim":      "HTTP/1.1 103 Early Hints\nLink: x\n\nHTTP/1.1 200 OK\nContent-Length: 1\n\na",
	"no content":   "HTTP/1.1 204 No Content\nX-A: b\n\n",
}

// Guards against a truncated response that a caller gets as a whole one.
func TestTruncatedResponsesAreNotWhole(t *testing.T) {
	for _, d := range []*Dialect{nil, testDialect()} {
		for name, text := range truncatedText {
			for _, ending := range []string{"close", "half", "reset"} {
				t.Run(fmt.Sprintf("%s/%s/proven=%t", name, ending, d != nil), func(t *testing.T) {
					t.Parallel()
					testTruncation(t, d, strings.ReplaceAll(text, "\n", "\r\n"), ending)
				})
			}
		}
	}
}

// testTruncation sends each proper prefix of a response on a connection that was kept.
func testTruncation(t *testing.T, d *Dialect, whole, ending string) {
	is := is.New(t)
	var sent atomic.Int64
	tg := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		if r.URL.Path == "/get" {
			return respond(okText)(c, r, n)
		}
		part := whole[:sent.Load()]
		_, _ = io.WriteString(c, part[:len(part)/2])
		if len(part)%2 == 1 {
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(c, part[len(part)/2:])
		switch tcp := c.(*net.TCPConn); ending {
		case "half":
			_ = tcp.CloseWrite()
			return true
		case "reset":
			_ = tcp.SetLinger(0)
		}
		return false
	})
	r := newTestProxy(t, Options{Dialect: d, NonIdempotentMaxIdle: time.Minute}, tg.ln.Addr().String())
	c := r.dial(t)
	for n := range len(whole) {
		sent.Store(int64(n))
		c.send("GET", "/get", "", r.keyLine())
		response, _ := c.send("POST", "/put", "", r.keyLine())
		if code := response.Header.Get(refusal.CodeHeader); code != "target_failed" {
			t.Errorf("after %q the caller got %d %q", whole[:n], response.StatusCode, code)
		}
		is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeUnknown))
	}
}
