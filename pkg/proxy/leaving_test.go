package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against connections that are kept to a target that leaves.
func TestConnectionsToLeavingTargetAreNotKept(t *testing.T) {
	var onKept int
	count := func(text string) func(net.Conn, *http.Request, int) bool {
		answer := respond(text)
		return func(c net.Conn, r *http.Request, n int) bool {
			onKept = max(onKept, n)
			return answer(c, r, n)
		}
	}
	for _, tc := range []struct {
		name   string
		text   string
		unused bool
		kept   int
	}{
		{"stays", okText, false, 2},
		{"says that it leaves", "HTTP/1.1 200 OK\nX-Draining: true\nContent-Length: 2\n\nok", false, 0},
		{"gets no further requests", okText, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			onKept = 0
			tg := newTarget(t, count(tc.text))
			r := newTestProxy(t, Options{NonIdempotentMaxIdle: time.Minute}, tg.ln.Addr().String())
			c := r.dial(t)
			for range 3 {
				response, _ := c.send(http.MethodGet, "/get", "", r.keyLine())
				is.Equal(response.StatusCode, http.StatusOK)
				if tc.unused {
					r.proxy.CloseIdle(tg.ln.Addr().String())
				}
			}
			is.Equal(onKept, tc.kept) // requests after the first on one connection
		})
	}
}
