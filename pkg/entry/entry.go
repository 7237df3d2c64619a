// Package entry implements the daemon arbutus-entry. It assembles one instance
// from its components and runs it: startup, listeners, graceful shutdown, metrics
// and the state dump.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/balance"
	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/directory"
	"github.com/arbutuslink/arbutuslink/pkg/dispatch"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fairqueue"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/health/httpprobe"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/metrics"
	"github.com/arbutuslink/arbutuslink/pkg/operator"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// Instance is one instance of the fleet with all its components.
type Instance struct {
	settings *settings.Entry
	log      zerolog.Logger
	clock    clock.Clock

	platform  *platformAdapters
	store     *head.Store
	control   *control.Loop
	transport *drpcpeer.Client
	// servedCalls counts the calls of other instances by kind.
	servedCalls drpcpeer.Counters
	limiter     *limit.Limiter
	claims      *keptClaims
	directory   directory.Options
	collector   *health.Collector
	evaluator   *health.Evaluator
	follower    *health.Follower
	reporter    *health.Reporter
	queue       *fairqueue.Queue
	// Balancers of the load-balancing policies; those that the configured policy does
	// not use are nil. reservingBalancer wraps sharedBalancer.
	sharedBalancer    *balance.Balancer
	baselineBalancer  *balance.Baseline
	dispatcher        *dispatch.Dispatcher
	reservingBalancer *dispatch.Balancer
	proxy             *proxy.Proxy
	// paths opens connections to targets, through other instances if necessary; connecting
	// tells which of these reach targets.
	paths      *detour.Dialer
	connecting connections
	// hedges decides on second copies of slow requests.
	hedges *hedger
	// suspects holds the requests that crash targets.
	suspects  *quarantine.List
	counters  *counters
	lifecycle lifecycle
	startedAt time.Time
}

// New builds an instance. It opens no connections or listeners; Run does.
func New(s *settings.Entry, log zerolog.Logger) *Instance {
	i := &Instance{settings: s, log: log, clock: clock.System{}, counters: newCounters(), startedAt: time.Now()}
	i.platform = newPlatformAdapters(s.Platform)
	i.store = head.NewStore(i.platform.table, i.platform.objects, i.clock)
	i.transport = drpcpeer.NewClientFrom(s.PeerSourceIP)
	i.control = control.New(control.Options{
		Self: membership.Member{
			Instance: s.Instance, Zone: s.AvailabilityZone, PeerAddress: s.AdvertisedPeer(),
			CallerAddress: s.CallerAddress, OperatorAddress: s.OperatorAddress,
		},
		Seeds: s.SeedPeers, Store: i.store, Transport: i.transport, Clock: i.clock, List: i.platform.list, Log: log,
		MaxWitnesses: s.Limits.MaxWitnesses, FenceValidity: s.Timings.Fence(), RemoveAfter: s.Timings.RemoveAfter(),
	})
	i.buildLimiter()
	i.buildHealth()
	i.buildProxy()
	return i
}

func (i *Instance) buildLimiter() {
	params := limit.DefaultParams(i.settings.Timings.Fence())
	params.MaxIssuers = i.settings.Limits.IssuersPerTeam
	i.directory = directory.Options{Params: params, Lifetime: i.settings.Timings.DirectoryLifetime()}
	i.limiter = limit.New(limit.Options{
		Clock: i.clock, Viewer: i.control, ServeChecker: i.control, Borrower: i, Params: params,
	})
}

func (i *Instance) buildHealth() {
	i.collector = health.NewCollector(i.clock)
	i.evaluator = health.NewEvaluator(i.clock, i.control, &i.log)
	i.follower = health.NewFollower(i.clock, i.control, i.collector, &i.log)
	i.reporter = health.NewReporter(i.clock, i.control, i.collector, i.follower)
}

func (i *Instance) buildProxy() {
	i.queue = fairqueue.New(i.control, i.clock, fairqueue.Options{})
	balancer := i.buildBalancer()
	claims := proxy.NewTableClaims(i.platform.table, i.clock, i.settings.Platform.Timeout())
	i.claims = newKeptClaims(claims, i.platform.table, i.clock, &i.log)
	i.paths = i.newPaths()
	i.suspects = quarantine.New(i.clock, &i.log)
	i.suspects.Owns = i.ownsSuspect
	counting := &countingBalancer{Balancer: balancer, counters: i.counters}
	i.hedges = &hedger{
		clock: i.clock, viewer: i.control, balancer: counting, retries: counting.takeRetry, standings: i.follower.Standings,
		queue: func(service string) fairqueue.State { return i.queue.Dump()[service] },
	}
	counting.hedges = i.hedges
	i.proxy = proxy.New(proxy.Ports{
		Viewer: i.control, ServeChecker: i.control, Clock: i.clock, Limiter: i.limiter, Queue: i.queue,
		Balancer: counting, Hedger: i.hedges, Claims: i.claims, Reporter: i.queue, Quarantine: i.suspects, Log: &i.log,
	}, proxy.Options{
		ClockError:     i.settings.Timings.BatchClockError(),
		DialTarget:     i.paths.Dial,
		MaxHeaderBytes: i.settings.Limits.MaxHeaderBytes, MaxRequestBody: i.settings.Limits.MaxBodyBytes,
	})
}

// buildBalancer creates the balancer of the configured policy. Balancers that the
// policy does not use stay nil; the dispatcher always exists.
func (i *Instance) buildBalancer() proxy.Balancer {
	seed := uint64(i.startedAt.UnixNano())
	options := dispatch.Options{Seed: seed, AlwaysReserve: i.settings.BalancePolicy == settings.PolicyReserveAll}
	i.dispatcher = dispatch.NewDispatcher(i.clock, i.control, evaluatorStandings{i.evaluator, i.follower}, options)
	switch i.settings.BalancePolicy {
	case settings.PolicyBaseline:
		i.baselineBalancer = balance.NewBaseline(i.clock, i.control)
		return i.baselineBalancer
	case settings.PolicyShared:
		i.sharedBalancer = balance.New(i.clock, i.control, i.collector, i.follower, seed)
		return i.sharedBalancer
	default:
		i.sharedBalancer = balance.New(i.clock, i.control, i.collector, i.follower, seed)
		i.reservingBalancer = dispatch.NewBalancer(i.clock, i.control, i.follower, i.sharedBalancer, i.dispatcher, i, options)
		return i.reservingBalancer
	}
}

// evaluatorStandings provides the dispatcher with the target states of a service:
// those that this instance decides as an evaluator, or those that it follows while
// it has not decided any.
type evaluatorStandings struct {
	evaluator *health.Evaluator
	follower  *health.Follower
}

// Standings returns the states of the targets of a service, or nil if neither
// source has any.
func (e evaluatorStandings) Standings(service string) *health.Standings {
	if s := e.evaluator.Standings(service); s != nil {
		return s
	}
	return e.follower.Standings(service)
}

// Run serves until ctx ends, then shuts down gracefully. Errors: *daemon.ListenError,
// *certificate.LoadError, *drpcpeer.ServeError.
func (i *Instance) Run(ctx context.Context) error {
	listeners, err := i.openListeners()
	if err != nil {
		return err
	}
	scope, scrape, closer := metrics.New(i.settings.Instance, i.settings.AvailabilityZone)
	defer func() { _ = closer.Close() }()
	i.counters.scope = scope

	// Background goroutines keep running after ctx ends, until the shutdown is complete.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	i.startBackground(groupCtx, group, listeners.peer)
	group.Go(func() error { return i.publishMetrics(groupCtx, scope) })

	callers := i.proxy.NewServer(i.serveCaller)
	callers.Concurrency = i.settings.Limits.MaxConnections
	callers.ErrorHandler = i.countParseErrors(callers.ErrorHandler)
	operators := &fasthttp.Server{
		Handler:            operator.New(&coordinator{instance: i}, &dumper{instance: i}, scrape, i.settings.OperatorTokens, &i.log).Handle,
		MaxRequestBodySize: api.MaxBodyBytes, NoDefaultServerHeader: true, Logger: daemon.SilentLogger{},
	}
	group.Go(func() error { return errors.WithStack(callers.Serve(listeners.caller)) })
	group.Go(func() error { return errors.WithStack(operators.Serve(listeners.operator)) })
	event.Started.Log(&i.log).Str("callers", i.settings.CallerAddress).Str("operators", i.settings.OperatorAddress).
		Str("peers", i.settings.PeerAddress).Send()

	select {
	case <-ctx.Done():
		i.shutdown(callers, operators)
	case <-groupCtx.Done():
	}
	stop()
	return ignoreCanceled(group.Wait())
}

// startBackground starts the peer server and the loops of the components in group.
func (i *Instance) startBackground(ctx context.Context, group *errgroup.Group, listener net.Listener) {
	handlers := peer.Handlers{
		OnExchange: i.control.HandleExchange, OnFetch: i.control.HandleFetch,
		OnBorrow: i.handleBorrow, OnReport: i.handleReport, OnReserve: i.handleReserve,
	}
	detours := &detour.Server{Listed: i.listsTarget, Direct: i.paths.Direct, Timeout: targetConnectTimeout, Log: &i.log}
	calls := detour.Split(ctx, listener, detours)
	group.Go(func() error { return drpcpeer.ServeCounted(ctx, calls, handlers, &i.servedCalls) })
	group.Go(func() error { return i.paths.Run(ctx) })
	group.Go(func() error { return i.control.Run(ctx) })
	group.Go(func() error { return i.limiter.Run(ctx) })
	group.Go(func() error { return i.claims.run(ctx) })
	group.Go(func() error { return i.reporter.Run(ctx, i) })
	group.Go(func() error {
		return i.evaluator.Run(ctx, newListedProber(httpprobe.New(&i.log), i.platform.list, i.clock, &i.log))
	})
	group.Go(func() error { return i.pruneObservations(ctx) })
	keeper := &quarantine.Keeper{List: i.suspects, Store: quarantineTable{i.platform.table, &i.log}, Clock: i.clock, Log: &i.log}
	group.Go(func() error { return keeper.Run(ctx) })
}

func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
