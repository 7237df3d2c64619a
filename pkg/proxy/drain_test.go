package proxy

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against a shutdown that passes on requests which it then breaks off: they are refused
// as not run, at once, also when their timeout is that of the caller.
func TestDrainRefusesWhatItMayBreakOff(t *testing.T) {
	for name, tc := range map[string]struct {
		left   time.Duration
		path   string
		header []string
		served bool
	}{
		"ends in time":                      {left: 400 * time.Millisecond, path: "/put", served: true},
		"may end too late":                  {left: 250 * time.Millisecond, path: "/put"},
		"idempotent, may end too late":      {left: 500 * time.Millisecond, path: "/get"},
		"the caller's timeout ends in time": {left: 500 * time.Millisecond, path: "/get", header: []string{"X-Wait-Ms: 400"}, served: true},
		"at the end":                        {left: 0, path: "/put"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := newTarget(t, respond(okText))
			r := newTestProxy(t, Options{Dialect: testDialect()}, tg.ln.Addr().String())
			tokens := 0
			r.take = func() error { tokens++; return nil }
			c := r.dial(t)
			const length = 10 * time.Second
			r.proxy.StartDrain(drain.NewPlan(r.proxy.Clock.SinceBoot()-length+tc.left, length))
			response, _ := c.send("POST", tc.path, "", append(tc.header, r.keyLine())...)
			is.True(response.Close)
			if tc.served {
				is.Equal(response.StatusCode, http.StatusOK)
				return
			}
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			is.Equal(response.Header.Get(refusal.CodeHeader), string(refusal.ShuttingDown.Code))
			is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeNotRun))
			is.Equal(tg.requestCount.Load(), int64(0))
			is.Equal(tokens, 0) // refused at once
		})
	}
}

// Guards against a request that was admitted before the shutdown and is passed on late in it:
// after a wait for a target, and again after a failed attempt.
func TestDrainRefusesRequestsThatWaited(t *testing.T) {
	is := is.New(t)
	var r *testProxy
	late := func() { r.proxy.StartDrain(drain.NewPlan(r.proxy.Clock.SinceBoot()-time.Second, time.Second)) }
	good := newTarget(t, respond(okText))
	r = newTestProxy(t, Options{Dialect: testDialect()}, good.ln.Addr().String())
	r.onAcquire = late
	response, _ := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeNotRun))
	is.Equal(good.requestCount.Load(), int64(0))

	failing := newTarget(t, func(net.Conn, *http.Request, int) bool { late(); return false })
	r = newTestProxy(t, Options{Dialect: testDialect()}, failing.ln.Addr().String(), good.ln.Addr().String())
	response, _ = r.dial(t).send("GET", "/get", "", r.keyLine())
	is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeUnknown)) // the first target may have run it
	is.Equal(good.requestCount.Load(), int64(0))
}
