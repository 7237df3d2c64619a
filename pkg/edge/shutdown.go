package edge

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// stopMargin is the part of the grace period that is left for the end of
	// the process after its last request.
	stopMargin = 800 * time.Millisecond
	// closeLimit bounds the closing of connections that have no request open.
	closeLimit = 150 * time.Millisecond
	// lingerShare is the part of the grace period in which the instance still
	// takes requests: callers keep an answer of the directory for up to three
	// times its lifetime.
	lingerShare = 0.55
	// stopWait is how long the end of the process waits for background work: a
	// call to the store may last for 25 s.
	stopWait = 200 * time.Millisecond
)

// shutdown takes the instance out of service without cutting a request: it is
// no longer ready and named, serves those who still know its address, and
// waits for open requests.
func (i *Instance) shutdown(callers *fasthttp.Server) {
	grace := i.Settings.GracePeriod()
	event.Draining.Log(i.Log).Dur("grace", grace).Int64("open_requests", i.proxy.Open()).Send()
	ctx, cancel := context.WithTimeout(context.Background(), grace-stopMargin)
	defer cancel()
	i.leaving.Store(true)
	i.fleet.AnnounceLeave()
	i.proxy.StartDrain()
	// The store may not answer; requests must not wait for it.
	go i.leaveRoster(ctx)
	_ = i.clock.Sleep(ctx, time.Duration(lingerShare*float64(grace)))
	err := i.proxy.Drain(ctx)
	// Responses are flushed after their handlers have ended.
	closing, cancelClosing := context.WithTimeout(context.Background(), closeLimit)
	defer cancelClosing()
	_ = callers.ShutdownWithContext(closing)
	if err != nil {
		event.StopTimedOut.Log(i.Log).Int64("open_requests", i.proxy.Open()).Send()
		return
	}
	event.Stopped.Log(i.Log).Send()
}

// leaveRoster removes this instance's row.
func (i *Instance) leaveRoster(ctx context.Context) {
	if err := i.Platform.Leave(ctx, i.fleet.Self); err != nil {
		event.JoinFailed.Log(i.Log).Err(err).Msg("the row of this instance stays in the roster")
	}
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
