//go:build review3

package cases3

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

const (
	// copyAge is the age of the copy from which the store comes back, awayTime the time for which
	// it is away before.
	copyAge  = 4 * time.Second
	awayTime = time.Second
)

// runRestoredRoster adds two machines, one after the other. With trouble, the store is away for a
// moment between the two and comes back from a copy that is older than the first one's entry.
// Then a tenant sends more than its allotment.
func runRestoredRoster(b *bed, trouble bool) (broken bool, err error) {
	runs, err := b.startCountingTargets()
	if err != nil {
		return false, err
	}
	if _, err := b.startEdge(true); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	copied, copiedAt := b.store.Copy(), time.Now()
	if _, err := b.startEdge(false); err != nil {
		return false, err
	}
	b.record.printf("platform: %s is added; the roster has %v", b.edges[1].name, b.store.Keys("members"))
	time.Sleep(time.Until(copiedAt.Add(copyAge - awayTime)))
	if trouble {
		b.store.SetFaults(storesim.Faults{Reset: true})
		b.record.printf("store: away for %v", awayTime)
	}
	time.Sleep(awayTime)
	if trouble {
		b.store.Restore(copied, false)
		b.store.SetFaults(storesim.Faults{})
		b.record.printf("store: back, from a copy of %v before; the roster has %v", time.Since(copiedAt).Round(time.Millisecond), b.store.Keys("members"))
	}
	if _, err := b.startEdge(false); err != nil {
		return false, err
	}
	b.record.printf("platform: %s is added; the roster has %v", b.edges[2].name, b.store.Keys("members"))
	time.Sleep(5 * time.Second)
	b.record.printf("the roster has %v", b.store.Keys("members"))
	return b.exceedsAllotment(runs), nil
}
