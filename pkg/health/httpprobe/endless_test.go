package httpprobe

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// Guards against a probe that keeps what a target sends without end, or waits for its end.
func TestEndlessAnswersOfProbes(t *testing.T) {
	const (
		probes  = 16
		maxHeap = 32 << 20 // bytes; a probe keeps far less than 1 MB
		timeout = 400 * time.Millisecond
	)
	for form := range upstreamsim.EndlessFormCount {
		if form == upstreamsim.EndlessSurplus {
			continue // begins with a whole response
		}
		t.Run(fmt.Sprint(form), func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer func() { _ = listener.Close() }()
			go func() {
				for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
					go func() {
						_, _ = c.Read(make([]byte, 4096))
						upstreamsim.WriteEndless(c, form)
						_ = c.Close()
					}()
				}
			}()
			runtime.GC()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			nop := zerolog.Nop()
			p := New(&nop)
			began := time.Now()
			var running sync.WaitGroup
			for range probes {
				running.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					if status := p.Probe(ctx, listener.Addr().String(), "/health"); status != health.ProbeFailed {
						t.Errorf("status %v", status)
					}
				})
			}
			running.Wait()
			is.True(time.Since(began) < 2*time.Second)
			runtime.ReadMemStats(&after)
			is.True(int64(after.HeapInuse)-int64(before.HeapInuse) < maxHeap)
		})
	}
}
