package clock

import "time"

// Offset is a clock whose wall time is off by the constant By. Tests use it to simulate
// clock errors.
type Offset struct {
	Clock
	By time.Duration
}

// Now returns the wall time of Clock plus By.
func (o Offset) Now() time.Time { return o.Clock.Now().Add(o.By) }
