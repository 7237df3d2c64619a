package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/drain"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// lifecycle records whether the instance is shutting down.
type lifecycle struct{ leaving atomic.Bool }

// leaveTimeout bounds the wait for the removal from the membership. If it does not
// succeed in time, the other members remove this instance on their own.
const leaveTimeout = 5 * time.Second

// shutdown takes the instance out of service without interrupting a request: it
// removes itself from its directory answers, keeps serving for the lifetime of the
// answers already given, waits for open requests, and leaves the membership.
// Responses carry Connection: close from the start: a request that arrives while
// the instance closes an idle connection would get no response.
func (i *Instance) shutdown(callers *proxy.CallerServer, operators *fasthttp.Server) {
	event.Draining.Log(&i.log).Send()
	i.lifecycle.leaving.Store(true)
	length := i.settings.Timings.ShutdownTimeout()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	i.proxy.StartDrain(drain.NewPlan(i.clock.SinceBoot(), length))
	// Callers keep using an address for the lifetime of their directory answer.
	_ = i.clock.Sleep(ctx, i.settings.Timings.DirectoryLifetime())
	err := i.proxy.Drain(ctx)
	if err == nil {
		err = callers.Shutdown(ctx)
	}
	if err != nil {
		event.StopTimedOut.Log(&i.log).Int64("open_requests", i.proxy.Open()).Send()
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancelLeave()
	group := errgroup.Group{}
	group.Go(func() error { return i.control.Leave(leaveCtx) })
	group.Go(func() error { return operators.ShutdownWithContext(leaveCtx) })
	if group.Wait() == nil {
		event.LeftMembership.Log(&i.log).Send()
	}
	if err == nil {
		event.Stopped.Log(&i.log).Send()
	}
}
