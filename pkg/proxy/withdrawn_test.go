package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

// withdrawingBalancer assigns requests as testProxy does; the attempts at the withdrawn
// targets are withdrawn before their write.
type withdrawingBalancer struct {
	*testProxy
	withdrawn map[string]bool
}

type withdrawnAttempt struct{ *attempt }

func (withdrawnAttempt) Withdrawn() bool { return true }

func (b *withdrawingBalancer) Acquire(r Request, tried []string) (Attempt, error) {
	a, err := b.testProxy.Acquire(r, tried)
	if err == nil && b.withdrawn[a.Target()] {
		return withdrawnAttempt{a.(*attempt)}, nil
	}
	return a, err
}

func (b *withdrawingBalancer) AcquireNow(r Request, tried []string) Attempt {
	a, err := b.Acquire(r, tried)
	if err != nil {
		return nil
	}
	return a
}

// Guards against a request that is written to a target although that went out of use after
// the choice: in a first attempt, a retry or a second attempt beside a slow one. The request
// goes to another target, also one that may be written only once, or it is refused as not run.
func TestWithdrawnTargetGetsNoRequest(t *testing.T) {
	out := newTarget(t, respond(okText))
	healthy := newTarget(t, respond(okText))
	failing := newTarget(t, func(net.Conn, *http.Request, int) bool { return false })
	slow := newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		time.Sleep(450 * time.Millisecond)
		return respond(okText)(c, r, n)
	})
	address := func(tg *target) string { return tg.ln.Addr().String() }
	cases := []struct {
		name, method, path string
		targets            []*target
		hedgeDelay         time.Duration
		status             int
		outcome            string
	}{
		{"first attempt", "POST", "/put", []*target{out, healthy}, 0, 200, ""},
		{"retry", "GET", "/get", []*target{failing, out, healthy}, 0, 200, ""},
		{"second attempt", "GET", "/get", []*target{slow, out, out}, 0, 200, ""},
		{"hedge", "GET", "/get", []*target{slow, out, out}, 50 * time.Millisecond, 200, ""},
		{"no other target", "POST", "/put", []*target{out}, 0, 503, "not-run"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			var addresses []string
			for _, tg := range tc.targets {
				addresses = append(addresses, address(tg))
			}
			r := newTestProxy(t, Options{}, addresses...)
			b := &withdrawingBalancer{r, map[string]bool{address(out): true}}
			p := New(Ports{Viewer: r, ServeChecker: r, Clock: clock.System{}, Limiter: r, Queue: r, Balancer: b}, r.proxy.options)
			p.Hedger = &testHedger{balancer: b, delay: tc.hedgeDelay}
			r.address = listen(t, p.NewServer(p.Handle))
			response, _ := r.dial(t).send(tc.method, tc.path, "", r.keyLine())
			is.Equal(response.StatusCode, tc.status)
			is.Equal(response.Header.Get("X-Arbutus-Outcome"), tc.outcome)
			is.Equal(out.requestCount.Load(), int64(0))
		})
	}
}
