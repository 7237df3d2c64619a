package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// drainPollInterval is the time between checks of the number of open requests.
const drainPollInterval = 5 * time.Millisecond

// NewServer returns a server with the limits of p for handler, usually p.Handle
// behind the router of the callers' listener. Input that cannot be parsed gets a
// refusal as the response.
func (p *Proxy) NewServer(handler fasthttp.RequestHandler) *CallerServer {
	return newCallerServer(&fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 p.refuseUnreadable,
		ReadBufferSize:               p.options.MaxHeaderBytes,
		MaxRequestBodySize:           p.options.MaxRequestBody,
		StreamRequestBody:            true, // receiveBody reads it within the budget
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		ReadTimeout:                  p.options.CallerTimeout,
		WriteTimeout:                 p.options.CallerTimeout,
		IdleTimeout:                  p.options.CallerIdleTimeout,
		// Input errors are caused by callers and get a response. They are not
		// logged, because their text may contain the input.
		Logger:                daemon.SilentLogger{},
		SecureErrorLogMessage: true,
	})
}

// refuseUnreadable responds to a request that could not be read.
func (p *Proxy) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	kind := refusal.RequestInvalid
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = refusal.RequestTooLarge
	}
	p.dialect.WriteRefusal(ctx, refusal.New(kind, err))
}

// Open returns the number of requests in progress, waiting ones included.
func (p *Proxy) Open() int64 { return p.openRequests.Load() }

// CloseIdle closes the idle connections to a target.
func (p *Proxy) CloseIdle(address string) { p.pool.closeIdleTo(address) }

// StartDrain begins the graceful shutdown. Responses carry Connection: close, so that callers
// close their connections, and requests that the plan does not accept are refused.
func (p *Proxy) StartDrain(plan *drain.Plan) { p.drainPlan.Store(plan) }

// Drain returns when all requests have ended, or with an error when ctx ends. Requests that
// still arrive are served if the plan of StartDrain accepts them. The server flushes a
// response after the handler has returned, so call CallerServer.Shutdown next, which
// waits for the connections.
func (p *Proxy) Drain(ctx context.Context) error {
	p.pool.close()
	for p.openRequests.Load() > 0 {
		if err := p.Clock.Sleep(ctx, drainPollInterval); err != nil {
			return errors.Wrapf(err, "drain: %d requests are still open", p.openRequests.Load())
		}
	}
	return nil
}
