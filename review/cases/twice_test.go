//go:build review

package cases

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// orderCount requests of each path are sent over orderTime.
	orderCount = 80
	orderTime  = 4 * time.Second
	// lostAnswerPeriod and lostAnswers say that a target loses the answers of 2 in 5 requests
	// that it has run.
	lostAnswerPeriod = 5
	lostAnswers      = 2
)

// TestTwice sends unsafe requests to two paths of one unsafe route, while 3 of 5 targets lose
// the answer of 40% of the requests that they have run. One of the paths is that of a nested
// safe route but for its last slash, so that the safe route's prefix does not begin it.
func TestTwice(t *testing.T) {
	runCase(t, "unsafe requests run twice", func(l *lab) int {
		l.configure(1, l.readDocument("config.json"))
		var losing atomic.Bool
		targets := make([]*target, 5)
		for n := range targets {
			targets[n] = l.addTarget(fmt.Sprintf("i-%d", n+1), "booking", "z1", 4)
			if n < 3 {
				targets[n].answer = loseSome(&losing)
			}
		}
		i := l.addInstance("e1", "z1")
		l.addInstance("e2", "z1")
		l.awaitReady()
		losing.Store(troubled())
		l.line("targets i-1, i-2 and i-3 lose answers: %t", losing.Load())
		var callers sync.WaitGroup
		for n := range orderCount {
			for _, path := range []string{"/orders/new", "/orders/quote"} {
				callers.Go(func() {
					time.Sleep(time.Duration(n) * orderTime / orderCount)
					id := fmt.Sprintf("%s-%d", strings.TrimPrefix(path, "/orders/"), n)
					l.send(i.caller, id, request(http.MethodPost, path, id, "key-of-guests-1", 6*time.Second, "", "order "+id), 6*time.Second)
				})
			}
		}
		callers.Wait()
		losing.Store(false)
		time.Sleep(time.Second)
		ran := map[string][]string{}
		for _, r := range allRuns(targets...) {
			ran[r.id] = append(ran[r.id], r.target)
		}
		breaks := 0
		for id, by := range ran {
			if len(by) > 1 {
				breaks++
				l.line("TWICE: the unsafe request %s was run by %v", id, by)
			}
		}
		l.line("%d requests have run, %d of them more than once", len(ran), breaks)
		return breaks
	})
}

// loseSome returns an answer function that resets the connection instead of some answers while
// losing is set.
func loseSome(losing *atomic.Bool) func(c net.Conn, r *run) bool {
	var ran atomic.Int64
	return func(c net.Conn, r *run) bool {
		if !losing.Load() || ran.Add(1)%lostAnswerPeriod >= lostAnswers {
			return writeAnswer(c, r)
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		return false
	}
}
