//go:build review

package cases

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// storeAnswerTime is how long the store takes for an answer.
	storeAnswerTime = 4 * time.Millisecond
	// outage is how long the store is down, outageRest the time after it in which nothing
	// happens; the site's stable_window is 3 s.
	outage     = 4500 * time.Millisecond
	outageRest = 10 * time.Second
	// killRounds processes are killed, one each killInterval. A process is back after
	// restartDelay, and a target leaves departDelay later.
	killRounds   = 20
	killInterval = 3 * time.Second
	restartDelay = 500 * time.Millisecond
	departDelay  = 150 * time.Millisecond
	// drainBound and touchWindow are the site's drain and stable_window.
	drainBound  = 2 * time.Second
	touchWindow = 3 * time.Second
	// lookupInterval is the time between two requests at each instance.
	lookupInterval = 60 * time.Millisecond
)

// TestDrain lets the store be down for some seconds. Long after that, processes are killed one
// after the other, and after each restart a target leaves: its entry is removed from the store,
// and it serves on for some seconds.
func TestDrain(t *testing.T) {
	runCase(t, "requests to targets that are gone", func(l *lab) int {
		l.configure(1, l.readDocument("config.json"))
		l.store.SetFaults(storesim.Faults{Delay: storeAnswerTime})
		var targets []*target
		add := func() {
			n := len(targets)
			targets = append(targets, l.addTarget(fmt.Sprintf("i-%d", n+1), "booking", zoneOf(n), 4))
		}
		for range 9 {
			add()
		}
		for n := range 9 {
			l.addInstance(fmt.Sprintf("e%d", n+1), zoneOf(n))
		}
		l.awaitReady()
		if troubled() {
			l.line("store: down (503)")
			l.store.SetFaults(storesim.Faults{Delay: storeAnswerTime, Status: http.StatusServiceUnavailable})
			time.Sleep(outage)
			l.store.SetFaults(storesim.Faults{Delay: storeAnswerTime})
			l.line("store: back")
		}
		time.Sleep(outageRest)
		calls := newLookups(l)
		for round := range killRounds {
			add()
			killed := l.instances[round%3]
			calls.skip(killed)
			killed.signal(syscall.SIGKILL)
			<-killed.ended
			time.Sleep(restartDelay)
			killed.start(false)
			time.Sleep(departDelay)
			targets[round].depart()
			time.Sleep(killInterval - restartDelay - departDelay)
		}
		calls.stop()
		return calls.lateRuns(targets)
	})
}

func zoneOf(n int) string { return []string{"z1", "z2", "z3"}[n%3] }

// depart removes the target's entry from the store. The target serves on.
func (t *target) depart() {
	t.mu.Lock()
	t.gone = true
	t.mu.Unlock()
	t.lab.store.Delete("servers", t.id)
	t.mu.Lock()
	t.goneAt = time.Now()
	t.mu.Unlock()
	t.lab.line("target %s: its entry is removed", t.id)
}

// lookup is a request and where it was sent.
type lookup struct {
	at   *instance
	sent time.Time
}

// lookups sends requests to all instances that are in touch.
type lookups struct {
	lab     *lab
	mu      sync.Mutex
	sent    map[string]lookup
	skipped map[*instance]time.Time
	done    chan struct{}
	callers sync.WaitGroup
}

func newLookups(l *lab) *lookups {
	c := &lookups{lab: l, sent: map[string]lookup{}, skipped: map[*instance]time.Time{}, done: make(chan struct{})}
	for _, i := range l.instances {
		c.callers.Go(func() { c.run(i) })
	}
	return c
}

// skip leaves an instance out until it has been in touch again.
func (c *lookups) skip(i *instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.skipped[i] = time.Now().Add(restartDelay + touchWindow + time.Second)
}

func (c *lookups) run(i *instance) {
	for n := 0; ; n++ {
		select {
		case <-c.done:
			return
		case <-time.After(lookupInterval):
		}
		c.mu.Lock()
		skipped := time.Now().Before(c.skipped[i])
		id := fmt.Sprintf("%s-%d", i.name, n)
		if !skipped {
			c.sent[id] = lookup{at: i, sent: time.Now()}
		}
		c.mu.Unlock()
		if !skipped {
			c.callers.Go(func() {
				c.lab.send(i.caller, id, request(http.MethodGet, "/lookup/1", id, "key-of-guests-1", 5*time.Second, "", ""), 5*time.Second)
			})
		}
	}
}

func (c *lookups) stop() {
	close(c.done)
	c.callers.Wait()
}

// lateRuns returns the number of requests that were sent later than drainBound after their
// target's entry was removed, and have reached it.
func (c *lookups) lateRuns(targets []*target) (late int) {
	c.lab.line("%d requests were sent to instances in touch", len(c.sent))
	for _, t := range targets {
		t.mu.Lock()
		goneAt := t.goneAt
		t.mu.Unlock()
		if goneAt.IsZero() {
			continue
		}
		for _, r := range allRuns(t) {
			l, known := c.sent[r.id]
			if after := l.sent.Sub(goneAt); known && after > drainBound {
				late++
				c.lab.line("DRAIN: %s was sent to %s %d ms after the entry of %s was removed, and %s ran it", r.id, l.at.name, after.Milliseconds(), t.id, t.id)
			}
		}
	}
	return late
}
