//go:build review3

package cases3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// lateWrite is the time after which the store performs the write whose answer is lost.
	lateWrite = 5500 * time.Millisecond
	// quotaWindow, quotaExcess and quotaSlack are the bounds of the users' pages.
	quotaWindow = 5 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 20
	// loadFactor is how many times its rate the tenant sends: 8 times its usual, as a hot tenant does,
	// of which the rate is 1.6 times.
	loadFactor = 5
	loadTime   = 20 * time.Second
)

// runLateLeave restarts an instance in a planned way. With trouble, the store loses the answer of
// one write meanwhile and performs it later. Then an instance is added, and a tenant sends
// more than its allotment.
func runLateLeave(b *bed, trouble bool) (broken bool, err error) {
	runs, err := b.startCountingTargets()
	if err != nil {
		return false, err
	}
	for range 2 {
		if _, err := b.startEdge(true); err != nil {
			return false, err
		}
	}
	time.Sleep(time.Second)
	restarted := b.edges[1]
	if trouble {
		b.store.SetFaults(storesim.Faults{LoseAnswers: true, ApplyDelay: lateWrite})
		b.record.printf("store: loses the answers of writes and performs them %v later", lateWrite)
	}
	stoppedAt := time.Now()
	restarted.process.Signal(syscall.SIGTERM)
	b.record.printf("platform: SIGTERM for %s", restarted.name)
	time.Sleep(time.Second)
	b.store.SetFaults(storesim.Faults{})
	b.record.printf("store: works again")
	for restarted.process.Running() {
		if time.Since(stoppedAt) > grace {
			restarted.process.Kill()
		}
		time.Sleep(10 * time.Millisecond)
	}
	b.record.printf("platform: %s has ended and is started again", restarted.name)
	time.Sleep(200 * time.Millisecond)
	if err := b.run(restarted, false); err != nil {
		return false, err
	}
	b.record.printf("the roster in the store has %v, %v after the SIGTERM", b.store.Keys("members"), time.Since(stoppedAt).Round(time.Millisecond))
	time.Sleep(time.Until(stoppedAt.Add(lateWrite + 500*time.Millisecond)))
	b.record.printf("the roster in the store has %v", b.store.Keys("members"))
	if _, err := b.startEdge(false); err != nil {
		return false, err
	}
	b.record.printf("platform: %s is added; the roster has %v", b.edges[2].name, b.store.Keys("members"))
	return b.exceedsAllotment(runs), nil
}

// runLog has the times at which targets ran requests, from the first target's start on.
type runLog struct {
	mu    sync.Mutex
	times []time.Duration
}

// startCountingTargets starts four targets that log what they run.
func (b *bed) startCountingTargets() (*runLog, error) {
	runs, start := &runLog{}, time.Now()
	for _, id := range []string{"i-1", "i-2", "i-3", "i-4"} {
		t := &target{}
		t.serve = func(c net.Conn, r *bufio.Reader, q targetRequest) bool {
			runs.mu.Lock()
			runs.times = append(runs.times, time.Since(start))
			runs.mu.Unlock()
			b.count("run")
			return t.answer(c, r, q, 5*time.Millisecond)
		}
		if err := b.startTarget(id, t); err != nil {
			return nil, err
		}
	}
	return runs, nil
}

// exceedsAllotment lets the tenant send more than its allotment and reports whether more of it ran
// than the rule allows.
func (b *bed) exceedsAllotment(runs *runLog) bool {
	time.Sleep(3 * time.Second)
	b.load()
	for _, e := range b.edges {
		b.recordView(e)
	}
	runs.mu.Lock()
	defer runs.mu.Unlock()
	most, at := busiestWindow(runs.times)
	limit := (rate*quotaWindow.Seconds()+burst)*(1+quotaExcess) + quotaSlack
	b.record.printf("at most %d requests of the tenant ran in %v, from %v on; the bound is %.1f", most, quotaWindow, at.Round(time.Millisecond), limit)
	return float64(most) > limit
}

// recordView records whom an instance knows and which targets it takes for its own. The check does
// not use it.
func (b *bed) recordView(e *edge) {
	response, err := http.Get("http://" + e.metrics + "/dump")
	if err != nil {
		b.record.printf("dump of %s: %v", e.name, err)
		return
	}
	defer response.Body.Close()
	var dump struct {
		Fleet   struct{ Peers []struct{ Instance string } }
		Targets []struct {
			Target string
			Home   bool
		}
	}
	if err := json.NewDecoder(response.Body).Decode(&dump); err != nil {
		b.record.printf("dump of %s: %v", e.name, err)
		return
	}
	var peers, owned []string
	for _, p := range dump.Fleet.Peers {
		peers = append(peers, p.Instance)
	}
	for _, t := range dump.Targets {
		if t.Home {
			owned = append(owned, t.Target)
		}
	}
	b.record.printf("dump of %s: it knows the serving instances %v and owns the targets %v", e.name, peers, owned)
}

// load sends requests of the tenant to all instances for loadTime, in equal parts.
func (b *bed) load() {
	interval := time.Second / (rate * loadFactor)
	end, n := time.Now().Add(loadTime), 0
	var calls sync.WaitGroup
	for next := time.Now(); next.Before(end); next = next.Add(interval) {
		time.Sleep(time.Until(next))
		n++
		e, id := b.edges[n%len(b.edges)], fmt.Sprintf("load-%d", n)
		calls.Go(func() {
			b.count("sent to " + e.name)
			a := b.call(e, "POST", "/unsafe/"+id, id, []byte("one seat"))
			b.count(fmt.Sprintf("answered %d by %s", a.status, e.name))
		})
	}
	calls.Wait()
	b.printCounts()
}

// count counts an event in the current second of the record.
func (b *bed) count(event string) {
	r := b.record
	r.mu.Lock()
	defer r.mu.Unlock()
	second := int(time.Since(r.start).Seconds())
	if b.counts[second] == nil {
		b.counts[second] = map[string]int{}
	}
	b.counts[second][event]++
}

// printCounts records the counts of each second.
func (b *bed) printCounts() {
	b.record.mu.Lock()
	counts := maps.Clone(b.counts)
	b.record.mu.Unlock()
	for _, second := range slices.Sorted(maps.Keys(counts)) {
		b.record.printf("in second %d: %v", second, counts[second])
	}
}

// busiestWindow returns the largest number of times within quotaWindow, and the first of them.
func busiestWindow(times []time.Duration) (most int, at time.Duration) {
	slices.Sort(times)
	first := 0
	for i, t := range times {
		for t-times[first] > quotaWindow {
			first++
		}
		if i-first+1 > most {
			most, at = i-first+1, times[first]
		}
	}
	return most, at
}
