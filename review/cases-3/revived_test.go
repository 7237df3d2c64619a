//go:build review3

package cases3

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// drainTime and stableWindow are the bounds of the users' pages.
	drainTime    = 2 * time.Second
	stableWindow = 3 * time.Second
	// removedAfter is the time from the copy to the removal of the target's entry, addedAfter that
	// from the removal to the start of the added instance.
	removedAfter = 500 * time.Millisecond
	addedAfter   = 500 * time.Millisecond
	// expiry is the time after which the store drops the entry of a target that does not report:
	// three heartbeats.
	expiry = 4500 * time.Millisecond
	// leavingTarget is the target whose entry is removed. It serves on until the end of the run.
	leavingTarget = "i-4"
	// callInterval is the time between two requests.
	callInterval = 25 * time.Millisecond
)

// arrival is a request that reached the leaving target.
type arrival struct {
	id string
	at time.Time
}

// runRevivedTarget removes the entry of a target, which serves on, and adds an instance. With
// trouble, the store is then away for a moment and comes back from a copy that still has the
// entry, until it expires again.
func runRevivedTarget(b *bed, trouble bool) (broken bool, err error) {
	var mu sync.Mutex
	var arrivals []arrival
	sentAt := map[string]time.Time{}
	for _, id := range []string{"i-1", "i-2", "i-3", leavingTarget} {
		t := &target{}
		t.serve = func(c net.Conn, r *bufio.Reader, q targetRequest) bool {
			if id == leavingTarget {
				mu.Lock()
				arrivals = append(arrivals, arrival{q.id, time.Now()})
				mu.Unlock()
			}
			return t.answer(c, r, q, 5*time.Millisecond)
		}
		if err := b.startTarget(id, t); err != nil {
			return false, err
		}
	}
	var calm []*edge
	for range 2 {
		e, err := b.startEdge(true)
		if err != nil {
			return false, err
		}
		calm = append(calm, e)
	}
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var calls sync.WaitGroup
	calls.Go(func() {
		ticker := time.NewTicker(callInterval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			e, id := calm[n%len(calm)], fmt.Sprintf("load-%d-%s", n, calm[n%len(calm)].name)
			calls.Go(func() {
				mu.Lock()
				sentAt[id] = time.Now()
				mu.Unlock()
				a := b.call(e, "POST", "/unsafe/"+id, id, []byte("one seat"))
				b.count(fmt.Sprintf("answered %d by %s", a.status, e.name))
			})
		}
	})
	time.Sleep(2 * time.Second)
	copied, copiedAt := b.store.Copy(), time.Now()
	time.Sleep(removedAfter)
	b.store.Delete("servers", leavingTarget)
	removedAt := time.Now()
	b.record.printf("store: acknowledges that %s is gone; it serves on", leavingTarget)
	time.Sleep(addedAfter)
	added, err := b.startEdge(false)
	if err != nil {
		return false, err
	}
	b.record.printf("platform: %s is added", added.name)
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
	if trouble {
		b.store.SetFaults(storesim.Faults{Reset: true})
		b.record.printf("store: away for %v", awayTime)
	}
	time.Sleep(awayTime)
	if trouble {
		b.store.Restore(copied, false)
		b.store.SetFaults(storesim.Faults{})
		b.record.printf("store: back, from a copy of %v before, with the targets %v", time.Since(copiedAt).Round(time.Millisecond), b.store.Keys("servers"))
	}
	backAt := time.Now()
	time.Sleep(expiry)
	if trouble {
		b.store.Delete("servers", leavingTarget)
		b.record.printf("store: the entry of %s expires, %v after the return", leavingTarget, time.Since(backAt).Round(time.Millisecond))
	}
	time.Sleep(drainTime)
	close(stop)
	calls.Wait()
	b.printCounts()
	mu.Lock()
	defer mu.Unlock()
	late, lateInTouch := 0, 0
	for _, a := range arrivals {
		sent := sentAt[a.id]
		if a.at.Sub(removedAt) <= drainTime {
			continue
		}
		late++
		b.record.printf("%s, sent %v after the removal (%v after the return), reaches %s %v after the removal", a.id, sent.Sub(removedAt).Round(time.Millisecond),
			sent.Sub(backAt).Round(time.Millisecond), leavingTarget, a.at.Sub(removedAt).Round(time.Millisecond))
		if sent.Sub(backAt) > stableWindow {
			lateInTouch++
		}
	}
	b.record.printf("%d of %d requests reached %s later than %v after its removal, %d of them sent later than %v after the return", late, len(sentAt), leavingTarget,
		drainTime, lateInTouch, stableWindow)
	return lateInTouch > 0, nil
}
