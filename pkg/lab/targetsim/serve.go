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
	loadHeader      = "X-Load"
	drainingHeader  = "X-Draining"
	shedHeader      = "X-Shed"
	deadlineHeader  = "X-Deadline-Ms"
	teamHeader      = "X-Team"
	requestIDHeader = "X-Request-Id"
	// MicrosHeader tells how long the target had the request, in microseconds,
	// so that a caller can compute the latency that the fleet added.
	MicrosHeader = "X-Sim-Micros"
)

func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	hangUp, cancelHangUp := context.WithCancelCause(s.context)
	defer cancelHangUp(nil)
	stop := watchHangUp(ctx.Conn(), cancelHangUp)
	defer stop()
	p := s.draw()
	if string(ctx.Path()) == s.options.HealthPath {
		s.records.probe(containsKey(&ctx.Request))
		s.serveHealth(hangUp, ctx, p)
		return
	}
	e := describe(ctx)
	s.records.received(e)
	if p.faults.Silent {
		s.serveSilently(hangUp, ctx, e)
		return
	}
	s.serveWork(hangUp, ctx, p, e)
}

func (s *Server) serveWork(hangUp context.Context, ctx *fasthttp.RequestCtx, p plan, e Execution) {
	request, cancel, ok := withDeadline(hangUp, ctx)
	if !ok {
		ctx.Error("invalid "+deadlineHeader, fasthttp.StatusBadRequest)
		return
	}
	defer cancel()
	if err := s.slots.acquire(request); err != nil {
		if hangUp.Err() == nil {
			s.records.shed()
		}
		s.refuse(hangUp, ctx, p)
		return
	}
	defer s.slots.release()
	execution := s.records.begin(e)
	outcome := s.run(request, hangUp, p)
	s.records.end(execution, outcome)
	s.answer(ctx, p, outcome)
}

// withDeadline applies the deadline header, if there is one.
func withDeadline(parent context.Context, ctx *fasthttp.RequestCtx) (context.Context, context.CancelFunc, bool) {
	header := ctx.Request.Header.Peek(deadlineHeader)
	if len(header) == 0 {
		return parent, func() {}, true
	}
	left, err := strconv.Atoi(string(header))
	if err != nil || left < 0 {
		return nil, nil, false
	}
	request, cancel := context.WithTimeout(parent, time.Duration(left)*time.Millisecond)
	return request, cancel, true
}

// describe returns the execution that the request would be, not yet begun.
func describe(ctx *fasthttp.RequestCtx) Execution {
	return Execution{
		RequestID: string(ctx.Request.Header.Peek(requestIDHeader)),
		Team:      string(ctx.Request.Header.Peek(teamHeader)),
		Method:    string(ctx.Method()), Path: string(ctx.Path()),
		KeySeen: containsKey(&ctx.Request),
	}
}

// refuse answers a request that did not get a slot, because the queue was full
// or because its deadline passed in the queue. It has not run.
func (s *Server) refuse(hangUp context.Context, ctx *fasthttp.RequestCtx, p plan) {
	if hangUp.Err() != nil {
		httpserver.Drop(ctx)
		return
	}
	ctx.Error("shed", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(shedHeader, "true")
	s.setHeaders(ctx, p)
}

// run spends the service time of one execution.
func (s *Server) run(request, hangUp context.Context, p plan) Outcome {
	if p.stall {
		select {
		case <-request.Done():
		case <-p.end:
		}
	}
	timer := time.NewTimer(p.service)
	defer timer.Stop()
	select {
	case <-request.Done():
		if hangUp.Err() != nil {
			return Cancelled
		}
		return Expired
	case <-timer.C:
	}
	switch {
	case p.fail:
		return Failed
	case p.half:
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
	ctx.Response.Header.Set(MicrosHeader, strconv.FormatInt(time.Since(ctx.Time()).Microseconds(), 10))
	s.setHeaders(ctx, p)
}

// Body is the answer to a request: its id, filled up to the size. A caller can
// tell by it whether an answer is whole and its own.
func Body(requestID string, size int) []byte {
	body := append([]byte(requestID), '\n')
	if len(body) < size {
		body = append(body, bytes.Repeat([]byte("x"), size-len(body))...)
	}
	return body
}

// truncate announces the whole body, sends half of it and closes.
func truncate(ctx *fasthttp.RequestCtx, body []byte) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(conn net.Conn) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n", len(body))
		_, _ = conn.Write(append([]byte(head), body[:len(body)/2]...)) // the caller may be gone
	})
}

func (s *Server) setHeaders(ctx *fasthttp.RequestCtx, p plan) {
	l := s.load.At(time.Since(s.origin) - s.options.LoadLag)
	ctx.Response.Header.Set(loadHeader, fmt.Sprintf("in_flight=%d, queued=%d", l.inFlight, l.queued))
	if p.draining {
		ctx.Response.Header.Set(drainingHeader, "true")
	}
}

// serveSilently holds the request until the caller or the target closes. The
// target may have acted on it, so it counts as an execution.
func (s *Server) serveSilently(hangUp context.Context, ctx *fasthttp.RequestCtx, e Execution) {
	execution := s.records.begin(e)
	<-hangUp.Done()
	s.records.end(execution, Cancelled)
	httpserver.Drop(ctx)
}

// serveHealth answers a probe. An honest probe holds a slot for its time; a
// probe of a stalling target or one that lies does not wait for a slot.
func (s *Server) serveHealth(hangUp context.Context, ctx *fasthttp.RequestCtx, p plan) {
	lies := p.faults.Health != HealthHonest
	if p.faults.Silent && !lies {
		<-hangUp.Done()
		httpserver.Drop(ctx)
		return
	}
	probe, cancel, ok := withDeadline(hangUp, ctx)
	if !ok {
		ctx.Error("invalid "+deadlineHeader, fasthttp.StatusBadRequest)
		return
	}
	defer cancel()
	length := s.options.HealthTime
	if !lies && p.faults.SlowFactor > 0 {
		length = time.Duration(float64(length) * p.faults.SlowFactor)
	}
	if !lies && p.faults.Stall == 0 {
		if err := s.slots.acquire(probe); err != nil {
			s.refuse(hangUp, ctx, p)
			return
		}
		defer s.slots.release()
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-probe.Done():
		s.answer(ctx, p, deadlineOutcome(hangUp))
	case <-timer.C:
		s.writeHealth(ctx, p)
	}
}

func deadlineOutcome(hangUp context.Context) Outcome {
	if errors.Is(hangUp.Err(), context.Canceled) {
		return Cancelled
	}
	return Expired
}

func (s *Server) writeHealth(ctx *fasthttp.RequestCtx, p plan) {
	status := p.faults.Health
	if status == HealthHonest {
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
