package proxy

import (
	"io"
	"net"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// BenchmarkDataPath compares the data path with bare fasthttp forwarding
// (HostClient behind a Server) in one run, in turns, over the same target and
// one keep-alive caller connection each. It reports the ratios of median time,
// p99 and allocations, and the added latency over a direct request.
func BenchmarkDataPath(b *testing.B) {
	upstream := listen(b, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }})
	r := newTestProxy(b, Options{}, upstream)
	bare := &fasthttp.HostClient{Addr: upstream, MaxIdemponentCallAttempts: 1}
	forwarder := listen(b, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := bare.Do(&ctx.Request, &ctx.Response); err != nil {
			b.Error(err)
		}
	}})
	lanes := []*benchPath{
		newBenchPath(b, "direct", upstream, "/get", r.keyLine()),
		newBenchPath(b, "bare", forwarder, "/get", r.keyLine()),
		newBenchPath(b, "reused", r.address, "/get", r.keyLine()),
		newBenchPath(b, "fresh", r.address, "/put", r.keyLine()),
	}
	for b.Loop() {
		for _, l := range lanes {
			l.sendOnce(b)
		}
	}
	direct, bareLane := lanes[0], lanes[1]
	for _, l := range lanes {
		slices.Sort(l.times)
	}
	b.ReportMetric(float64(bareLane.latencyAt(0.5))/1e3, "bare-p50-us")
	b.ReportMetric(float64(bareLane.latencyAt(0.99)-direct.latencyAt(0.5))/1e6, "bare-added-p99-ms")
	for _, l := range lanes[2:] {
		b.ReportMetric(float64(l.latencyAt(0.5))/float64(bareLane.latencyAt(0.5)), l.name+"-p50/bare")
		b.ReportMetric(float64(l.latencyAt(0.99))/float64(bareLane.latencyAt(0.99)), l.name+"-p99/bare")
		b.ReportMetric(l.allocations(b)-bareLane.allocations(b), l.name+"-extra-allocs")
		b.ReportMetric(float64(l.latencyAt(0.99)-direct.latencyAt(0.5))/1e6, l.name+"-added-p99-ms")
	}
}

// benchPath is one way from a caller to the target.
type benchPath struct {
	name           string
	conn           net.Conn
	request        []byte
	buf            [4096]byte
	responseLength int
	times          []time.Duration
}

func newBenchPath(b *testing.B, name, address, path, keyLine string) *benchPath {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	return &benchPath{name: name, conn: conn, request: []byte("GET " + path + " HTTP/1.1\r\nHost: h\r\n" + keyLine + "\r\n\r\n")}
}

// sendOnce sends one request. A small response arrives in one piece on loopback;
// the length of the first one is what each later read waits for.
func (l *benchPath) sendOnce(b *testing.B) {
	began := time.Now()
	if _, err := l.conn.Write(l.request); err != nil {
		b.Fatal(err)
	}
	n, err := io.ReadAtLeast(l.conn, l.buf[:], max(1, l.responseLength))
	if err != nil || string(l.buf[n-2:n]) != "ok" {
		b.Fatalf("%s: %q, %v", l.name, l.buf[:n], err)
	}
	l.responseLength = n
	l.times = append(l.times, time.Since(began))
}

func (l *benchPath) latencyAt(quantile float64) time.Duration {
	return l.times[int(quantile*float64(len(l.times)-1))]
}

// allocations returns the allocations of the whole process per request.
func (l *benchPath) allocations(b *testing.B) float64 {
	const n = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	kept := l.times
	for range n {
		l.sendOnce(b)
	}
	l.times = kept
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / n
}
