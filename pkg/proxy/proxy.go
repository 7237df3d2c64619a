package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Reporter learns how requests to a service ended. A Queue that adapts its
// concurrency limit implements it.
type Reporter interface {
	// Report is called once for each attempt that wrote to a target.
	Report(service string, result Result, latency time.Duration)
}

// Ports are the components that a Proxy is built from.
type Ports struct {
	Viewer    control.Viewer
	Freshness control.Freshness
	Clock     clock.Clock
	Limiter   Limiter
	Queue     Queue
	Balancer  Balancer
	Claims    Claims
	// Reporter may be nil.
	Reporter Reporter
	// Recorder may be nil.
	Recorder Recorder
	// Log may be nil.
	Log *zerolog.Logger
}

// Options are the limits of a Proxy. A zero field takes its default unless
// the field says otherwise.
type Options struct {
	// ClockError bounds the error of the wall clock, for contract expiry. Zero means none.
	ClockError time.Duration
	// ConnectTimeout bounds one attempt to connect. The default of 250 ms is
	// far above the usual 1 ms and below the 1 s after which the kernel
	// resends a lost SYN.
	ConnectTimeout time.Duration
	// MaxConnects bounds the targets that a request tries to connect to; default 3.
	MaxConnects int
	// NonIdempotentReuse is the longest idle time of a connection that a
	// non-idempotent request may reuse. The default of zero means that each
	// takes a fresh connection: docs/decisions/at-most-once.md gives the reason.
	NonIdempotentReuse time.Duration
	// HedgeDelay is the time without a byte of a response after which an
	// idempotent request is also sent to a second target, within its route's
	// retry budget. The default of zero turns hedging off.
	HedgeDelay time.Duration
	// IdleTimeout closes idle connections to targets; default 5 s.
	IdleTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections to one target; default 8,
	// the share of one of 48 instances in a target's 400 connections.
	MaxIdlePerTarget int
	// PollInterval is the time between checks, while a target has not begun to
	// answer, whether the caller is still connected; default 25 ms.
	PollInterval time.Duration
	// CallerTimeout bounds the reading of one request and the writing of one
	// response; default 10 s. CallerIdleTimeout closes callers' idle
	// connections; default 60 s.
	CallerTimeout, CallerIdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request and of a response; default 16 KiB.
	MaxHeaderBytes int
	// Dialect is the wire format; nil takes that of docs/target-protocol.md.
	Dialect *Dialect
	// MaxRequestBody and MaxResponseBody bound bodies in bytes; defaults 4 MiB and 32 MiB.
	MaxRequestBody  int
	MaxResponseBody int
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, 250*time.Millisecond)
	setDefault(&o.MaxConnects, 3)
	setDefault(&o.IdleTimeout, 5*time.Second)
	setDefault(&o.MaxIdlePerTarget, 8)
	setDefault(&o.PollInterval, 25*time.Millisecond)
	setDefault(&o.CallerTimeout, 10*time.Second)
	setDefault(&o.CallerIdleTimeout, time.Minute)
	setDefault(&o.MaxHeaderBytes, 16<<10)
	setDefault(&o.MaxRequestBody, 4<<20)
	setDefault(&o.MaxResponseBody, 32<<20)
	if o.Dialect == nil {
		o.Dialect = ownDialect()
	}
	return o
}

// Proxy is the data path of one instance. It is safe for concurrent use.
type Proxy struct {
	Ports
	options  Options
	dialect  *Dialect
	pool     *connPool
	calls    sync.Pool
	open     atomic.Int64
	draining atomic.Bool
}

// New returns a Proxy that serves at once.
func New(ports Ports, options Options) *Proxy {
	options = options.withDefaults()
	if ports.Log == nil {
		nop := zerolog.Nop()
		ports.Log = &nop
	}
	p := &Proxy{Ports: ports, options: options, dialect: options.Dialect, pool: newConnPool(ports.Clock, options)}
	p.calls.New = func() any { return &call{scratch: &scratch{}} }
	return p
}

// call is the state of one request.
type call struct {
	p         *Proxy
	caller    *fasthttp.RequestCtx
	view      *control.View
	key       presentedKey
	host      string
	path      string
	method    string
	request   Request
	requestID string
	timeout   time.Duration
	attempts  int
	redirects int
	started   time.Duration
	// ioDeadline is the deadline for connections, which use Go's own clock.
	ioDeadline time.Time
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun bool
	// tried lists the targets of all attempts; writes counts those that wrote,
	// notRun those of them that proved that they did not run the request.
	tried  []string
	writes int
	notRun int
	// refused and cause describe the refusal that the caller got.
	refused refusal.Code
	cause   error
	// placed is the time at which the first attempt began.
	placed time.Duration
	// release takes the claim back; nil without a claim.
	release func(context.Context)
	*scratch
}

// scratch is the memory that a call hands on to the next one.
type scratch struct {
	header fasthttp.RequestHeader
	// head is the serialised header without the headers of one attempt and the final CRLF.
	head []byte
	// wire is head, completed for one attempt, with a short body appended.
	wire  []byte
	trail []Trail
}

func (c *call) reset() {
	kept := c.scratch
	kept.header.Reset()
	kept.trail = kept.trail[:0]
	*c = call{scratch: kept}
}

// Handle is the fasthttp.RequestHandler of the data path.
func (p *Proxy) Handle(ctx *fasthttp.RequestCtx) {
	p.open.Add(1)
	defer p.open.Add(-1)
	c := p.calls.Get().(*call)
	defer func() {
		c.reset()
		p.calls.Put(c)
	}()
	c.p, c.caller = p, ctx
	if err := c.serve(); err != nil {
		if c.release != nil && !c.mayHaveRun {
			// Before the response, so that a repeated request is not a duplicate.
			c.release(context.Background())
		}
		c.refuse(err)
	}
	if p.draining.Load() {
		ctx.SetConnectionClose()
	}
	c.record()
}

// record reports the request to the recorder.
func (c *call) record() {
	if c.p.Recorder == nil {
		return
	}
	record := Record{
		Request: c.request, Status: c.caller.Response.StatusCode(), Refusal: c.refused, Cause: c.cause,
		Elapsed: c.p.Clock.SinceBoot() - c.started, Trail: c.trail,
	}
	record.Request.ID = c.requestID
	if c.view != nil {
		record.ConfigVersion = c.view.Config.Version
	}
	if c.placed > 0 {
		record.Queued = c.placed - c.started
	}
	c.p.Recorder.Record(record)
}

// serve runs the steps of the data path in their fixed order. It returns nil
// when the caller's response is complete.
func (c *call) serve() error {
	p := c.p
	c.started = p.Clock.SinceBoot()
	c.requestID = p.requestID(&c.caller.Request.Header)
	if err := c.admit(); err != nil {
		return err
	}
	c.request.Deadline = c.started + c.timeout
	c.ioDeadline = time.Now().Add(c.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), c.ioDeadline)
	defer cancel()
	if err := p.Limiter.Take(ctx, c.request.Team); err != nil {
		return asRefusal(err, refusal.RateUnavailable)
	}
	if err := c.claim(ctx); err != nil {
		return err
	}
	leave, err := p.Queue.Enter(ctx, c.request)
	if err != nil {
		return asRefusal(err, refusal.Overloaded)
	}
	defer leave()
	c.prepare()
	return c.forward()
}

// asRefusal returns the refusal in err, or one of kind k caused by err.
func asRefusal(err error, k refusal.Kind) error {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return err
	}
	return refusal.New(k, err)
}
