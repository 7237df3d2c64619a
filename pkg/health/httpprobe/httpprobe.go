// Package httpprobe sends the probes of the health evaluators over HTTP.
package httpprobe

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/valyala/fasthttp"
)

const (
	maxBody = 4 << 10
	// maxConnections per target; an evaluator has one probe in flight.
	maxConnections = 2
	// maxIdle exceeds the usual probe interval, so that probes reuse their
	// connection.
	maxIdle = 10 * time.Second
)

// Prober implements health.Prober. It is safe for concurrent use.
type Prober struct{ client *fasthttp.Client }

// New returns a prober with its own connections.
func New() *Prober {
	return &Prober{client: &fasthttp.Client{
		Name: "arbutuslink-probe", MaxConnsPerHost: maxConnections, MaxIdleConnDuration: maxIdle,
		MaxResponseBodySize: maxBody,
		// One attempt only: a repeated probe would hide a failure.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Probe asks the health path once. Any fault counts as health.ProbeFailed.
func (p *Prober) Probe(ctx context.Context, address, path string) health.ProbeStatus {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	timeout := health.ProbeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if ctx.Err() != nil || p.client.DoTimeout(request, response, timeout) != nil {
		return health.ProbeFailed
	}
	return health.ParseProbe(response.StatusCode(), response.Body())
}
