// Package lagged keeps the recent history of a value, so that a simulator can
// answer with the value as it was some time ago.
package lagged

import (
	"sort"
	"sync"
	"time"
)

// maxChanges bounds the history. When it is full, the oldest change is
// dropped and a longer lag sees the oldest change that is left.
const maxChanges = 4096

type change[T any] struct {
	at    time.Duration
	value T
}

// Value is a value with history. The zero value has an empty history. It is
// safe for concurrent use.
type Value[T any] struct {
	mu      sync.Mutex
	changes []change[T]
}

// Set records that the value is v from the time at on. Times must not decrease.
func (l *Value[T]) Set(at time.Duration, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.changes) >= maxChanges {
		// Half is dropped at once, which makes the copying cost constant per change.
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
