package proxy

import (
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// newCrashingTarget returns the address of a target that a POST with the body "deadly"
// ends.
func newCrashingTarget(t *testing.T, crashes *atomic.Int64) string {
	var tg *target
	tg = newTarget(t, func(c net.Conn, r *http.Request, n int) bool {
		body := make([]byte, 6)
		if k, _ := r.Body.Read(body); string(body[:k]) == "deadly" {
			crashes.Add(1)
			_ = tg.ln.Close()
			return false
		}
		return respond(okText)(c, r, n)
	})
	return tg.ln.Addr().String()
}

// Guards against a request that crashes all targets of its attempts, and those of later
// requests that are the same.
func TestRequestThatCrashesTargetsIsNotSentOn(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	var targets []string
	for range 8 {
		targets = append(targets, newCrashingTarget(t, &crashes))
	}
	r := newTestProxy(t, Options{}, targets...)
	send := func(body string) string {
		response, _ := r.dial(t).send("POST", "/get", body, r.keyLine())
		return response.Header.Get(refusal.CodeHeader)
	}
	is.Equal(send("deadly"), "target_failed")
	is.Equal(crashes.Load(), int64(2)) // of three attempts
	r.targets = r.targets[2:]
	is.Equal(send("deadly"), "target_failed")
	is.Equal(crashes.Load(), int64(3))
	r.targets = r.targets[1:]
	for range 5 {
		is.Equal(send("deadly"), "request_quarantined")
	}
	is.Equal(crashes.Load(), int64(3))
	is.Equal(send("other"), "")
}

// Guards against the quarantine of requests that lose connections to targets which go on,
// such as those that close idle connections or break responses off.
func TestLostConnectionIsNoCrash(t *testing.T) {
	is := is.New(t)
	closing := newTarget(t, func(net.Conn, *http.Request, int) bool { return false })
	r := newTestProxy(t, Options{}, closing.ln.Addr().String(), closing.ln.Addr().String(), closing.ln.Addr().String())
	for range 5 {
		response, _ := r.dial(t).send("POST", "/get", "x", r.keyLine())
		is.Equal(response.Header.Get(refusal.CodeHeader), "target_failed")
	}
	is.Equal(closing.requestCount.Load(), int64(15)) // all three attempts of each
	time.Sleep(20 * time.Millisecond)
	is.True(r.proxy.Quarantine.Empty())
}

// Guards against a suspicion that outlives a success, and against one that a success from
// before the crash ends.
func TestSuccessEndsSuspicion(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	good := newTarget(t, respond(okText)).ln.Addr().String()
	r := newTestProxy(t, Options{}, newCrashingTarget(t, &crashes), newCrashingTarget(t, &crashes))
	send := func() int {
		response, _ := r.dial(t).send("POST", "/get", "deadly", r.keyLine())
		return response.StatusCode
	}
	is.Equal(send(), http.StatusBadGateway)
	is.Equal(crashes.Load(), int64(2))
	r.targets = []string{good}
	is.Equal(send(), http.StatusOK)
	r.targets = []string{newCrashingTarget(t, &crashes), newCrashingTarget(t, &crashes)}
	is.Equal(send(), http.StatusBadGateway)
	is.Equal(crashes.Load(), int64(4)) // it counts anew
}

// Guards against a request that was admitted before its quarantine and is sent after it.
func TestQuarantineHoldsForWaitingRequests(t *testing.T) {
	is := is.New(t)
	var crashes atomic.Int64
	r := newTestProxy(t, Options{}, newCrashingTarget(t, &crashes))
	r.onAcquire = func() {
		d := quarantine.DigestOf("school", "POST", "h", "/get", []byte("deadly"))
		for known := (quarantine.Suspicion{}); known.Crashes < 3; known.Crashes++ {
			r.proxy.Quarantine.RecordCrash([]quarantine.Loss{{Digest: d, Known: known}})
		}
	}
	response, _ := r.dial(t).send("POST", "/get", "deadly", r.keyLine())
	is.Equal(response.Header.Get(refusal.CodeHeader), "request_quarantined")
	is.Equal(response.Header.Get(refusal.OutcomeHeader), string(refusal.OutcomeNotRun))
	is.Equal(crashes.Load(), int64(0))
}
