// Package clock provides wall time and time since boot behind one interface, so that
// tests can control the time.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Clock provides wall time and elapsed time.
type Clock interface {
	// Now returns the wall time. It may jump; use it only for the expiry of a
	// batch's contract, to convert context deadlines to time since boot, and for
	// timestamps that people read.
	Now() time.Time
	// SinceBoot returns the time since an arbitrary fixed origin. It never
	// jumps back and also runs while the machine is suspended.
	SinceBoot() time.Duration
	// Sleep waits for d or until ctx ends, and returns the error of ctx.
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the clock of the operating system.
type System struct{}

// Now returns the wall time.
func (System) Now() time.Time { return time.Now() }

// SinceBoot reads CLOCK_BOOTTIME, which also counts time spent in suspension.
func (System) SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists on every Linux kernel that Go supports.
		panic(err)
	}
	return time.Duration(ts.Nano())
}

// Sleep waits for d or until ctx ends.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
