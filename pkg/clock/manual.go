package clock

import (
	"context"
	"sync"
	"time"
)

// Manual is a clock that moves only when a test advances it.
type Manual struct {
	mu       sync.Mutex
	now      time.Time
	boot     time.Duration
	sleepers map[chan struct{}]time.Duration
}

// NewManual returns a clock that stands at the given wall time.
func NewManual(now time.Time) *Manual {
	return &Manual{now: now, sleepers: map[chan struct{}]time.Duration{}}
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
	return m.boot
}

// Advance moves the clock and wakes the sleepers whose time has come.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
	m.boot += d
	for ch, due := range m.sleepers {
		if due <= m.boot {
			close(ch)
			delete(m.sleepers, ch)
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
	m.sleepers[ch] = m.boot + d
	m.mu.Unlock()
	select {
	case <-ctx.Done():
		m.mu.Lock()
		delete(m.sleepers, ch)
		m.mu.Unlock()
		return ctx.Err()
	case <-ch:
		return nil
	}
}
