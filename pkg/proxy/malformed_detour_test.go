package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
)

// startCarrier returns the gossip address of an instance that connects to targets for others.
func startCarrier(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	nop := zerolog.Nop()
	calls := detour.Split(ctx, ln, &detour.Server{
		Listed: func(string) bool { return true }, Direct: detour.Direct{}.Dial, Timeout: time.Second, Log: &nop,
	})
	go func() {
		for _, err := calls.Accept(); err == nil; _, err = calls.Accept() {
			t.Error("the detour is taken for a call")
		}
	}()
	return ln.Addr().String()
}

// Guards against a malformed answer that is passed on because it came through another instance.
func TestMalformedAnswersOverADetour(t *testing.T) {
	carrier := startCarrier(t)
	forEachMalformed(t, func(t *testing.T, options Options, text string) {
		is := is.New(t)
		options.DialTarget = func(ctx context.Context, address string) (net.Conn, error) {
			return detour.Connect(ctx, carrier, address, time.Second)
		}
		odd, good := newTarget(t, sends(text, 0)), newTarget(t, respond(okText))
		r := newTestProxy(t, options, odd.ln.Addr().String())
		response, body := r.dial(t).send("POST", "/put", "x", r.keyLine())
		checkRefused(t, r, response, body)
		r.setTargets(good.ln.Addr().String())
		_, body = r.dial(t).send("POST", "/put", "x", r.keyLine())
		is.Equal(body, "ok")
	})
}
