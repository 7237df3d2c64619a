// Package httpprobe sends the probes of the health evaluators over HTTP.
package httpprobe

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/valyala/fasthttp"
)

const (
	maxBodyBytes = 4 << 10
	// maxConnectionsPerTarget suffices because an evaluator has only one probe of a
	// target in flight.
	maxConnectionsPerTarget = 2
	// maxIdleTime exceeds the typical probe interval, so that probes reuse their
	// connection.
	maxIdleTime = 10 * time.Second
)

// Prober implements health.Prober. It is safe for concurrent use.
type Prober struct{ client *fasthttp.Client }

// New returns a prober with its own connection pool.
func New() *Prober {
	return &Prober{client: &fasthttp.Client{
		Name: "arbutuslink-probe", MaxConnsPerHost: maxConnectionsPerTarget, MaxIdleConnDuration: maxIdleTime,
		MaxResponseBodySize: maxBodyBytes,
		// A retry would hide a failure, so a probe is a single attempt.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Probe sends one GET request to the health path. Any error counts as
// health.ProbeFailed.
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
