// Package ctl implements the commands of arbutusctl.
package ctl

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// client calls the operator API of one instance.
type client struct {
	server string
	token  string
	http   *fasthttp.Client
}

// newClient returns a client that trusts the system's certificate authorities,
// or only those of roots when it is not nil.
func newClient(server, token string, roots *x509.CertPool) *client {
	return &client{server: server, token: token, http: &fasthttp.Client{
		// By default fasthttp retries a request whose connection was closed. A retry
		// of a patch that took effect would be refused as stale.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Transport:                 http1.Transport{},
		TLSConfig:                 &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots},
	}}
}

// requestTimeout bounds one call; the answer to a patch includes the platform's
// response time.
const requestTimeout = 15 * time.Second

// CallError reports that an instance gave no answer or one that cannot be decoded.
type CallError struct {
	Server string
	Cause  error

	// mayHaveChanged is set for calls other than reads, which may have taken effect.
	mayHaveChanged bool
}

// Error names the instance and the cause.
func (e *CallError) Error() string { return "no answer from " + e.Server + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// RefusedError reports a refusal by the instance, or a failure that arbutusctl
// detected itself; Status is 0 in the latter case.
type RefusedError struct {
	Status  int
	Failure api.Failure
}

// Error gives the message and the details of the refusal.
func (e *RefusedError) Error() string {
	text := e.Failure.Message
	for _, f := range e.Failure.Fields {
		text += fmt.Sprintf("\n  %s: %s is not allowed; allowed: %s", f.Path, f.Value, f.Allowed)
	}
	for _, c := range e.Failure.Changes {
		text += fmt.Sprintf("\n  version %d by %s at %s: %s", c.Version, c.Author, c.Time.Format(time.RFC3339), strings.Join(c.Differences, ", "))
	}
	if e.Failure.Applied == api.AppliedUnknown {
		text += "\n  The change may have taken effect; read the configuration before repeating it."
	}
	return text
}

func (c *client) get(path string, query url.Values, into any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(c.server + path + "?" + query.Encode())
	return c.do(req, into)
}

func (c *client) post(path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.WithStack(&CallError{Server: c.server, Cause: err})
	}
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(c.server + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType(api.ContentTypeJSON)
	req.SetBody(data)
	return c.do(req, into)
}

func (c *client) patch(version int64, mediaType string, patch []byte) (api.PatchResult, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.SetRequestURI(c.server + api.ConfigPath)
	req.Header.SetMethod(fasthttp.MethodPatch)
	req.Header.SetContentType(mediaType)
	req.Header.Set(fasthttp.HeaderIfMatch, strconv.Quote(strconv.FormatInt(version, 10)))
	req.SetBody(patch)
	var result api.PatchResult
	err := c.do(req, &result)
	return result, err
}

// do sends a request and decodes the JSON answer into the value that into points
// to. Errors: *CallError, *RefusedError.
func (c *client) do(req *fasthttp.Request, into any) error {
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.Set(api.HeaderAuthorization, api.AuthorizationPrefix+c.token)
	mayHaveChanged := !req.Header.IsGet()
	if err := c.http.DoTimeout(req, resp, requestTimeout); err != nil {
		return errors.WithStack(&CallError{Server: c.server, Cause: err, mayHaveChanged: mayHaveChanged})
	}
	if resp.StatusCode() >= fasthttp.StatusBadRequest {
		return errors.WithStack(c.refusal(resp, mayHaveChanged))
	}
	if err := json.Unmarshal(resp.Body(), into); err != nil {
		return errors.WithStack(&CallError{Server: c.server, Cause: err, mayHaveChanged: mayHaveChanged})
	}
	return nil
}

// refusal decodes an answer with an error status. One without a failure code
// comes from an intermediary such as a proxy, so a change may have reached the
// instance. mayHaveChanged is set for requests other than reads.
func (c *client) refusal(resp *fasthttp.Response, mayHaveChanged bool) *RefusedError {
	refusal := &RefusedError{Status: resp.StatusCode()}
	if err := json.Unmarshal(resp.Body(), &refusal.Failure); err == nil && refusal.Failure.Code != "" {
		return refusal
	}
	refusal.Failure = api.Failure{Message: fmt.Sprintf("%s answered with status %d", c.server, resp.StatusCode())}
	if mayHaveChanged {
		refusal.Failure.Applied = api.AppliedUnknown
	}
	return refusal
}
