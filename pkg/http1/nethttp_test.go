package http1

import (
	"io"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
)

// read sends a request to a server that answers with text, and returns the body of its response.
func read(t *testing.T, text string) (string, error) {
	server, err := rawhttp.Start(text, false)
	is.New(t).NoErr(err)
	defer server.Close()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+server.Addr()+"/", nil)
	is.New(t).NoErr(err)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := Client{&http.Client{Transport: transport}}.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a client of net/http that accepts what is no response.
func TestClientRefuses(t *testing.T) {
	for name, text := range rawhttp.Malformed("", "no") {
		body, err := read(t, text)
		var syntax *SyntaxError
		if errors.As(err, &syntax) == rawhttp.ReadByNetHTTP[name] {
			t.Errorf("%s: body %q, %v", name, body, err)
		}
	}
}

// Guards against sound responses that a client of net/http cannot read.
func TestClientReads(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 \r\nX-A:\r\n!#$%&'*+-.^_`|~: \xe4\r\nContent-Length: 2\r\n\r\nok":                           "ok",
		"HTTP/1.1 103 x\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":                          "ok",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n2;a=b\r\nok\r\n0\r\nX-A: b\r\n\r\n": "ok",
		"HTTP/1.1 204 x\r\n\r\n": "",
	} {
		body, err := read(t, text)
		is.New(t).NoErr(err)
		is.New(t).Equal(body, want)
	}
}
