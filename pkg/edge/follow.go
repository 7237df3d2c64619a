package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

const (
	// listInterval is the interval at which a lister lists the targets: a quarter of
	// the 2 s within which a drain must take effect.
	listInterval = 500 * time.Millisecond
	// firstListInterval is the interval between the listings of a standby that does
	// not know any target yet, and the time from its start for which it waits to
	// receive a listing from another instance before it makes its own.
	firstListInterval = 4 * time.Second
	// listerCount is the number of listers: serving instances that list the targets
	// and pass changes on to the others. The second one covers the loss of the first.
	listerCount = 2
	// relayMaxAge is the age of the listing and of the configuration at which a
	// serving instance that relies on the listers reads them itself.
	relayMaxAge = 1350 * time.Millisecond
	// settleGrace is how long a serving instance waits for the listers to tell whether targets
	// that are missing after an outage are gone, before it lists the targets itself.
	settleGrace = 150 * time.Millisecond
	// standbyMaxAge is the age of the listing and of the configuration at which a
	// standby reads them again before it forwards a request or starts to serve.
	standbyMaxAge = 1500 * time.Millisecond
	// prepareTimeout bounds the reads of an instance that is selected to serve. After
	// it, the instance serves with the state that it has.
	prepareTimeout = 500 * time.Millisecond
	// requestReadTimeout bounds how long a request waits for a read of the store that is due.
	requestReadTimeout = 200 * time.Millisecond
	// neededReadTimeout bounds how long a request waits for a read without which it is refused.
	// By then the read has been answered or counts as failed, so that an outage refuses none.
	neededReadTimeout = 500 * time.Millisecond
	// followInterval is the interval between checks whether a listing is due. The sum
	// of followInterval, relayMaxAge and the time of a read stays below the 2 s within
	// which a change must take effect.
	followInterval = listInterval / 4
)

// serveCaller handles one request of a caller. A standby, which does not follow the
// store all the time, refreshes its configuration and listing first, and so does every
// instance after a pause or with a configuration that it may not act on.
func (i *Instance) serveCaller(ctx *fasthttp.RequestCtx) {
	timeout := time.Duration(0)
	switch {
	case !i.freshness.observe() || !i.follower.MayAct():
		timeout = neededReadTimeout
	case !i.fleet.View().Called:
		timeout = requestReadTimeout
	}
	if timeout > 0 {
		limited, cancel := context.WithTimeout(context.Background(), timeout)
		i.freshness.refresh(limited, standbyMaxAge)
		cancel()
	}
	i.proxy.Handle(ctx)
}

// prepareWhenSelected prepares this instance each time the fleet selects it to serve
// (fleet.View.Called), until ctx ends.
func (i *Instance) prepareWhenSelected(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return errors.WithStack(ctx.Err())
		case <-i.fleet.CalledChanged():
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

// prepare refreshes the configuration and the targets, and tests the path to these. If one
// cannot be read in time, the previous state stays in use, and the follower or the registry
// logs it.
func (i *Instance) prepare(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, prepareTimeout)
	defer cancel()
	i.freshness.refresh(ctx, standbyMaxAge)
	i.paths.Check(ctx)
}

// followStore keeps the configuration and the listing recent while this instance is
// selected to serve. A standby lists the targets only until it knows some: after
// firstListInterval, or at once if it cannot follow a listing that it received. The
// listers follow the store and pass on what they read; the other serving instances
// read it themselves when they receive nothing for relayMaxAge.
func (i *Instance) followStore(ctx context.Context) error {
	for {
		view, grace := i.fleet.View(), settleGrace
		if !i.freshness.observe() && view.Called {
			i.freshness.refresh(ctx, relayMaxAge)
		}
		switch {
		case view.Called && i.isLister(view):
			grace = 0
			i.follower.Activate()
			i.registry.EnsureSettled(ctx, grace)
			i.freshness.ensureMaxAges(ctx, listInterval, relayMaxAge)
			i.follower.ConfirmReachable(i.registry.ListedAt())
		case view.Called:
			i.registry.EnsureSettled(ctx, grace)
			i.freshness.ensureMaxAges(ctx, relayMaxAge, relayMaxAge)
		case i.registry.Catalogue().Version == 0 && (i.registry.OutOfSync() || i.clock.SinceBoot()-i.startedAt > firstListInterval):
			i.registry.EnsureMaxAge(ctx, firstListInterval)
		}
		if err := i.clock.Sleep(ctx, i.registry.NextDue(grace, followInterval)); err != nil {
			return errors.WithStack(err)
		}
	}
}

// isLister reports whether this instance is one of the listers: the first listerCount
// serving instances by capacity and hash, leaving out those whose calls to the store
// fail.
func (i *Instance) isLister(view *fleet.View) bool {
	before := 0
	for _, m := range view.Peers {
		if m.RanksBefore(view.Self) && !i.registry.StoreFailing(m.Instance) {
			before++
		}
	}
	return before < listerCount
}
