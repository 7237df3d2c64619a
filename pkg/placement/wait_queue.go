package placement

import (
	"slices"
	"time"
)

// waiter is a request that waits for a target with free capacity.
type waiter struct {
	// priority is 0 for the most urgent requests.
	priority int
	// arrived is the time since boot.
	arrived time.Duration
	// wake makes the request try again to get a target.
	wake chan struct{}
}

// waitQueue holds the waiting requests of a service by priority, most urgent first,
// and by arrival within a priority.
type waitQueue []*waiter

func (q *waitQueue) enqueue(w *waiter) {
	at, _ := slices.BinarySearchFunc(*q, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrived - b.arrived)
	})
	*q = slices.Insert(*q, at, w)
}

func (q *waitQueue) dequeue(w *waiter) {
	if i := slices.Index(*q, w); i >= 0 {
		*q = slices.Delete(*q, i, i+1)
	}
}

// wakeFirst makes the first request try again to get a target.
func (q waitQueue) wakeFirst() {
	if len(q) > 0 {
		select {
		case q[0].wake <- struct{}{}:
		default:
		}
	}
}

// ahead returns the number of requests before w, or before a new request of this
// priority if w is nil.
func (q waitQueue) ahead(w *waiter, priority int) int {
	for i, other := range q {
		if other == w || (w == nil && other.priority > priority) {
			return i
		}
	}
	return len(q)
}

// mustWait reports whether a new request of this priority has to wait behind
// others.
func (q waitQueue) mustWait(priority int) bool { return len(q) > 0 && q[0].priority <= priority }
