// Package edge assembles one instance that runs on a platform's store. It connects
// the configuration and the targets from the store, the heartbeats of the fleet and
// the data path.
package edge

import (
	"context"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
	"github.com/arbutuslink/arbutuslink/pkg/usage"
)

const (
	// callerIdleTimeout is the idle time after which a connection of a caller is
	// closed. Callers reuse connections that were idle for up to four fifths of the
	// idle timeout in the operator's configuration, 15 s by default; 5 min is far above
	// any configured value, so an instance closes none that may still be reused.
	callerIdleTimeout = 5 * time.Minute
	// pollInterval is the time between checks whether the caller of a waiting
	// request is still connected: work must stop within half a second after the
	// caller has disconnected.
	pollInterval = 120 * time.Millisecond
	// connectTimeout bounds connecting to a target, which takes 1 ms.
	connectTimeout = 120 * time.Millisecond
	// maxReuseIdle is the maximum idle time of a connection that is reused for a
	// non-idempotent request; targets close idle connections after 10 s.
	maxReuseIdle = time.Second
	// targetIdleTimeout is the idle time after which a connection to a target is
	// closed.
	targetIdleTimeout = 4 * time.Second
	// maxBodyBytes is the maximum size of a request body, the largest limit that
	// operators' configurations set.
	maxBodyBytes = 64 << 20
)

// Platform is what an instance reads from and writes to its platform's store: the
// configuration, the targets, the roster of members and the requests in quarantine.
type Platform interface {
	follow.Source
	discovery.Source
	fleet.Roster
	quarantine.Store
	// StoreClock returns the steady clock of the store, as its answers show it.
	StoreClock() *clock.Remote
}

// Options are the parts of an instance that depend on the platform.
type Options struct {
	Settings *settings.Edge
	Platform Platform
	Dialect  *proxy.Dialect
	// Endpoints returns the handler of the platform's readiness check and of the
	// lookup of instance addresses. ready reports whether this instance accepts
	// requests, addresses returns the addresses for a caller in a zone, and ttl is how
	// long the caller may use them.
	Endpoints func(ready func() bool, addresses func(zone string) []string, ttl time.Duration) fasthttp.RequestHandler
	// Memory is the memory in bytes that the process may use.
	Memory int64
	Log    *zerolog.Logger
}

// Instance is one instance of the fleet.
type Instance struct {
	Options
	clock clock.Clock
	// started is the start of the process by the wall clock, startedAt the same in
	// time since boot.
	started   time.Time
	startedAt time.Duration
	follower  *follow.Follower
	registry  *discovery.Registry
	freshness *freshness
	fleet     *fleet.Fleet
	limiter   *usage.Limiter
	balancer  *placement.Balancer
	proxy     *proxy.Proxy
	recorder  *recorder
	// suspects holds the requests that crash targets.
	suspects *quarantine.List
	// paths opens connections to targets, through other instances if necessary.
	paths *detour.Dialer
	// detours connects to targets for other instances.
	detours *detour.Server
	// socket sends and receives heartbeats.
	socket       *net.UDPConn
	stateFetcher *stateFetcher
	// leaving is set once the shutdown has begun.
	leaving atomic.Bool
	// prepared is set while this instance is selected to serve and has read the
	// store, or could not do so in time.
	prepared atomic.Bool
}

// New returns an instance. It opens no connections and no listeners.
func New(o Options) *Instance {
	s := o.Settings
	c := clock.Offset{Clock: clock.System{}, By: s.ClockOffset()}
	i := &Instance{Options: o, clock: c, started: c.Now(), startedAt: c.SinceBoot(), recorder: newRecorder(o.Log)}
	i.stateFetcher = &stateFetcher{instance: s.Instance, client: drpcpeer.NewClientFrom(hostOf(s.GossipAddress))}
	i.registry = discovery.NewRegistry(i.clock, o.Platform, i.stateFetcher, fleet.NewCopySources(i.copyDelay), o.Log, func(own bool) { i.fleet.Push(own) })
	i.registry.OnRead = func(listed discovery.Listed, requestedAt, readAt time.Duration) {
		i.balancer.ObserveListing(listed, requestedAt, readAt)
	}
	i.follower = follow.New(i.clock, o.Platform, i.stateFetcher, fleet.NewCopySources(i.copyDelay), membership.Member{
		Instance: s.Instance, Zone: s.AvailabilityZone, CallerAddress: s.CallerAddress,
	}, o.Log, func(own bool) { i.fleet.Push(own) })
	i.freshness = &freshness{pauses: clock.NewPauseDetector(i.clock, pauseThreshold), follower: i.follower, registry: i.registry, instance: i}
	i.limiter = usage.New(i.clock, i.follower, func() int { return len(i.fleet.View().Peers) }, s.FirstStart)
	i.balancer = placement.New(i.clock, i.registry, fleetViewer{i}, o.Log)
	if rule, ok := s.RetryRule(); ok {
		i.balancer.SetRetryRule(placement.RetryRule{Ratio: rule.Ratio, Window: rule.Window, Slack: rule.Slack})
	}
	i.suspects = quarantine.New(i.clock, o.Log)
	i.registry.OnRestore = func() {
		i.fleet.Rejoin()
		i.suspects.WriteAgain()
	}
	i.suspects.Owns, i.suspects.OnChange = i.ownsSuspect, func() { i.fleet.Push(true) }
	i.paths = i.newPaths()
	i.detours = &detour.Server{
		Listed: func(address string) bool { return lists(i.registry.Catalogue(), i.follower, address) }, Direct: i.paths.Direct, Timeout: connectTimeout, Log: o.Log,
	}
	i.balancer.PathsLost, i.balancer.Evacuations = i.paths.Lost, i.follower
	i.fleet = fleet.New(fleet.Options{
		Self: fleet.Member{
			Instance: s.Instance, Incarnation: uint64(i.started.UnixMilli()), Zone: s.AvailabilityZone,
			CallerAddress: s.CallerAddress, GossipAddress: s.GossipAddress, Capacity: s.Capacity(),
			DiagnosticsAddress: s.MetricsAddress,
		},
		Clock: i.clock, Roster: o.Platform, Transport: i, StateExchangers: []fleet.StateExchanger{i.limiter, i.balancer, i.registry, i.follower, suspectExchange{i.suspects}},
		FirstStart: s.FirstStart, Rate: i.balancer.Rate, Ready: i.ready, OnStep: i.step, HasNews: i.suspects.HasNews,
		PathsLost: i.paths.Lost, ConnectedAt: i.paths.ConnectedAt, AsksForPaths: i.paths.Asking, OnAsked: i.answerPaths, Log: o.Log,
		StoreClock: o.Platform.StoreClock(),
	})
	i.proxy = proxy.New(proxy.Ports{
		Viewer: i.follower, ServeChecker: i.freshness, Clock: i.clock, Limiter: i.limiter, Queue: noQueue{},
		Balancer: i.balancer, Hedger: i.balancer, Recorder: i.recorder, Quarantine: i.suspects, Log: o.Log,
	}, proxy.Options{
		Dialect: o.Dialect, DialTarget: i.paths.Dial, NonIdempotentMaxIdle: maxReuseIdle, IdleTimeout: targetIdleTimeout,
		PollInterval: pollInterval, CallerIdleTimeout: callerIdleTimeout, MaxRequestBody: maxBodyBytes,
		BodyBudget: settings.BodyBudget(o.Memory),
	})
	i.balancer.OnUnused = i.proxy.CloseIdle
	i.balancer.OnCold = func() { i.fleet.Push(true) }
	i.balancer.SetHedgeLimits(s.HedgeLimits())
	return i
}

// apply applies the settings that can change while the process runs.
func (i *Instance) apply(s *settings.Edge) {
	setLevel(s)
	limits := s.HedgeLimits()
	if current := i.balancer.HedgeLimits(); current.Percent != limits.Percent || !maps.Equal(current.Routes, limits.Routes) {
		i.balancer.SetHedgeLimits(limits)
		event.HedgeLimitsChanged.Log(i.Log).Float64("hedge_percent", limits.Percent).Any("hedge_routes", limits.Routes).Send()
	}
}

// fleetViewer gives the balancer the view of a fleet that is built after it. It
// breaks the cycle between the balancer, which needs the serving instances, and the
// fleet, which needs the balancer's request rate.
type fleetViewer struct{ *Instance }

// View returns the fleet's current view of the serving instances.
func (v fleetViewer) View() *fleet.View { return v.fleet.View() }

// step is called at each step of the fleet.
func (i *Instance) step() {
	i.freshness.observe()
	i.follower.Observe()
	services := i.follower.View().Config.Config.Services
	rates := map[string]placement.ColdRate{}
	for name, s := range services {
		if warmup, perSecond := s.ColdRate(); perSecond > 0 {
			rates[name] = placement.ColdRate{Warmup: warmup, PerSecond: perSecond}
		}
	}
	i.balancer.StepCold(rates)
}

// noQueue is a proxy.Queue that admits every request at once, because requests wait
// for targets in the balancer.
type noQueue struct{}

// Enter admits the request at once.
func (noQueue) Enter(context.Context, proxy.Request) (func(), error) { return func() {}, nil }

// ready reports whether this instance, once selected to serve, can serve callers: it
// is prepared, knows a configuration and a listing, and is not shutting down.
func (i *Instance) ready() bool {
	return !i.leaving.Load() && i.prepared.Load() && i.follower.MayServe() && i.registry.Catalogue().Version > 0
}

// acceptsRequests reports whether a request that arrives here is served. Standbys
// accept requests too, although callers are not directed to them.
func (i *Instance) acceptsRequests() bool {
	return !i.leaving.Load() && i.follower.MayServe() && i.registry.Catalogue().Version > 0
}

// Run serves until ctx ends, then shuts down gracefully. Errors: *daemon.ListenError.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return i.follower.Run(groupCtx) })
	group.Go(func() error { return i.followStore(groupCtx) })
	group.Go(func() error { return i.prepareWhenSelected(groupCtx) })
	group.Go(func() error { return i.receive(groupCtx) })
	group.Go(func() error { return i.servePeers(groupCtx, l.state) })
	group.Go(func() error { return i.paths.Run(groupCtx) })
	group.Go(func() error { return i.fleet.Run(groupCtx) })
	keeper := &quarantine.Keeper{List: i.suspects, Store: i.Platform, Clock: i.clock, Log: i.Log, Empty: i.Settings.FirstStart}
	group.Go(func() error { return keeper.Run(groupCtx) })

	callers := i.proxy.NewServer(i.serveCaller)
	handler := i.Endpoints(i.acceptsRequests, func(zone string) []string { return i.fleet.View().Addresses(zone) }, i.Settings.DirectoryTTL())
	endpoints := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: daemon.SilentLogger{}}
	group.Go(func() error { return errors.WithStack(callers.Serve(l.callers)) })
	group.Go(func() error { return errors.WithStack(endpoints.Serve(l.ready)) })
	group.Go(func() error { return errors.WithStack(endpoints.Serve(l.directory)) })
	if l.metrics != nil {
		group.Go(func() error { return i.serveMetrics(groupCtx, l.metrics) })
	}
	event.Started.Log(i.Log).Str("callers", i.Settings.CallerAddress).Str("store", i.Settings.StoreAddress).
		Uint64("incarnation", i.fleet.Self.Incarnation).Bool("first_start", i.Settings.FirstStart).Send()
	select {
	case <-ctx.Done():
		i.shutdown(callers)
	case <-groupCtx.Done():
	}
	stop()
	_ = i.socket.Close()
	l.close()
	return i.wait(ctx, group)
}
