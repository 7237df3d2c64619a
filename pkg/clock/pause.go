package clock

import (
	"sync/atomic"
	"time"
)

// PauseDetector finds out that the process did not run for some time, because it was
// stopped or its machine was suspended. It relies on Observe being called more often
// than its threshold while the process runs. It is safe for concurrent use.
type PauseDetector struct {
	clock     Clock
	threshold time.Duration
	lastSeen  atomic.Int64
	resumedAt atomic.Int64
}

// NewPauseDetector returns a detector of pauses of at least threshold.
func NewPauseDetector(c Clock, threshold time.Duration) *PauseDetector {
	return &PauseDetector{clock: c, threshold: threshold}
}

// Observe records that the process runs, and reports whether a pause has just ended.
// Several goroutines may see the end of one pause.
func (d *PauseDetector) Observe() (resumed bool) {
	now := int64(d.clock.SinceBoot())
	last := d.lastSeen.Load()
	if last != 0 && now-last >= int64(d.threshold) {
		// resumedAt comes before lastSeen: who sees the new lastSeen must not see the
		// time before the pause as current.
		raise(&d.resumedAt, now)
		resumed = true
	}
	raise(&d.lastSeen, now)
	return resumed
}

// ResumedAt returns the time since boot at which the last pause was found to have
// ended, or 0.
func (d *PauseDetector) ResumedAt() time.Duration { return time.Duration(d.resumedAt.Load()) }

// raise sets value to at least to.
func raise(value *atomic.Int64, to int64) {
	for {
		current := value.Load()
		if current >= to || value.CompareAndSwap(current, to) {
			return
		}
	}
}
