package httpprobe

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
)

// Guards against a probe that is retried, an answer that is interpreted wrongly and a probe
// that continues after its context ends.
func TestProbe(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var calls atomic.Int32
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		calls.Add(1)
		switch string(ctx.Path()) {
		case "/health":
			ctx.SetBodyString(`{"status":"draining"}`)
		case "/hang":
			time.Sleep(300 * time.Millisecond)
		default:
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(net.Conn) {})
		}
	}}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown() }()
	nop := zerolog.Nop()
	p := New(&nop)
	address := listener.Addr().String()
	is.Equal(p.Probe(t.Context(), address, "/health"), health.ProbeDraining)
	is.Equal(p.Probe(t.Context(), address, "/close"), health.ProbeFailed)
	is.Equal(calls.Load(), int32(2))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	started := time.Now()
	is.Equal(p.Probe(ctx, address, "/hang"), health.ProbeFailed)
	is.True(time.Since(started) < 250*time.Millisecond)
}
