package clock

import "time"

// Offset is a clock whose wall time is wrong by the constant By. It serves tests with
// wrong clocks.
type Offset struct {
	Clock
	By time.Duration
}

// Now returns the wrong wall time.
func (o Offset) Now() time.Time { return o.Clock.Now().Add(o.By) }
