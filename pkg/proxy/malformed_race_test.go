package proxy

import (
	"context"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// sendsAfter returns a behaviour of a target that sends text as it is after a time.
func sendsAfter(d time.Duration, text string) func(net.Conn, *http.Request, int) bool {
	return func(c net.Conn, r *http.Request, n int) bool {
		time.Sleep(d)
		return sends(text, n)(c, r, n)
	}
}

// openBefore returns a DialTarget with a connection to each address that is open already: the time
// for connecting in a race is short, and passes on a busy machine.
func openBefore(t *testing.T, addresses []string) func(context.Context, string) (net.Conn, error) {
	open := map[string]chan net.Conn{}
	for _, address := range addresses {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		open[address] = make(chan net.Conn, 1)
		open[address] <- c
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		select {
		case c := <-open[address]:
			return c, nil
		default:
			return detour.Direct{}.Dial(ctx, address)
		}
	}
}

// malformedHeads returns the malformed answers with a malformed head.
func malformedHeads() map[string]string {
	heads := allMalformed()
	for name := range malformedChunks {
		delete(heads, "chunks, "+name)
	}
	return heads
}

// Guards against a hedge or a second attempt whose answer is malformed and takes the sound answer
// of the other attempt away from the caller, and against a malformed one of the first attempt.
func TestMalformedAnswerLosesTheRace(t *testing.T) {
	for name, text := range malformedHeads() {
		for kind, tc := range map[string]struct {
			hedgeAfter    time.Duration
			first, second func(net.Conn, *http.Request, int) bool
		}{
			"hedge":                       {20 * time.Millisecond, after(250*time.Millisecond, okText), sendsAfter(0, text)},
			"first attempt of a hedge":    {20 * time.Millisecond, sendsAfter(150*time.Millisecond, text), after(200*time.Millisecond, okText)},
			"second attempt":              {0, after(400*time.Millisecond, okText), sendsAfter(0, text)},
			"first attempt with a second": {0, sendsAfter(250*time.Millisecond, text), after(150*time.Millisecond, okText)},
		} {
			t.Run(name+"/"+kind, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				first, second := newTarget(t, tc.first), newTarget(t, tc.second)
				addresses := []string{first.ln.Addr().String(), second.ln.Addr().String()}
				r := newTestProxy(t, Options{DialTarget: openBefore(t, addresses)}, addresses...)
				r.hedgeAfter(tc.hedgeAfter)
				response, body := r.dial(t).send("GET", "/get", "", r.keyLine())
				is.Equal(response.StatusCode, http.StatusOK)
				is.Equal(body, "ok")
				r.mu.Lock()
				defer r.mu.Unlock()
				is.True(slices.Contains(r.results, Broken)) // the malformed answer counts against its target
				is.Equal(len(r.results), 2)
			})
		}
	}
}

// Guards against a refusal that says "not run" if all attempts of a race bring malformed answers,
// and against a sound answer of one that is not passed on since the other brings a malformed one.
func TestRaceWithoutASoundAnswer(t *testing.T) {
	const claimsNotRun = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX A: b\r\nContent-Length: 0\r\n\r\n"
	for name, tc := range map[string]struct {
		hedgeAfter    time.Duration
		first, second func(net.Conn, *http.Request, int) bool
		status        int
		outcome       refusal.Outcome
	}{
		"both of a hedge":      {20 * time.Millisecond, sendsAfter(100*time.Millisecond, claimsNotRun), sendsAfter(0, claimsNotRun), http.StatusBadGateway, refusal.OutcomeUnknown},
		"both of two attempts": {0, sendsAfter(300*time.Millisecond, claimsNotRun), sendsAfter(150*time.Millisecond, claimsNotRun), http.StatusBadGateway, refusal.OutcomeUnknown},
		"failure, then hedge":  {20 * time.Millisecond, after(60*time.Millisecond, failedText), sendsAfter(200*time.Millisecond, claimsNotRun), http.StatusInternalServerError, ""},
		"failure, then second": {0, after(250*time.Millisecond, failedText), sendsAfter(150*time.Millisecond, claimsNotRun), http.StatusInternalServerError, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			first, second, third := newTarget(t, tc.first), newTarget(t, tc.second), newTarget(t, sendsAfter(0, claimsNotRun))
			r := newTestProxy(t, Options{}, first.ln.Addr().String(), second.ln.Addr().String(), third.ln.Addr().String())
			r.hedgeAfter(tc.hedgeAfter)
			response, _ := r.dial(t).send("GET", "/get", "", r.keyLine())
			is.Equal(response.StatusCode, tc.status)
			is.Equal(response.Header.Get(refusal.OutcomeHeader), string(tc.outcome))
		})
	}
}
