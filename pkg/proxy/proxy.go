package proxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/bytebudget"
	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Reporter receives the results of attempts per service. A Queue that adapts
// its concurrency limit implements it.
type Reporter interface {
	// Report is called once for each attempt that wrote to a target.
	Report(service string, result Result, latency time.Duration)
}

// Ports are the components that a Proxy depends on.
type Ports struct {
	// Viewer gives the current configuration.
	Viewer control.Viewer
	// ServeChecker reports whether the instance may act on its configuration.
	ServeChecker control.ServeChecker
	Clock        clock.Clock
	Limiter      Limiter
	Queue        Queue
	Balancer     Balancer
	// Hedger may be nil; then there are no hedges.
	Hedger Hedger
	Claims Claims
	// Reporter may be nil.
	Reporter Reporter
	// Recorder may be nil.
	Recorder Recorder
	// Quarantine holds the requests that crash targets; with nil, the proxy has its own.
	Quarantine *quarantine.List
	// Log may be nil.
	Log *zerolog.Logger
}

// Options are the limits of a Proxy. A zero field takes its default unless
// the field says otherwise.
type Options struct {
	// ClockError is the largest assumed error of the wall clock, for the expiry
	// of a batch's contract. Zero means none.
	ClockError time.Duration
	// ConnectTimeout bounds one attempt to connect, and with DialTarget only the check
	// whether a target that lost a connection has ended. The default of 250 ms is far above
	// the typical 1 ms and below the 1 s after which the kernel resends a lost SYN.
	ConnectTimeout time.Duration
	// DialTarget, if not nil, opens the connections to targets, within limits of its own
	// in place of ConnectTimeout. ctx ends with the request.
	DialTarget func(ctx context.Context, address string) (net.Conn, error)
	// MaxConnectAttempts bounds the failed connection attempts of one request; default 3.
	MaxConnectAttempts int
	// NonIdempotentMaxIdle is the longest idle time of a connection that a
	// non-idempotent request may reuse. With the default of zero each opens a new
	// connection: docs/decisions/at-most-once.md gives the reason.
	NonIdempotentMaxIdle time.Duration
	// IdleTimeout closes idle connections to targets; default 5 s.
	IdleTimeout time.Duration
	// MaxIdlePerTarget bounds the idle connections to one target; default 8,
	// an equal split of a target's 400 connections among 48 instances.
	MaxIdlePerTarget int
	// PollInterval is the interval at which the proxy checks, until the first
	// byte of a response, whether the caller is still connected; default 25 ms.
	PollInterval time.Duration
	// CallerTimeout bounds the reading of one request and the writing of one
	// response; default 10 s. CallerIdleTimeout closes callers' idle
	// connections; default 60 s.
	CallerTimeout, CallerIdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request and of a response; default 16 KiB.
	MaxHeaderBytes int
	// Dialect is the wire format; nil selects that of docs/target-protocol.md.
	Dialect *Dialect
	// MaxRequestBody and MaxResponseBody bound bodies in bytes; defaults 4 MiB and 32 MiB.
	MaxRequestBody  int
	MaxResponseBody int
	// BodyBudget is the memory in bytes for the bodies of all requests and responses
	// beyond 64 KiB each; default 64 MiB. A request body must fit into it.
	BodyBudget int64
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func (o Options) withDefaults() Options {
	setDefault(&o.ConnectTimeout, 250*time.Millisecond)
	setDefault(&o.MaxConnectAttempts, 3)
	setDefault(&o.IdleTimeout, 5*time.Second)
	setDefault(&o.MaxIdlePerTarget, 8)
	setDefault(&o.PollInterval, 25*time.Millisecond)
	setDefault(&o.CallerTimeout, 10*time.Second)
	setDefault(&o.CallerIdleTimeout, time.Minute)
	setDefault(&o.MaxHeaderBytes, 16<<10)
	setDefault(&o.MaxRequestBody, 4<<20)
	setDefault(&o.MaxResponseBody, 32<<20)
	setDefault(&o.BodyBudget, 64<<20)
	if o.Dialect == nil {
		o.Dialect = defaultDialect()
	}
	return o
}

// Proxy is the data path of one instance. It is safe for concurrent use.
type Proxy struct {
	Ports
	options      Options
	dialect      *Dialect
	pool         *connPool
	lossChecks   *lossChecks
	budget       *bytebudget.Budget
	callPool     sync.Pool
	openRequests atomic.Int64
	// drainPlan is set once the graceful shutdown has begun.
	drainPlan atomic.Pointer[drain.Plan]
}

// New returns a Proxy that is ready to serve.
func New(ports Ports, options Options) *Proxy {
	options = options.withDefaults()
	if ports.Log == nil {
		nop := zerolog.Nop()
		ports.Log = &nop
	}
	if ports.Quarantine == nil {
		ports.Quarantine = quarantine.New(ports.Clock, ports.Log)
	}
	p := &Proxy{Ports: ports, options: options, dialect: options.Dialect, pool: newConnPool(ports.Clock, options), budget: bytebudget.New(options.BodyBudget)}
	p.lossChecks = newLossChecks(p.pool, ports.Quarantine)
	p.callPool.New = func() any { return &call{buffers: &buffers{}} }
	return p
}

// call is the state of one caller's request, across all its attempts.
type call struct {
	p *Proxy
	// caller is the request from the caller and the response to it.
	caller *fasthttp.RequestCtx
	// view is the configuration that the request was last checked against.
	view *control.View
	key  presentedKey
	// host, path and method are what routes match. sentPath is the path as the caller sent
	// it, which is forwarded.
	host      string
	path      string
	sentPath  string
	method    string
	request   Request
	requestID string
	timeout   time.Duration
	// maxAttempts bounds the writes of an idempotent request. maxRedirects bounds
	// the further writes of a non-idempotent request after targets proved that
	// they did not run it.
	maxAttempts  int
	maxRedirects int
	// startedAt is the start of processing, as time since boot.
	startedAt time.Duration
	// ioDeadline is the request's deadline on Go's own clock, which deadlines of
	// connections use.
	ioDeadline time.Time
	// triedTargets lists the targets of all attempts. writeCount counts the
	// attempts that wrote, provenNotRunCount those of them whose target proved
	// that it did not run the request.
	triedTargets []string
	// current is the attempt in progress.
	current Attempt
	// nextAttempt is the target that a retry got before the previous attempt ended.
	nextAttempt Attempt
	writeCount  int
	// canceledFirstAge is the age that the first attempt had reached when it was canceled
	// because another one had responded; 0 otherwise.
	canceledFirstAge  time.Duration
	provenNotRunCount int
	// refusalCode and refusalCause describe the refusal that the caller got.
	refusalCode  refusal.Code
	refusalCause error
	// firstAttemptAt is the start of the first attempt, as time since boot; 0 before it.
	firstAttemptAt time.Duration
	// status is the status of the response, set when the handler ends. streaming says
	// that a responseStream ends the call, closeCaller that the caller's connection
	// must close.
	status                 int
	streaming, closeCaller bool
	// digest identifies equal requests, once hasDigest is set. suspicion is what was known
	// of them before the next write, and trial says that this request is one.
	digest           quarantine.Digest
	hasDigest, trial bool
	suspicion        quarantine.Suspicion
	// reserved is the number of bytes of the budget that the call holds.
	reserved int64
	// releaseClaim deletes the request's claim; nil without a claim that can be deleted.
	releaseClaim func(context.Context)
	*buffers
}

// buffers is the memory of a call that later calls reuse.
type buffers struct {
	// header is the caller's header as targets get it.
	header fasthttp.RequestHeader
	// commonHeader is header serialised, without the headers that differ per
	// attempt and without the final CRLF.
	commonHeader []byte
	// sendBuffer is the complete header of one attempt, followed by the body if
	// that is short.
	sendBuffer []byte
	// body holds the caller's body if that is small.
	body []byte
	// attemptRecords becomes Record.Attempts.
	attemptRecords []AttemptRecord
}

func (c *call) reset() {
	reused := c.buffers
	reused.header.Reset()
	reused.attemptRecords = reused.attemptRecords[:0]
	*c = call{buffers: reused}
}

// Handle is the fasthttp.RequestHandler of the data path.
func (p *Proxy) Handle(ctx *fasthttp.RequestCtx) {
	p.openRequests.Add(1)
	c := p.callPool.Get().(*call)
	c.p, c.caller = p, ctx
	defer event.Contain(p.Log, "request", c.fail)
	if err := c.serve(); err != nil {
		if c.releaseClaim != nil && !c.mayHaveRun() {
			// The claim is deleted before the response is sent, so that a caller
			// who repeats the request is not refused for a duplicate.
			c.releaseClaim(context.Background())
		}
		c.refuse(err)
	}
	if c.closeCaller || p.drainPlan.Load() != nil {
		ctx.SetConnectionClose()
	}
	c.status = ctx.Response.StatusCode()
	if !c.streaming {
		c.finish()
	}
}

// mayHaveRun reports whether a target may have run the request: at least one attempt has been
// written whose target has not proved the contrary. A refusal then has the outcome "unknown".
func (c *call) mayHaveRun() bool { return c.writeCount > c.provenNotRunCount }

// fail ends a call whose handling panicked. Its state may be in use still, so that it
// is not kept for later calls.
func (c *call) fail() {
	if c.p == nil {
		// The response was complete, and finish has ended the call.
		return
	}
	c.provenNotRunCount = 0 // the count may be incomplete
	if c.current != nil {
		c.current.Done(Canceled, 0, Load{})
	}
	c.refuse(refusal.New(refusal.TargetFailed, nil))
	c.caller.SetConnectionClose()
	c.p.budget.Release(c.reserved)
	c.p.openRequests.Add(-1)
}

// finish ends the call after its response is complete, or can no longer become so.
func (c *call) finish() {
	c.record()
	c.p.budget.Release(c.reserved)
	p := c.p
	c.reset()
	p.callPool.Put(c)
	p.openRequests.Add(-1)
}

// record passes the Record of the request to the Recorder.
func (c *call) record() {
	if c.p.Recorder == nil {
		return
	}
	record := Record{
		Request: c.request, Status: c.status, Refusal: c.refusalCode, Cause: c.refusalCause,
		Elapsed: c.p.Clock.SinceBoot() - c.startedAt, Attempts: c.attemptRecords,
	}
	record.Request.ID = c.requestID
	if c.view != nil {
		record.ConfigVersion = c.view.Config.Version
	}
	if c.firstAttemptAt > 0 {
		record.Queued = c.firstAttemptAt - c.startedAt
	}
	c.p.Recorder.Record(record)
}

// Budget returns the use of the memory for bodies.
func (p *Proxy) Budget() bytebudget.State { return p.budget.State() }

// serve runs the steps of the data path in their fixed order: admission, rate
// limit, idempotency key, queue and forwarding. It returns nil when the
// caller's response is complete.
func (c *call) serve() error {
	p := c.p
	c.startedAt = p.Clock.SinceBoot()
	c.requestID = p.requestID(&c.caller.Request.Header)
	if err := c.admit(); err != nil {
		return err
	}
	c.request.Deadline = c.startedAt + c.timeout
	if err := c.checkDrain(); err != nil {
		return err
	}
	c.ioDeadline = time.Now().Add(c.timeout)
	ctx, cancel := context.WithDeadline(context.Background(), c.ioDeadline)
	defer cancel()
	if err := p.Limiter.Take(ctx, c.request.Team); err != nil {
		return asRefusal(err, refusal.RateUnavailable)
	}
	if err := c.receiveBody(); err != nil {
		return err
	}
	if err := c.admitSuspect(); err != nil {
		return err
	}
	if err := c.claim(ctx); err != nil {
		return err
	}
	leave, err := p.Queue.Enter(ctx, c.request)
	if err != nil {
		return asRefusal(err, refusal.Overloaded)
	}
	defer leave()
	c.buildCommonHeader()
	return c.forward()
}

// asRefusal returns err if it contains a refusal, and otherwise a refusal of
// kind k with err as the cause.
func asRefusal(err error, k refusal.Kind) error {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return err
	}
	return refusal.New(k, err)
}
