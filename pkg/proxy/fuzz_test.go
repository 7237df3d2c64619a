package proxy

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp/fasthttputil"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// soundHead matches a response head with the interim ones before it, by the grammar of RFC 9110 and
// RFC 9112. Its last group is the status. It is written apart from package http1, which it checks.
var soundHead = func() *regexp.Regexp {
	const rest = "(?: [\\t -~\u0080-\u00ff]*)?\\r\\n(?:[-!#$%&'*+.^_`|~0-9A-Za-z]+:[\\t -~\u0080-\u00ff]*\\r\\n)*\\r\\n"
	return regexp.MustCompile("^(?:HTTP/1\\.[0-9] 1[0-9][0-9]" + rest + ")*HTTP/1\\.[0-9] ([2-5][0-9][0-9])" + rest)
}()

// soundStatus returns the status of the response that data begins with; empty if its head is no HTTP.
func soundStatus(data []byte) string {
	text := make([]rune, len(data))
	for i, c := range data {
		text[i] = rune(c)
	}
	if match := soundHead.FindStringSubmatch(string(text)); match != nil {
		return match[1]
	}
	return ""
}

// newPipeProxy returns a proxy that reaches its targets through pipes, and a caller of it: the ports
// of a machine last for a few seconds of fuzzing.
func newPipeProxy(t *testing.T, reached map[string]*target, targets ...string) (*testProxy, *caller) {
	dial := func(_ context.Context, address string) (net.Conn, error) {
		here, there := net.Pipe()
		t.Cleanup(func() { _, _ = here.Close(), there.Close() })
		go reached[address].serve(there)
		return here, nil
	}
	r := newTestProxy(t, Options{Dialect: testDialect(), NonIdempotentMaxIdle: time.Second, PollInterval: 10 * time.Millisecond, DialTarget: dial}, targets...)
	ln := fasthttputil.NewInmemoryListener()
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = r.proxy.NewServer(r.proxy.Handle).Serve(ln) }()
	conn, err := ln.Dial()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return r, &caller{conn, bufio.NewReader(conn), t}
}

// FuzzTargetResponse guards against bytes from a target that crash the data path, reach a caller
// as a malformed response, or as a response although they are none, say "not run" although they
// are none, or are read as the response to the next request.
func FuzzTargetResponse(f *testing.F) {
	for _, seed := range []string{
		okText, "HTTP/1.1 200 OK\n\nunframed", "HTTP/1.1 200 OK\nContent-Length: 9\n\nshort", notRunText,
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nokHTTP/1.1 200 OK\nContent-Length: 5\n\nextra",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n\n", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\nContent-Length: 2\n\n2\nok\n0\n\n",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2;" + strings.Repeat("extension", 3000) + "\nok\n0\n\n",
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n0\n" + strings.Repeat("X-More: 1\n", 3000) + "\n",
		strings.Repeat("HTTP/1.1 103 x\n\n", 40) + okText, "HTTP/1.1 200 OK\n" + strings.Repeat("X-More: 1\n", 3000) + "\n",
		"HTTP/1.1 200 OK\nContent-Length: 1000000000000\n\nok", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n" + strings.Repeat("0", 3000) + "\n\n",
		"HTTP/1.1 200 OK\nContent-Length: -1\n\n", "HTTP/1.1 100 Continue\n\n" + okText, "HTTP/1.1 101 Switching\n\n", "nonsense\n\n",
		"HTTP/1.1 200 OK\nX-Request-Id: other\nContent-Length: 2\n\nno", "HTTP/1.1 999 Odd\nContent-Length: 0\n\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\nContent-Length: 3\n\nok!", "\x00\x01\x02", "HTTP/1.0 200 OK\nConnection: close\n\nold",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "\n", "\r\n")))
	}
	for _, text := range allMalformed() {
		f.Add([]byte(text))
	}
	for _, text := range soundText {
		f.Add([]byte(strings.ReplaceAll(text, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		odd := &target{respond: func(c net.Conn, _ *http.Request, n int) bool {
			if n == 0 {
				_, _ = c.Write(data)
			}
			return n > 0
		}}
		r, caller := newPipeProxy(t, map[string]*target{"odd": odd, "good": {respond: respond(okText)}}, "odd")
		response, _, err := caller.try("POST", "/put", "x", r.keyLine())
		if err == nil {
			err = http1.CheckResponse(response)
		}
		if err != nil {
			t.Fatalf("the response to %q is malformed: %v", data, err)
		}
		status, isRefusal := soundStatus(data), response.Header.Get(refusal.CodeHeader) != ""
		switch {
		case status == "" && !isRefusal:
			t.Fatalf("%q is passed on as a response with status %d", data, response.StatusCode)
		case status == "" && response.Header.Get(refusal.OutcomeHeader) != string(refusal.OutcomeUnknown):
			t.Fatalf("%q is believed to say %q", data, response.Header.Get(refusal.OutcomeHeader))
		case !isRefusal && status != strconv.Itoa(response.StatusCode) && !bytes.Contains(bytes.ToLower(data), []byte("x-request-id")):
			t.Fatalf("the status of %q is read as %d", data, response.StatusCode)
		}
		r.targets = []string{"good"}
		response, body, err := caller.try("POST", "/put", "x", r.keyLine())
		if err != nil || response.StatusCode != http.StatusOK || body != "ok" {
			t.Fatalf("the next response after %q: %v %q", data, err, body)
		}
	})
}

// FuzzCallerRequest guards against bytes from a caller that crash the data path,
// and against request smuggling: each request that reaches a target must have its
// own response.
func FuzzCallerRequest(f *testing.F) {
	const key = "X-Arbutus-Key: KEY\n"
	for _, seed := range []string{
		"GET /get HTTP/1.1\nHost: h\n" + key + "\n",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Content-Length: 2\n\nhi",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Content-Length: 3\nTransfer-Encoding: chunked\n\n0\n\nGET /get HTTP/1.1\nHost: h\n" + key + "\n",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Transfer-Encoding: chunked\nTransfer-Encoding: identity\n\n1\nx\n0\n\n",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Content-Length: 0\nContent-Length: 30\n\nGET /get HTTP/1.1\nHost: h\n" + key + "\n",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Content-Length : 4\n\nbody",
		"POST /put HTTP/1.1\nHost: h\n" + key + "Transfer-Encoding:\x0bchunked\n\n0\n\n",
		"GET /get HTTP/1.1\nHost: h\nX-A: b\n folded\n" + key + "\n", "GET http://h/get HTTP/1.1\n" + key + "\n",
		"GET /get HTTP/1.1\nHost: h\nX: a\x00b\n" + key + "\n", "GET /get\x00 HTTP/1.1\nHost: h\n" + key + "\n", "\x16\x03\x01",
	} {
		f.Add([]byte(strings.ReplaceAll(seed, "\n", "\r\n")))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		target := newTarget(t, respond(okText))
		r := newDialectTestProxy(t, 0, target.ln.Addr().String())
		conn := r.dial(t)
		_, _ = io.WriteString(conn, strings.ReplaceAll(string(data), "KEY", r.key))
		_ = conn.Conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		responses := int64(0)
		for reader := bufio.NewReader(conn); ; responses++ {
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				break
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				break
			}
		}
		if ran := target.requestCount.Load(); ran > responses {
			t.Fatalf("%d requests ran for %d responses", ran, responses)
		}
	})
}
