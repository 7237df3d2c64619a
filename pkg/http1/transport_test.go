package http1

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
)

// serve answers each request with text, with CRLF in place of each LF, and returns a client of the
// server.
func serve(t *testing.T, text string, closing bool) (*fasthttp.HostClient, *rawhttp.Server) {
	server, err := rawhttp.Start(strings.ReplaceAll(text, "\n", "\r\n"), closing)
	is.New(t).NoErr(err)
	t.Cleanup(server.Close)
	return &fasthttp.HostClient{
		Addr: server.Addr(), Transport: Transport{}, MaxResponseBodySize: 100, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}, server
}

// get sends a request and returns the status, the body and the error of its response.
func get(client *fasthttp.HostClient, method string) (int, string, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.Header.SetMethod(method)
	request.SetRequestURI("http://" + client.Addr + "/")
	err := client.DoTimeout(request, response, 500*time.Millisecond)
	return response.StatusCode(), string(response.Body()), err
}

// Guards against a client that accepts what is no response, or uses its connection further.
func TestTransportRefuses(t *testing.T) {
	for text, part := range map[string]Part{
		"HTTP/1.1 000 OK\nContent-Length: 2\n\nno":                         StatusLine,
		"HTTP/2.0 200 OK\nContent-Length: 2\n\nno":                         StatusLine,
		"HTTP/1.1 099 x\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nno":       StatusLine,
		"HTTP/1.1 200 O\x00K\nContent-Length: 2\n\nno":                     StatusLine,
		"HTTP/1.1 200 OK\nX A: b\nContent-Length: 2\n\nno":                 FieldLine,
		"HTTP/1.1 200 OK\nTransfer-Encoding : chunked\n\n2\nno\n0\n\n":     FieldLine,
		"HTTP/1.1 200 OK\nContent-Length: +2\n\nno":                        Framing,
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2 \nno\n0\n\n":     ChunkLine,
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n0\nX A: b\n\n":     Trailer,
		"HTTP/1.1 103 x\nX A: b\n\nHTTP/1.1 200 OK\nContent-Length: 0\n\n": FieldLine,
	} {
		client, server := serve(t, text, false)
		for n := range 2 {
			_, body, err := get(client, fasthttp.MethodGet)
			var syntax *SyntaxError
			if !errors.As(err, &syntax) || syntax.Part != part || body != "" {
				t.Errorf("%q: body %q, %v", text, body, err)
			}
			is.New(t).Equal(server.Conns(), n+1) // the connection was not used again
		}
	}
}

// Guards against sound responses that a client cannot read.
func TestTransportReads(t *testing.T) {
	for text, want := range map[string]string{
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nok":                                       "ok",
		"HTTP/1.1 200 \nX-A:\nTransfer-Encoding: chunked\n\n1\no\n1;a\nk\n0\nX-B: c\n\n": "ok",
		"HTTP/1.1 103 x\n\nHTTP/1.1 200 OK\nContent-Length: 2\n\nok":                     "ok",
		"HTTP/1.1 204 x\n\n": "",
	} {
		client, server := serve(t, text, false)
		for range 3 {
			_, body, err := get(client, fasthttp.MethodGet)
			is.New(t).NoErr(err)
			is.New(t).Equal(body, want)
		}
		is.New(t).Equal(server.Conns(), 1)
	}
	client, _ := serve(t, "HTTP/1.0 200 OK\n\nup to the end", true)
	_, body, err := get(client, fasthttp.MethodGet)
	is.New(t).NoErr(err)
	is.New(t).Equal(body, "up to the end")
	client, _ = serve(t, "HTTP/1.1 404 x\nContent-Length: 9\n\n", false)
	status, _, err := get(client, fasthttp.MethodHead)
	is.New(t).NoErr(err)
	is.New(t).Equal(status, fasthttp.StatusNotFound)
}

// Guards against limits that are lost with the transport of fasthttp, and against surplus bytes
// that are read as the response to the next request.
func TestTransportLimits(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{
		"HTTP/1.1 200 OK\nContent-Length: 101\n\n" + strings.Repeat("x", 101),
		"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n65\n" + strings.Repeat("x", 101) + "\n0\n\n",
	} {
		client, _ := serve(t, text, false)
		_, _, err := get(client, fasthttp.MethodGet)
		is.True(errors.Is(err, fasthttp.ErrBodyTooLarge))
	}
	for _, text := range []string{"", "HTTP/1.1 200 OK\nContent-Length: 2\n\n", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n"} {
		client, _ := serve(t, text, false)
		_, _, err := get(client, fasthttp.MethodGet)
		is.True(errors.Is(err, fasthttp.ErrTimeout))
		client, _ = serve(t, text, true)
		_, _, err = get(client, fasthttp.MethodGet)
		is.True(err != nil && !errors.Is(err, fasthttp.ErrTimeout))
	}
	client, server := serve(t, "HTTP/1.1 200 OK\nContent-Length: 2\n\nokHTTP/1.1 500 No\nContent-Length: 0\n\n", false)
	for range 3 {
		status, _, err := get(client, fasthttp.MethodGet)
		is.NoErr(err)
		is.Equal(status, fasthttp.StatusOK)
	}
	is.Equal(server.Conns(), 3)
}
