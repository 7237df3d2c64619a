package proxy

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// drainPollInterval is the time between looks at the number of open requests.
const drainPollInterval = 5 * time.Millisecond

// NewServer returns a fasthttp server for handler, usually p.Handle behind
// the router of the callers' listener, with the limits of p. Input that cannot
// be parsed is answered with a refusal.
func (p *Proxy) NewServer(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      handler,
		ErrorHandler:                 p.refuseUnreadable,
		ReadBufferSize:               p.options.MaxHeaderBytes,
		MaxRequestBodySize:           p.options.MaxRequestBody,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultContentType:         true,
		NoDefaultDate:                true,
		CloseOnShutdown:              true,
		ReadTimeout:                  p.options.CallerTimeout,
		WriteTimeout:                 p.options.CallerTimeout,
		IdleTimeout:                  p.options.CallerIdleTimeout,
		// Input errors are the callers' and are answered; their text may hold input.
		Logger:                daemon.SilentLogger{},
		SecureErrorLogMessage: true,
	}
}

// refuseUnreadable answers a request that could not be read.
func (p *Proxy) refuseUnreadable(ctx *fasthttp.RequestCtx, err error) {
	kind := refusal.RequestInvalid
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		kind = refusal.RequestTooLarge
	}
	p.dialect.WriteRefusal(ctx, refusal.New(kind, err))
}

// Open returns the number of requests in progress.
func (p *Proxy) Open() int64 { return p.openRequests.Load() }

// StartDrain asks callers to leave: responses carry Connection: close.
func (p *Proxy) StartDrain() { p.draining.Store(true) }

// Drain starts the end of service and returns when all requests have ended, or
// with the error of ctx. Requests that still arrive are served, and their
// responses carry Connection: close. Responses are flushed after the handler
// has ended, so call fasthttp.Server.ShutdownWithContext next, which waits for
// the connections.
func (p *Proxy) Drain(ctx context.Context) error {
	p.StartDrain()
	p.pool.close()
	for p.openRequests.Load() > 0 {
		if err := p.Clock.Sleep(ctx, drainPollInterval); err != nil {
			return errors.Wrapf(err, "%d requests are open", p.openRequests.Load())
		}
	}
	return nil
}
