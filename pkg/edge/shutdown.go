package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// maxStopMargin is the part of the grace period that is reserved for the exit of the
	// process after its last request, at most stopMarginFraction of it: the platform takes a
	// request that is broken off earlier than in the last sixth for lost.
	maxStopMargin      = 500 * time.Millisecond
	stopMarginFraction = 1.0 / 8
	// closeTimeout is the time for the closing of the connections after open requests were
	// broken off.
	closeTimeout = 150 * time.Millisecond
	// lingerFraction is the fraction of the grace period during which the instance stays
	// open to the requests that its drain.Plan accepts, also while none is open: callers
	// keep a response of the directory for up to three times its TTL.
	lingerFraction = 0.55
	// leaveRetryInterval is the time between two tries to remove this instance from the roster.
	// A removal that is performed twice or late does no harm.
	leaveRetryInterval = time.Second
	// stopTimeout bounds how long the exit of the process waits for background work:
	// a call to the store may last for seconds.
	stopTimeout = 200 * time.Millisecond
)

// shutdown takes the instance out of service without interrupting requests. The
// instance is no longer ready and no longer listed in the directory, but it still
// serves callers that know its address, and then waits for open requests to end.
func (i *Instance) shutdown(callers *proxy.CallerServer) {
	grace := i.Settings.GracePeriod()
	length := grace - min(maxStopMargin, time.Duration(stopMarginFraction*float64(grace)))
	event.Draining.Log(i.Log).Dur("grace", grace).Int64("open_requests", i.proxy.Open()).Send()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	i.leaving.Store(true)
	i.fleet.AnnounceLeave()
	i.proxy.StartDrain(drain.NewPlan(i.clock.SinceBoot(), length))
	// Requests must not wait for the store, which may be unresponsive.
	go i.leaveRoster(ctx)
	_ = i.clock.Sleep(ctx, time.Duration(lingerFraction*float64(grace)))
	err := i.proxy.Drain(ctx)
	closing := ctx
	if err != nil {
		var cancelClosing context.CancelFunc
		closing, cancelClosing = context.WithTimeout(context.Background(), closeTimeout)
		defer cancelClosing()
	}
	// Responses are flushed after their handlers have returned, and a request may have arrived
	// since the last one ended.
	_ = callers.Shutdown(closing)
	if err != nil {
		event.StopTimedOut.Log(i.Log).Int64("open_requests", i.proxy.Open()).Send()
		return
	}
	event.Stopped.Log(i.Log).Send()
}

// leaveRoster removes this instance from the roster in the platform's store, and tries again until
// ctx ends.
func (i *Instance) leaveRoster(ctx context.Context) {
	for {
		err := i.fleet.LeaveRoster(ctx)
		if err == nil {
			return
		}
		event.JoinFailed.Log(i.Log).Err(err).Msg("could not remove this instance from the roster")
		if i.clock.Sleep(ctx, leaveRetryInterval) != nil {
			return
		}
	}
}

// wait waits for background work to end, after a shutdown for at most stopTimeout.
func (i *Instance) wait(ctx context.Context, group *errgroup.Group) error {
	if ctx.Err() == nil {
		return group.Wait()
	}
	ended := make(chan struct{})
	go func() {
		// The error only reflects the shutdown.
		_ = group.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
	}
	return nil
}
