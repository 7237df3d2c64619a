package targetsim

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

// Headers of the target protocol, and the header of the request id.
const (
	// loadHeader reports the numbers of requests in flight and queued.
	loadHeader = "X-Load"
	// drainingHeader is "true" in responses of a draining target.
	drainingHeader = "X-Draining"
	// shedHeader is "true" in the response to a request that was not executed.
	shedHeader = "X-Shed"
	// deadlineHeader is the time left for a request, in milliseconds.
	deadlineHeader  = "X-Deadline-Ms"
	teamHeader      = "X-Team"
	requestIDHeader = "X-Request-Id"
	// ElapsedMicrosHeader reports how long the target had the request, in
	// microseconds, so that a caller can compute the latency that the fleet added.
	ElapsedMicrosHeader = "X-Sim-Micros"
)

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	connCtx, cancelConn := context.WithCancelCause(s.context)
	defer cancelConn(nil)
	stop := watchDisconnect(ctx.Conn(), cancelConn)
	defer stop()
	p := s.drawPlan()
	if string(ctx.Path()) == s.options.HealthPath {
		s.records.countProbe(containsKey(&ctx.Request))
		s.serveHealth(connCtx, ctx, p)
		return
	}
	e := newExecution(ctx)
	s.records.countReceived(e)
	if p.faults.Unresponsive {
		s.serveUnresponsive(connCtx, ctx, e)
		return
	}
	s.serveWork(connCtx, ctx, p, e)
}

// serveWork serves a request that is not a probe. connCtx ends when the caller
// closes the connection or the target closes.
func (s *Server) serveWork(connCtx context.Context, ctx *fasthttp.RequestCtx, p plan, e Execution) {
	requestCtx, cancel, ok := withDeadline(connCtx, ctx)
	if !ok {
		ctx.Error("invalid "+deadlineHeader, fasthttp.StatusBadRequest)
		return
	}
	defer cancel()
	if err := s.slots.acquire(requestCtx); err != nil {
		if connCtx.Err() == nil {
			s.records.countShed()
		}
		s.answerShed(connCtx, ctx, p)
		return
	}
	defer s.slots.release()
	execution := s.records.begin(e)
	if p.faults.crashes(e) {
		time.Sleep(p.serviceTime / 2)
		s.records.end(execution, Cancelled)
		go func() { _ = s.service.crash() }() // without a restart, the target stays down
		<-connCtx.Done()
		httpserver.Drop(ctx)
		return
	}
	outcome := s.execute(requestCtx, connCtx, p)
	s.records.end(execution, outcome)
	s.answer(ctx, p, outcome)
}

// withDeadline applies the deadline header, if there is one.
func withDeadline(parent context.Context, ctx *fasthttp.RequestCtx) (context.Context, context.CancelFunc, bool) {
	header := ctx.Request.Header.Peek(deadlineHeader)
	if len(header) == 0 {
		return parent, func() {}, true
	}
	remainingMS, err := strconv.Atoi(string(header))
	if err != nil || remainingMS < 0 {
		return nil, nil, false
	}
	requestCtx, cancel := context.WithTimeout(parent, time.Duration(remainingMS)*time.Millisecond)
	return requestCtx, cancel, true
}

// newExecution returns the record of a request whose execution has not started.
func newExecution(ctx *fasthttp.RequestCtx) Execution {
	return Execution{
		RequestID: string(ctx.Request.Header.Peek(requestIDHeader)),
		Team:      string(ctx.Request.Header.Peek(teamHeader)),
		Method:    string(ctx.Method()), Path: string(ctx.Path()),
		KeySeen: containsKey(&ctx.Request),
	}
}

// answerShed answers a request that did not get a slot because the queue was full
// or because its deadline passed in the queue. The request was not executed.
func (s *Server) answerShed(connCtx context.Context, ctx *fasthttp.RequestCtx, p plan) {
	if connCtx.Err() != nil {
		httpserver.Drop(ctx)
		return
	}
	ctx.Error("shed", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(shedHeader, "true")
	s.setHeaders(ctx, p)
}

// execute waits for the stall, if any, and the service time of one execution.
func (s *Server) execute(requestCtx, connCtx context.Context, p plan) Outcome {
	if p.stall {
		select {
		case <-requestCtx.Done():
		case <-p.replaced:
		}
	}
	timer := time.NewTimer(p.serviceTime)
	defer timer.Stop()
	select {
	case <-requestCtx.Done():
		if connCtx.Err() != nil {
			return Cancelled
		}
		return Expired
	case <-timer.C:
	}
	switch {
	case p.fail:
		return Failed
	case p.truncate:
		return Truncated
	default:
		return Completed
	}
}

func (s *Server) answer(ctx *fasthttp.RequestCtx, p plan, outcome Outcome) {
	body := Body(string(ctx.Request.Header.Peek(requestIDHeader)), s.options.ResponseBytes)
	switch outcome {
	case Cancelled:
		httpserver.Drop(ctx)
		return
	case Expired:
		ctx.Error("deadline exceeded", fasthttp.StatusGatewayTimeout)
	case Failed:
		ctx.Error("internal error", fasthttp.StatusInternalServerError)
	case Truncated:
		truncate(ctx, body)
		return
	default:
		ctx.SetBody(body)
	}
	ctx.Response.Header.Set(ElapsedMicrosHeader, strconv.FormatInt(time.Since(ctx.Time()).Microseconds(), 10))
	s.setHeaders(ctx, p)
}

// Body returns the response body of a request: its id, padded to the size. It
// lets a caller check that a response is complete and belongs to its request.
func Body(requestID string, size int) []byte {
	body := append([]byte(requestID), '\n')
	if len(body) < size {
		body = append(body, bytes.Repeat([]byte("x"), size-len(body))...)
	}
	return body
}

// truncate announces the length of the whole body, sends half of it and closes
// the connection.
func truncate(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...)) // the caller may have closed the connection
	})
}

// setHeaders adds the load, as it was LoadLag ago, and the draining state.
func (s *Server) setHeaders(ctx *fasthttp.RequestCtx, p plan) {
	l := s.load.At(time.Since(s.createdAt) - s.options.LoadLag)
	ctx.Response.Header.Set(loadHeader, fmt.Sprintf("in_flight=%d, queued=%d", l.inFlight, l.queued))
	if p.draining {
		ctx.Response.Header.Set(drainingHeader, "true")
	}
}

// serveUnresponsive holds the request until the caller closes the connection or
// the target closes. It counts as an execution, because a real target may have
// acted on the request.
func (s *Server) serveUnresponsive(connCtx context.Context, ctx *fasthttp.RequestCtx, e Execution) {
	execution := s.records.begin(e)
	<-connCtx.Done()
	s.records.end(execution, Cancelled)
	httpserver.Drop(ctx)
}

// serveHealth answers a probe. A probe holds a slot for its duration, unless the
// target stalls requests or Faults.Health overrides the status; such a probe
// takes as long but needs no slot.
func (s *Server) serveHealth(connCtx context.Context, ctx *fasthttp.RequestCtx, p plan) {
	overridden := p.faults.Health != HealthActual
	if p.faults.Unresponsive && !overridden {
		<-connCtx.Done()
		httpserver.Drop(ctx)
		return
	}
	probeCtx, cancel, ok := withDeadline(connCtx, ctx)
	if !ok {
		ctx.Error("invalid "+deadlineHeader, fasthttp.StatusBadRequest)
		return
	}
	defer cancel()
	duration := s.options.HealthTime
	if !overridden && p.faults.SlowFactor > 0 {
		duration = time.Duration(float64(duration) * p.faults.SlowFactor)
	}
	if !overridden && p.faults.Stall == 0 {
		if err := s.slots.acquire(probeCtx); err != nil {
			s.answerShed(connCtx, ctx, p)
			return
		}
		defer s.slots.release()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-probeCtx.Done():
		s.answer(ctx, p, interruptedOutcome(connCtx))
	case <-timer.C:
		s.writeHealth(ctx, p)
	}
}

// interruptedOutcome returns the outcome of a probe whose context has ended.
func interruptedOutcome(connCtx context.Context) Outcome {
	if errors.Is(connCtx.Err(), context.Canceled) {
		return Cancelled
	}
	return Expired
}

func (s *Server) writeHealth(ctx *fasthttp.RequestCtx, p plan) {
	status := p.faults.Health
	if status == HealthActual {
		switch {
		case p.draining:
			status = HealthDraining
		case p.cold:
			status = HealthCold
		default:
			status = HealthOK
		}
	}
	if status == HealthFailing {
		ctx.Error("failing", fasthttp.StatusInternalServerError)
	} else {
		httpserver.WriteJSON(ctx, map[string]string{"status": string(status)})
	}
	s.setHeaders(ctx, p)
}
