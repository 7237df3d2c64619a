package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against a request that is admitted although one of the checks should
// refuse it, and against a refusal with the wrong code or outcome.
func TestRefusals(t *testing.T) {
	tg := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{MaxRequestBody: 1000}, tg.ln.Addr().String())
	expire := func(c *config.Config) {
		c.Batches = map[string]config.Batch{"spring": {Share: 1, Expires: time.Now().Add(-time.Second)}}
	}
	secret := r.key[strings.IndexByte(r.key, '.')+1:]
	encoded := fmt.Sprintf("%%%x%s", secret[0], secret[1:])
	cases := map[string]struct {
		path   string
		header []string
		body   string
		edit   func(*config.Config)
		code   refusal.Code
	}{
		"no key":            {path: "/put", code: "key_missing"},
		"foreign bearer":    {path: "/put", header: []string{"Authorization: Bearer xyz"}, code: "key_missing"},
		"wrong secret":      {path: "/put", header: []string{r.keyLine() + "x"}, code: "key_invalid"},
		"empty key":         {path: "/put", header: []string{"X-Arbutus-Key: "}, code: "key_invalid"},
		"key twice":         {path: "/put", header: []string{r.keyLine(), r.keyLine()}, code: "key_misplaced"},
		"both headers":      {path: "/put", header: []string{r.keyLine(), "Authorization: Bearer al_k2.abcdefghij"}, code: "key_misplaced"},
		"key in query":      {path: "/put?k=" + r.key, header: []string{r.keyLine()}, code: "key_misplaced"},
		"secret in path":    {path: "/put/" + encoded, header: []string{r.keyLine()}, code: "key_misplaced"},
		"encoded twice":     {path: "/put?" + strings.Replace(encoded, "%", "%25", 1), header: []string{r.keyLine()}, code: "key_misplaced"},
		"secret in cookie":  {path: "/put", header: []string{r.keyLine(), "Cookie: a=" + secret}, code: "key_misplaced"},
		"secret in name":    {path: "/put", header: []string{r.keyLine(), secret + ": 1"}, code: "key_misplaced"},
		"secret in id":      {path: "/put", header: []string{r.keyLine(), "X-Request-Id: " + secret}, code: "key_misplaced"},
		"secret in team":    {path: "/put", header: []string{r.keyLine(), "X-Team: " + secret}, code: "key_misplaced"},
		"secret in hop":     {path: "/put", header: []string{r.keyLine(), "Proxy-Authorization: " + secret}, code: "key_misplaced"},
		"dot segment":       {path: "/put/%2e%2e/closed", header: []string{r.keyLine()}, code: "request_invalid"},
		"absolute form":     {path: "http://h/put", header: []string{r.keyLine()}, code: "request_invalid"},
		"endless encoding":  {path: "/put?%2525252525252541", header: []string{r.keyLine()}, code: "request_invalid"},
		"two lengths":       {path: "/put", header: []string{r.keyLine(), "Content-Length: 3"}, code: "request_invalid"},
		"large body":        {path: "/put", header: []string{r.keyLine()}, body: strings.Repeat("a", 1001), code: "request_too_large"},
		"expired batch":     {path: "/put", header: []string{r.keyLine()}, edit: expire, code: "batch_expired"},
		"unknown route":     {path: "/other", header: []string{r.keyLine()}, code: "route_unknown"},
		"closed route":      {path: "/closed", header: []string{r.keyLine()}, code: "route_closed"},
		"closed, two slash": {path: "//closed", header: []string{r.keyLine()}, code: "route_closed"},
		"closed, encoded":   {path: "/%63losed%2Fx", header: []string{r.keyLine()}, code: "route_closed"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r.publish(tc.edit)
			response, body := r.dial(t).send("POST", tc.path, tc.body, tc.header...)
			is.Equal(response.Header.Get(refusal.CodeHeader), string(tc.code))
			is.Equal(response.Header.Get(refusal.OutcomeHeader), "not-run")
			is.True(strings.HasPrefix(body, `{"code":"`+string(tc.code)+`","outcome":"not-run","message":"`))
			is.True(!strings.Contains(body, secret))
			is.Equal(tg.requestCount.Load(), int64(0))
		})
	}
}

// Guards against a Retry-After hint that lets callers retry too early because it
// was rounded down.
func TestRetryAfterRoundsUp(t *testing.T) {
	is := is.New(t)
	r := newTestProxy(t, Options{})
	r.take = func() error { return refusal.WithRetryAfter(refusal.RateExceeded, 1100*time.Microsecond) }
	response, _ := r.dial(t).send("POST", "/put", "", r.keyLine())
	is.Equal(response.StatusCode, 429)
	is.Equal(response.Header.Get("Retry-After")+"/"+response.Header.Get("Retry-After-Ms"), "1/2")
}

// Guards against a withdrawn key that still works on a keep-alive connection, also
// when the key is withdrawn, or the route gets another service, while a request
// waits for the rate limiter.
func TestWithdrawnKeyOnKeepAliveConnection(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, respond(okText))
	r := newTestProxy(t, Options{}, tg.ln.Addr().String())
	c := r.dial(t)
	_, body := c.send("POST", "/put", "", r.keyLine())
	is.Equal(body, "ok")
	withdraw := func() error {
		r.publish(func(c *config.Config) { c.Keys = nil })
		return nil
	}
	r.take = withdraw
	for range 2 {
		response, _ := c.send("POST", "/put", "", r.keyLine())
		is.Equal(response.Header.Get(refusal.CodeHeader), "key_invalid")
		is.Equal(response.Header.Get(refusal.OutcomeHeader), "not-run")
	}
	is.Equal(tg.requestCount.Load(), int64(1))
	r.publish(nil)
	r.take = func() error {
		r.publish(func(c *config.Config) {
			c.Routes = map[string]config.Route{"put": {PathPrefix: "/put", Service: "moved", OpenToAll: true, TimeoutMS: 300}}
		})
		return nil
	}
	response, _ := c.send("POST", "/put", "", r.keyLine())
	is.Equal(response.Header.Get(refusal.CodeHeader), "instance_not_fresh")
	is.Equal(tg.requestCount.Load(), int64(1))
}

// Guards against a process that was paused between admission and write, or
// between two attempts, and then acts on an outdated configuration: the fence must
// be checked before every write.
func TestFenceIsAskedBeforeEveryWrite(t *testing.T) {
	is := is.New(t)
	tg := newTarget(t, respondAndClose("broken\n\n"))
	r := newTestProxy(t, Options{}, tg.ln.Addr().String(), tg.ln.Addr().String())
	for allowedChecks, want := range []string{"instance_not_fresh not-run 0", "instance_not_fresh not-run 0", "instance_not_fresh unknown 1"} {
		tg.requestCount.Store(0)
		var checks atomic.Int64
		r.mayServe = func() bool { return checks.Add(1) <= int64(allowedChecks) }
		response, _ := r.dial(t).send("POST", "/get", "", r.keyLine())
		is.Equal(fmt.Sprint(response.Header.Get(refusal.CodeHeader), " ", response.Header.Get(refusal.OutcomeHeader), " ", tg.requestCount.Load()), want)
	}
}

// Guards against a key outside its header that reaches a target in any spelling.
// "$S" in the inputs stands for the secret, whose i-th byte is percent-encoded if
// bit i%64 of encode is set, and "$T" for the same percent-encoded once more.
func FuzzKeyNeverReachesTarget(f *testing.F) {
	f.Add("/put/$S", "X-A", "b", uint64(0))
	f.Add("/put?k=$T", "X-$S", "$S", uint64(5))
	f.Add("/put", "Connection", "$S, x", ^uint64(0))
	f.Add("/put", "Trailer", "X-Arbutus-Key", uint64(1))
	f.Add("/put", "Cookie", "a=b; c=$S", uint64(2))
	f.Add("/put#$S", "Host", "$S", uint64(3))
	f.Add("/put", "X-A", "1\r\n $S", uint64(4))
	f.Add("/put", "authorization", "Basic $S", uint64(0))
	tg := newTarget(f, respond(okText))
	r := newTestProxy(f, Options{}, tg.ln.Addr().String())
	secret := r.key[strings.IndexByte(r.key, '.')+1:]
	f.Fuzz(func(t *testing.T, path, name, value string, encode uint64) {
		var once strings.Builder
		for i := range len(secret) {
			if encode>>(i%64)&1 == 1 {
				fmt.Fprintf(&once, "%%%02X", secret[i])
			} else {
				once.WriteByte(secret[i])
			}
		}
		fill := strings.NewReplacer("$S", once.String(), "$T", url.PathEscape(once.String()))
		tg.mu.Lock()
		tg.lastRequest = nil
		tg.mu.Unlock()
		c := r.dial(t)
		_ = c.SetDeadline(time.Now().Add(2 * time.Second))
		_, _, _ = c.try("POST", fill.Replace(path), "", r.keyLine(), fill.Replace(name)+": "+fill.Replace(value))
		_ = c.Close()
		tg.mu.Lock()
		defer tg.mu.Unlock()
		if tg.lastRequest != nil && containsSecret(tg.lastRequest, secret) {
			t.Fatalf("the target saw the secret: %s %v", tg.lastRequest.RequestURI, tg.lastRequest.Header)
		}
	})
}

// containsSecret reports whether the request line, the host or the headers contain
// the secret, also after up to ten passes of percent-decoding.
func containsSecret(r *http.Request, secret string) bool {
	var text strings.Builder
	_, _ = io.WriteString(&text, r.RequestURI+" "+r.Host+" ")
	_ = r.Header.Write(&text)
	for s, i := text.String(), 0; ; i++ {
		if strings.Contains(strings.ToLower(s), strings.ToLower(secret)) {
			return true
		}
		decoded, err := url.PathUnescape(s)
		if err != nil || decoded == s || i == 10 {
			return false
		}
		s = decoded
	}
}
