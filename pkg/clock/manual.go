package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock that moves only when a test advances it.
type Manual struct {
	mu        sync.Mutex
	now       time.Time
	sinceBoot time.Duration
	// wakeTimes maps the channel of each Sleep call, closed to wake it, to the time
	// since boot at which it ends.
	wakeTimes map[chan struct{}]time.Duration
}

// NewManual returns a clock with the given wall time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, wakeTimes: map[chan struct{}]time.Duration{}}
}

// Now returns the wall time.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// SinceBoot returns the sum of all advances.
func (m *Manual) SinceBoot() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sinceBoot
}

// Advance moves the clock forward by d and ends the Sleep calls that are due.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.sinceBoot += d
	for ch, due := range m.wakeTimes {
		if due <= m.sinceBoot {
			close(ch)
			delete(m.wakeTimes, ch)
		}
	}
}

// Sleep waits until Advance has moved the clock by d, or until ctx ends.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	ch := make(chan struct{})
	m.mu.Lock()
	m.wakeTimes[ch] = m.sinceBoot + d
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		m.mu.Lock()
		delete(m.wakeTimes, ch)
		m.mu.Unlock()
		return ctx.Err()
	case <-ch:
		return nil
	}
}
