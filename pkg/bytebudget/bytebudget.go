// Package bytebudget bounds the memory of a process that holds the bodies of
// requests and responses.
package bytebudget

import "sync/atomic"

// Budget is a number of bytes that all requests of a process share. It is safe for
// concurrent use.
type Budget struct {
	limit   int64
	used    atomic.Int64
	peak    atomic.Int64
	refused atomic.Int64
}

// State is the use of a budget, in bytes.
type State struct {
	Limit int64 `json:"limit_bytes"`
	Used  int64 `json:"used_bytes"`
	Peak  int64 `json:"peak_bytes"`
	// Refused counts the reservations that did not fit.
	Refused int64 `json:"refused"`
}

// New returns a budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Reserve takes n bytes and reports whether they were left. Each reservation is
// given back by Release.
func (b *Budget) Reserve(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			b.refused.Add(1)
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			b.raisePeak(used + n)
			return true
		}
	}
}

func (b *Budget) raisePeak(used int64) {
	for {
		peak := b.peak.Load()
		if peak >= used || b.peak.CompareAndSwap(peak, used) {
			return
		}
	}
}

// Release gives back n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// State returns the current use.
func (b *Budget) State() State {
	return State{Limit: b.limit, Used: b.used.Load(), Peak: b.peak.Load(), Refused: b.refused.Load()}
}
