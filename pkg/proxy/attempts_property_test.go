package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// scriptDraw draws the behaviour of a target for one request.
func scriptDraw(label string) func(*rapid.T) script {
	kind := rapid.IntRange(0, int(answerKinds)-1)
	after := rapid.SampledFrom([]time.Duration{0, 30 * time.Millisecond, 80 * time.Millisecond, 160 * time.Millisecond, 300 * time.Millisecond})
	return func(t *rapid.T) script {
		return script{answerKind(kind.Draw(t, label)), after.Draw(t, label+" after")}
	}
}

// sendChunked is try with the body in chunks.
func (c *caller) sendChunked(path, body string, header ...string) (*http.Response, string, error) {
	const chunk = 100_000
	var text strings.Builder
	fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%s\r\n\r\n", path, strings.Join(header, "\r\n"))
	for len(body) > 0 {
		n := min(chunk, len(body))
		fmt.Fprintf(&text, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	text.WriteString("0\r\n\r\n")
	if _, err := io.WriteString(c, text.String()); err != nil {
		return nil, "", err
	}
	response, err := http.ReadResponse(c.r, &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, "", err
	}
	answer, err := io.ReadAll(response.Body)
	return response, string(answer), err
}

// Guards against anything that two attempts of a request share wrongly, in any order of early,
// late, rejected and broken answers: bytes of another request inside of a body, a promise for a
// request that ran, an answer to another request, and a second run of a non-idempotent one.
func TestAttemptsShareNothing(t *testing.T) {
	s := newScriptedTargets(t)
	carrier := startCarrier(t)
	relayed := func(ctx context.Context, address string) (net.Conn, error) {
		return detour.Connect(ctx, carrier, address, time.Second)
	}
	var proxies []*testProxy
	for _, dial := range []func(context.Context, string) (net.Conn, error){nil, relayed} {
		for _, hedgeAfter := range []time.Duration{0, 20 * time.Millisecond} {
			r := newScriptedProxy(t, s, 250*time.Millisecond, Options{DialTarget: dial})
			r.hedgeAfter(hedgeAfter)
			proxies = append(proxies, r)
		}
	}
	promised, count := map[string]bool{}, 0
	drawFirst, drawSecond := scriptDraw("first target"), scriptDraw("second target")
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		r := rapid.SampledFrom(proxies).Draw(rt, "proxy")
		path := rapid.SampledFrom([]string{"/get", "/get", "/put"}).Draw(rt, "path")
		body := strings.Repeat(string(bodyByte), rapid.SampledFrom([]int{0, 100, longBody}).Draw(rt, "body"))
		chunked := rapid.Bool().Draw(rt, "chunked")
		if rapid.Bool().Draw(rt, "second target first") {
			r.setTargets(s.addresses[1], s.addresses[0])
		} else {
			r.setTargets(s.addresses...)
		}
		count++
		id := fmt.Sprintf("r%d", count)
		first, second := drawFirst(rt), drawSecond(rt)
		s.set(id, first, second)
		c := r.dial(t)
		var response *http.Response
		var answer string
		var err error
		if chunked {
			response, answer, err = c.sendChunked(path, body, r.keyLine(), idLine(id))
		} else {
			response, answer, err = c.try("POST", path, body, r.keyLine(), idLine(id))
		}
		_ = c.Close()
		is.NoErr(err)
		switch {
		case response.StatusCode == http.StatusOK:
			is.Equal(answer, "ok "+id)
		case response.Header.Get(refusal.OutcomeHeader) == string(refusal.OutcomeNotRun):
			promised[id] = true
			is.True(!s.ran(id))
		}
		for n, addresses := range [][]string{{s.addresses[0], s.addresses[1]}, {s.addresses[1], s.addresses[0]}} {
			r.setTargets(addresses...)
			next := fmt.Sprintf("%s-%d", id, n)
			c := r.dial(t)
			response, answer, err := c.try("POST", "/get", "", r.keyLine(), idLine(next))
			_ = c.Close()
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusOK)
			is.Equal(answer, "ok "+next)
		}
		is.Equal(len(s.foreignBytes()), 0)
		is.True(path == "/get" || s.runCount(id) <= 1)
	})
	time.Sleep(10 * readOnPause) // until the targets have read on
	is := is.New(t)
	is.Equal(len(s.foreignBytes()), 0)
	for id := range promised {
		is.True(!s.ran(id))
	}
}
