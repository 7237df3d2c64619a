package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// endlessCallers requests at once get endless responses.
	endlessCallers = 32
	// maxEndlessHeap bounds the growth of the heap meanwhile: the budget for bodies and 1 MB
	// for each request. Endless bodies would take 32 MB each.
	maxEndlessHeap = 64<<20 + endlessCallers<<20
)

// Guards against a process that keeps what a target sends without end, in a head or a body, runs
// out of memory and ends with the requests of others. Both dialects are tested, and a caller of
// another target is served meanwhile.
func TestEndlessResponsesAreNotKept(t *testing.T) {
	for name, dialect := range map[string]*Dialect{"default": defaultDialect(), "platform's": testDialect()} {
		for form := range upstreamsim.EndlessFormCount {
			t.Run(fmt.Sprintf("%s/%d", name, form), func(t *testing.T) {
				endless := newTarget(t, func(c net.Conn, _ *http.Request, _ int) bool {
					upstreamsim.WriteEndless(c, form)
					return false
				})
				good := newTarget(t, respond(okText))
				r := newTestProxy(t, Options{Dialect: dialect}, endless.ln.Addr().String())
				other := newTestProxy(t, Options{Dialect: dialect}, good.ln.Addr().String())
				runtime.GC()
				var before runtime.MemStats
				runtime.ReadMemStats(&before)
				var callers sync.WaitGroup
				for range endlessCallers {
					callers.Go(func() {
						c := r.dial(t)
						_ = c.SetDeadline(time.Now().Add(5 * time.Second))
						c.start("POST", "/put", "x", r.keyLine())
						response, err := http.ReadResponse(c.r, nil)
						if err == nil {
							_, err = io.Copy(io.Discard, response.Body)
						}
						if err == nil && response.StatusCode == http.StatusOK && form != upstreamsim.EndlessSurplus {
							t.Error("an endless response is complete")
						}
					})
				}
				peak := uint64(0)
				done := make(chan struct{})
				go func() { callers.Wait(); close(done) }()
				for running := true; running; {
					select {
					case <-done:
						running = false
					case <-time.After(20 * time.Millisecond):
					}
					var now runtime.MemStats
					runtime.ReadMemStats(&now)
					peak = max(peak, now.HeapInuse)
					if response, _ := other.dial(t).send("POST", "/put", "x", other.keyLine()); response.StatusCode != http.StatusOK {
						t.Errorf("the caller of another target got status %d", response.StatusCode)
					}
				}
				grown := int64(peak) - int64(before.HeapInuse)
				t.Logf("grown by %d MB", grown>>20)
				if grown > maxEndlessHeap {
					t.Errorf("the heap grew by %d MB", grown>>20)
				}
			})
		}
	}
}
