//go:build review

package cases

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Limits of the site.
const (
	grace = 6 * time.Second
	// excusedUntil is the time after a SIGTERM up to which a request may be cut off if its
	// target is still at work at the end of the grace period.
	excusedUntil = 3 * time.Second
	holdTimeout  = 3 * time.Second
	holdDeadline = 6 * time.Second
)

// lateHold is a request on a kept connection: when it is sent, after the SIGTERM, and how long
// its target works on it.
type lateHold struct{ sentAt, work time.Duration }

// The work is at most that of the site's class of requests, 2,400 ms.
var lateHolds = []lateHold{
	{500 * time.Millisecond, 320 * time.Millisecond},
	{3050 * time.Millisecond, 2400 * time.Millisecond},
	{3100 * time.Millisecond, 2400 * time.Millisecond},
	{3150 * time.Millisecond, 2400 * time.Millisecond},
	{3200 * time.Millisecond, 2400 * time.Millisecond},
	{4200 * time.Millisecond, 1600 * time.Millisecond},
	{4800 * time.Millisecond, 1000 * time.Millisecond},
}

// TestLostAtStop stops one of three instances with SIGTERM. Callers send requests on connections
// that they have open there.
func TestLostAtStop(t *testing.T) {
	runCase(t, "lost at a planned stop", func(l *lab) int {
		l.configure(1, l.readDocument("config.json"))
		works := map[string]time.Duration{}
		for n, h := range lateHolds {
			works[fmt.Sprintf("hold-%d", n)] = h.work
		}
		targets := make([]*target, 4)
		for n := range targets {
			targets[n] = l.addTarget(fmt.Sprintf("i-%d", n+1), "booking", "z1", 4)
			targets[n].work = func(r *run) time.Duration { return max(works[r.id], 20*time.Millisecond) }
		}
		stopped := l.addInstance("e1", "z1")
		l.addInstance("e2", "z1")
		l.addInstance("e3", "z1")
		l.awaitReady()
		conns := make([]*connection, len(lateHolds))
		for n := range conns {
			c, err := l.connect(stopped.caller)
			if err != nil {
				l.fail("connect: %v", err)
			}
			conns[n] = c
			id := fmt.Sprintf("first-%d", n)
			if o := c.exchange(id, request(http.MethodPost, "/hold/1", id, "key-of-guests-1", holdDeadline, "", "seat"), holdDeadline); o.status != http.StatusOK {
				l.fail("the request before the stop failed")
			}
		}
		began := time.Now()
		if troubled() {
			stopped.signal(syscall.SIGTERM)
			time.AfterFunc(grace, func() {
				if stopped.running() {
					stopped.signal(syscall.SIGKILL)
				}
			})
		}
		outcomes := make([]outcome, len(lateHolds))
		var callers sync.WaitGroup
		for n, h := range lateHolds {
			callers.Go(func() {
				time.Sleep(time.Until(began.Add(h.sentAt)))
				id := fmt.Sprintf("hold-%d", n)
				outcomes[n] = conns[n].exchange(id, request(http.MethodPost, "/hold/2", id, "key-of-guests-1", holdDeadline, "", "seat"), holdDeadline)
				_ = conns[n].Close()
			})
		}
		callers.Wait()
		time.Sleep(time.Second)
		breaks := 0
		for n, o := range outcomes {
			id := fmt.Sprintf("hold-%d", n)
			passedOn := false
			for _, r := range allRuns(targets...) {
				passedOn = passedOn || r.id == id
			}
			sent, took := o.sentAt.Sub(began), o.endedAt.Sub(o.sentAt)
			if !o.complete && passedOn && sent > excusedUntil && took < holdTimeout {
				breaks++
				l.line("LOST: %s was sent %d ms after the SIGTERM, passed on to a target, and cut off after %d ms without an answer", id, sent.Milliseconds(), took.Milliseconds())
			}
		}
		return breaks
	})
}

// readDocument reads a file of the case's folder.
func (l *lab) readDocument(name string) string {
	data, err := os.ReadFile(filepath.Join(os.Getenv("CASE_FOLDER"), name))
	if err != nil {
		l.fail("%v", err)
	}
	return string(data)
}
