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
// (HostClient behind a Server) in one run. The paths take turns and use the same
// target and one keep-alive caller connection each. It reports the ratios of the
// median and the p99 latency, the extra allocations, and the added latency over
// the median of a direct request.
func BenchmarkDataPath(b *testing.B) {
	upstream := listen(b, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") }})
	r := newTestProxy(b, Options{}, upstream)
	bare := &fasthttp.HostClient{Addr: upstream, MaxIdemponentCallAttempts: 1}
	forwarder := listen(b, &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if err := bare.Do(&ctx.Request, &ctx.Response); err != nil {
			b.Error(err)
		}
	}})
	paths := []*benchPath{
		newBenchPath(b, "direct", upstream, "/get", r.keyLine()),
		newBenchPath(b, "bare", forwarder, "/get", r.keyLine()),
		newBenchPath(b, "reused", r.address, "/get", r.keyLine()),
		newBenchPath(b, "fresh", r.address, "/put", r.keyLine()),
	}
	for b.Loop() {
		for _, p := range paths {
			p.sendOnce(b)
		}
	}
	direct, barePath := paths[0], paths[1]
	for _, p := range paths {
		slices.Sort(p.times)
	}
	b.ReportMetric(float64(barePath.latencyAt(0.5))/1e3, "bare-p50-us")
	b.ReportMetric(float64(barePath.latencyAt(0.99)-direct.latencyAt(0.5))/1e6, "bare-added-p99-ms")
	for _, p := range paths[2:] {
		b.ReportMetric(float64(p.latencyAt(0.5))/float64(barePath.latencyAt(0.5)), p.name+"-p50/bare")
		b.ReportMetric(float64(p.latencyAt(0.99))/float64(barePath.latencyAt(0.99)), p.name+"-p99/bare")
		b.ReportMetric(p.allocations(b)-barePath.allocations(b), p.name+"-extra-allocs")
		b.ReportMetric(float64(p.latencyAt(0.99)-direct.latencyAt(0.5))/1e6, p.name+"-added-p99-ms")
	}
}

// benchPath is one of the compared ways from a caller to the target.
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

// sendOnce sends one request and reads the response. A small response arrives in
// one piece on loopback; each later read waits for the length of the first one.
func (p *benchPath) sendOnce(b *testing.B) {
	began := time.Now()
	if _, err := p.conn.Write(p.request); err != nil {
		b.Fatal(err)
	}
	n, err := io.ReadAtLeast(p.conn, p.buf[:], max(1, p.responseLength))
	if err != nil || string(p.buf[n-2:n]) != "ok" {
		b.Fatalf("%s: %q, %v", p.name, p.buf[:n], err)
	}
	p.responseLength = n
	p.times = append(p.times, time.Since(began))
}

// latencyAt returns a quantile of the latencies, which must be sorted.
func (p *benchPath) latencyAt(quantile float64) time.Duration {
	return p.times[int(quantile*float64(len(p.times)-1))]
}

// allocations returns the allocations of the whole process per request.
func (p *benchPath) allocations(b *testing.B) float64 {
	const n = 200
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	kept := p.times
	for range n {
		p.sendOnce(b)
	}
	p.times = kept
	runtime.ReadMemStats(&after)
	return float64(after.Mallocs-before.Mallocs) / n
}
