// Package lagged keeps the recent history of a value, so that a simulator can
// report the value as it was some time ago.
package lagged

import (
	"sort"
	"sync"
	"time"
)

// maxChanges bounds the number of recorded changes. When the history is full, its
// older half is dropped; a lag that reaches further back than the history gets
// the zero value.
const maxChanges = 4096

// change is a value and the time from which it holds.
type change[T any] struct {
	at    time.Duration
	value T
}

// Value is a value with its recent history. The zero Value has an empty history.
// It is safe for concurrent use.
type Value[T any] struct {
	mu      sync.Mutex
	changes []change[T]
}

// Set records that the value is v from time at on. Times must not decrease from
// one call to the next.
func (l *Value[T]) Set(at time.Duration, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.changes) >= maxChanges {
		// Dropping half of the history at once keeps the amortized cost of copying
		// constant per change.
		l.changes = append([]change[T](nil), l.changes[maxChanges/2:]...)
	}
	l.changes = append(l.changes, change[T]{at, v})
}

// At returns the value at the given time, or the zero value of T for a time
// before the first change.
func (l *Value[T]) At(t time.Duration) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].at > t })
	if i == 0 {
		var zero T
		return zero
	}
	return l.changes[i-1].value
}
