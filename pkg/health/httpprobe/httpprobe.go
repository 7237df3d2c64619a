// Package httpprobe sends the probes of the health evaluators over HTTP.
package httpprobe

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/http1"
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
type Prober struct {
	client *fasthttp.Client
	log    *zerolog.Logger
}

// New returns a prober with its own connection pool.
func New(log *zerolog.Logger) *Prober {
	return &Prober{log: log, client: &fasthttp.Client{
		Name: "arbutuslink-probe", Transport: http1.Transport{}, MaxConnsPerHost: maxConnectionsPerTarget, MaxIdleConnDuration: maxIdleTime,
		MaxResponseBodySize: maxBodyBytes,
		// A retry would hide a failure, so a probe is a single attempt.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}}
}

// Probe sends one GET request to the health path. Any error counts as
// health.ProbeFailed; event 522 tells of answers that are no HTTP.
func (p *Prober) Probe(ctx context.Context, address, path string) health.ProbeStatus {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + path)
	timeout := health.ProbeTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if ctx.Err() != nil {
		return health.ProbeFailed
	}
	if err := p.client.DoTimeout(request, response, timeout); err != nil {
		var malformed *http1.SyntaxError
		if errors.As(err, &malformed) {
			event.ProbeMalformed.Log(p.log).Str("address", address).Str("path", path).Err(err).Send()
		}
		return health.ProbeFailed
	}
	return health.ParseProbe(response.StatusCode(), response.Body())
}
