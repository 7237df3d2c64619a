// Package edge assembles one instance that runs on a platform's store: the
// store's configuration and targets, the fleet's heartbeats, and the data path.
package edge

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
	"github.com/arbutuslink/arbutuslink/pkg/usage"
)

const (
	// listInterval is the time between two listings of the targets: a quarter of
	// the 2 s in which a drain must take effect.
	listInterval = 500 * time.Millisecond
	// firstListInterval is the time between two listings of a standby that has
	// not seen any target yet, and the time in which it waits to hear of some.
	firstListInterval = 4 * time.Second
	// listers is the number of serving instances that list the targets and pass
	// changes on; a second one covers the loss of the first.
	listers = 2
	// relayMaxAge is the age of the listing at which an instance that waits for
	// the listers reads it itself.
	relayMaxAge = 1350 * time.Millisecond
	// standbyMaxAge is the age of the listing and of the configuration at which
	// a standby reads them again before it forwards a request.
	standbyMaxAge = 1500 * time.Millisecond
	// prepareLimit bounds the reads of an instance that is called to serve; after
	// it, the instance serves with what it has.
	prepareLimit = 500 * time.Millisecond
	// lingeringRate is the rate in requests per second from which an instance
	// that is no longer named follows the store.
	lingeringRate = 0.2
	// requestReadLimit bounds what a request waits for a read of the store.
	requestReadLimit = 200 * time.Millisecond
	// stopWait is how long the end of the process waits for background work: a
	// call to the store may last for 25 s.
	stopWait = 200 * time.Millisecond
	// followTick is the time between two looks at whether a listing is due.
	followTick = listInterval / 2
	// callerIdle keeps callers' idle connections. Callers reuse one for up to
	// four fifths of the configured idle timeout, which is 15 s by default.
	callerIdle = 5 * time.Minute
	// pollInterval is the time between looks at a waiting request's caller:
	// work must stop within half a second after the caller has left.
	pollInterval = 120 * time.Millisecond
	// connectTimeout bounds a connection to a target, which takes 1 ms.
	connectTimeout = 120 * time.Millisecond
	// reuseLimit is the idle time up to which a connection is used again for a
	// non-idempotent request; targets close theirs after 10 s.
	reuseLimit = time.Second
	// idleTimeout closes idle connections to targets.
	idleTimeout = 4 * time.Second
	// maxBodyBytes is the largest request body of the platform's configurations.
	maxBodyBytes = 64 << 20
)

// Platform is everything that an instance needs from its platform.
type Platform interface {
	follow.Source
	discovery.Source
	fleet.Roster
}

// Options are the parts of an instance that depend on the platform.
type Options struct {
	Settings *settings.Edge
	Platform Platform
	Dialect  *proxy.Dialect
	// Endpoints builds the handler of the platform's own questions.
	Endpoints func(ready func() bool, addresses func(zone string) []string, ttl time.Duration) fasthttp.RequestHandler
	Log       *zerolog.Logger
}

// Instance is one instance of the fleet.
type Instance struct {
	Options
	clock    clock.Clock
	started  time.Time
	follower *follow.Follower
	registry *discovery.Registry
	fleet    *fleet.Fleet
	limiter  *usage.Limiter
	balancer *placement.Balancer
	proxy    *proxy.Proxy
	recorder *recorder
	socket   *net.UDPConn
	leaving  atomic.Bool
	// prepared is set while this instance is called and has read the store.
	prepared atomic.Bool
}

// New builds an instance; it opens no connection and no listener.
func New(o Options) *Instance {
	i := &Instance{Options: o, clock: clock.System{}, started: time.Now(), recorder: newRecorder(o.Log)}
	s := o.Settings
	i.registry = discovery.NewRegistry(i.clock, o.Platform, o.Log, func() { i.fleet.Push() })
	i.follower = follow.New(i.clock, o.Platform, membership.Member{
		Instance: s.Instance, Zone: s.AvailabilityZone, CallerAddress: s.CallerAddress,
	}, o.Log, func() { i.fleet.Push() })
	i.limiter = usage.New(i.clock, i.follower, func() int { return len(i.fleet.View().Peers) }, s.FirstStart)
	i.balancer = placement.New(i.clock, i.registry, peers{i}, o.Log)
	i.fleet = fleet.New(fleet.Options{
		Self: fleet.Member{
			Instance: s.Instance, Incarnation: uint64(i.started.UnixMilli()), Zone: s.AvailabilityZone,
			CallerAddress: s.CallerAddress, GossipAddress: s.GossipAddress, Capacity: s.Capacity(),
		},
		Clock: i.clock, Roster: o.Platform, Transport: i, Exchanges: []fleet.Exchange{i.limiter, i.balancer, i.registry, i.follower},
		FirstStart: s.FirstStart, Rate: i.balancer.Rate, Ready: i.ready, Log: o.Log,
	})
	i.proxy = proxy.New(proxy.Ports{
		Viewer: i.follower, Freshness: i.follower, Clock: i.clock, Limiter: i.limiter, Queue: noQueue{},
		Balancer: i.balancer, Recorder: i.recorder, Log: o.Log,
	}, proxy.Options{
		Dialect: o.Dialect, ConnectTimeout: connectTimeout, NonIdempotentReuse: reuseLimit, IdleTimeout: idleTimeout,
		PollInterval: pollInterval, CallerIdleTimeout: callerIdle, MaxRequestBody: maxBodyBytes,
	})
	return i
}

// peers breaks the cycle between the balancer, which asks who serves, and the
// fleet, which asks for the balancer's rate.
type peers struct{ *Instance }

// View returns which instances serve.
func (p peers) View() *fleet.View { return p.fleet.View() }

// noQueue admits every request: the balancer lets requests wait for targets.
type noQueue struct{}

// Enter admits the request.
func (noQueue) Enter(context.Context, proxy.Request) (func(), error) { return func() {}, nil }

// ready tells whether this instance, once called, can serve callers.
func (i *Instance) ready() bool {
	return !i.leaving.Load() && i.prepared.Load() && i.follower.Fresh() && i.registry.Catalogue().Version > 0
}

// takesCallers tells whether a request that comes here is served. That holds
// for standbys, too, although callers are not sent to them.
func (i *Instance) takesCallers() bool {
	return !i.leaving.Load() && i.follower.Fresh() && i.registry.Catalogue().Version > 0
}

// Run serves until ctx ends, then shuts down gracefully. Errors: *ListenError.
func (i *Instance) Run(ctx context.Context) error {
	l, err := i.listen()
	if err != nil {
		return err
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(background)
	group.Go(func() error { return i.follower.Run(groupCtx) })
	group.Go(func() error { return i.followTargets(groupCtx) })
	group.Go(func() error { return i.answerCalls(groupCtx) })
	group.Go(func() error { return i.receive(groupCtx) })
	group.Go(func() error { return i.fleet.Run(groupCtx) })

	callers := i.proxy.NewServer(i.serveCaller)
	handler := i.Endpoints(i.takesCallers, func(zone string) []string { return i.fleet.View().Addresses(zone) }, i.Settings.DirectoryTTL())
	endpoints := &fasthttp.Server{Handler: handler, NoDefaultServerHeader: true, NoDefaultDate: true, Logger: silentLogger{}}
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

// wait waits for background work to end, but not for long after a shutdown.
func (i *Instance) wait(ctx context.Context, group *errgroup.Group) error {
	if ctx.Err() == nil {
		return group.Wait()
	}
	ended := make(chan struct{})
	go func() {
		// The reason of the end is the shutdown.
		_ = group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopWait):
	}
	return nil
}

// serveCaller handles one request of a caller. A standby, which does not follow
// the store all the time, reads it before it forwards one.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	if !i.fleet.View().Called {
		limited, cancel := context.WithTimeout(context.Background(), requestReadLimit)
		i.follower.EnsureFresh(limited, standbyMaxAge)
		i.registry.EnsureFresh(limited, standbyMaxAge)
		cancel()
	}
	i.proxy.Handle(ctx)
}

// answerCalls prepares this instance when it is called to serve.
func (i *Instance) answerCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-i.fleet.Changed():
		}
		if !i.fleet.View().Called {
			i.prepared.Store(false)
			continue
		}
		i.prepare(ctx)
		i.prepared.Store(true)
		i.fleet.Recheck()
	}
}

// prepare reads the configuration and the targets. What cannot be read in time
// stays as it is; the registry and the follower log that.
func (i *Instance) prepare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	var reads sync.WaitGroup
	reads.Go(func() { i.follower.EnsureFresh(ctx, 0) })
	reads.Go(func() { _ = i.registry.Refresh(ctx) })
	reads.Wait()
	i.follower.Activate()
}

// followTargets keeps the listing fresh while this instance is called, and
// reads it once at the start.
func (i *Instance) followTargets(ctx context.Context) error {
	for {
		view := i.fleet.View()
		switch {
		case view.Called && i.lists(view):
			i.registry.EnsureFresh(ctx, listInterval)
		case view.Called:
			i.registry.EnsureFresh(ctx, relayMaxAge)
		case i.registry.Catalogue().Version == 0 && (i.registry.Behind() || time.Since(i.started) > firstListInterval):
			i.registry.EnsureFresh(ctx, firstListInterval)
		}
		if view.Called || i.balancer.Rate() >= lingeringRate {
			i.follower.Activate()
		}
		if err := i.clock.Sleep(ctx, followTick); err != nil {
			return errors.WithStack(err)
		}
	}
}

// lists tells whether this instance is among the listers.
func (i *Instance) lists(view *fleet.View) bool {
	before := 0
	own := xxhash.Sum64String(view.Self.Instance)
	for _, m := range view.Peers {
		if xxhash.Sum64String(m.Instance) < own {
			before++
		}
	}
	return before < listers
}
