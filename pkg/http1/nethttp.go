package http1

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"

	"github.com/cockroachdb/errors"
)

// Doer sends requests of package net/http, as *http.Client does.
type Doer interface {
	Do(request *http.Request) (*http.Response, error)
}

// Client is a Doer that accepts only what this package takes for a response, as far as net/http
// shows it: heads, interim ones included, and trailers. net/http itself decides on the framing: of
// a Content-Length beside a Transfer-Encoding it takes the latter, and it ignores what follows the
// size of a chunk. Errors also: *SyntaxError, from Do and from reads of the body.
type Client struct{ Doer }

// Do sends a request and checks the head of its response.
func (c Client) Do(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, fields textproto.MIMEHeader) error {
		return checkMap(FieldLine, fields)
	}}
	response, err := c.Doer.Do(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := CheckResponse(response); err != nil {
		_ = response.Body.Close()
		return nil, errors.WithStack(err)
	}
	if response.Body != http.NoBody {
		response.Body = &trailerChecker{ReadCloser: response.Body, response: response}
	}
	return response, nil
}

// CheckResponse checks the head of a response that net/http has read. Errors: *SyntaxError.
func CheckResponse(response *http.Response) error {
	line := response.Proto + " " + response.Status
	if response.ProtoMajor == 1 {
		if err := checkStatusLine([]byte(line)); err != nil {
			return err
		}
	} else if response.TLS == nil || response.TLS.NegotiatedProtocol != "h2" {
		return newSyntaxError(StatusLine, "the protocol is not HTTP/1", []byte(line))
	}
	return checkMap(FieldLine, response.Header)
}

// checkMap checks fields that net/http has read.
func checkMap(part Part, fields map[string][]string) error {
	for name, values := range fields {
		if !isToken(name) {
			return newSyntaxError(part, "the name is no token", []byte(name))
		}
		if value := strings.Join(values, ""); !isText(value) {
			return newSyntaxError(part, "the value has a control character", []byte(name+": "+value))
		}
	}
	return nil
}

// trailerChecker is a body that ends with an error if its trailers are malformed.
type trailerChecker struct {
	io.ReadCloser
	response *http.Response
}

// Read implements io.Reader.
func (b *trailerChecker) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkMap(Trailer, b.response.Trailer); malformed != nil {
			return n, errors.WithStack(malformed)
		}
	}
	return n, err
}
