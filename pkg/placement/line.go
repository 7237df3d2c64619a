package placement

import (
	"slices"
	"time"
)

// waiter is a request that waits for a target with room.
type waiter struct {
	priority int
	arrived  time.Duration
	wake     chan struct{}
}

// line holds the waiting requests of a service: higher priority first, then
// those that came first.
type line []*waiter

func (l *line) join(w *waiter) {
	at, _ := slices.BinarySearchFunc(*l, w, func(a, b *waiter) int {
		if a.priority != b.priority {
			return a.priority - b.priority
		}
		return int(a.arrived - b.arrived)
	})
	*l = slices.Insert(*l, at, w)
}

func (l *line) leave(w *waiter) {
	if i := slices.Index(*l, w); i >= 0 {
		*l = slices.Delete(*l, i, i+1)
	}
}

// wakeFirst lets the first request look again.
func (l line) wakeFirst() {
	if len(l) > 0 {
		select {
		case l[0].wake <- struct{}{}:
		default:
		}
	}
}

// behind tells whether a request of this priority has to wait behind others.
func (l line) behind(priority int) bool { return len(l) > 0 && l[0].priority <= priority }
