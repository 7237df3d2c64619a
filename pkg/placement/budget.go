package placement

import "time"

// The platform allows all instances together repeats of a fifth of a service's
// requests, plus a constant number per window. Each instance stays below its
// part of that by itself.
const (
	// repeatShare is the number of repeats that each request earns.
	repeatShare = 0.17
	// repeatReserve is the largest number of repeats that an instance saves up.
	repeatReserve = 4.0
	// repeatFloor is what an instance earns per second without requests.
	repeatFloor = 0.2
)

// budget bounds the repeats of one service at this instance.
type budget struct {
	level   float64
	updated time.Duration
}

func newBudget(now time.Duration) budget { return budget{level: repeatReserve / 2, updated: now} }

func (b *budget) earn(now time.Duration) {
	b.refill(now)
	b.level = min(b.level+repeatShare, repeatReserve)
}

func (b *budget) refill(now time.Duration) {
	b.level = min(b.level+repeatFloor*(now-b.updated).Seconds(), repeatReserve)
	b.updated = now
}

// has tells whether n repeats are left.
func (b *budget) has(n float64, now time.Duration) bool {
	b.refill(now)
	return b.level >= n
}

func (b *budget) spend(now time.Duration) bool {
	if !b.has(1, now) {
		return false
	}
	b.level--
	return true
}
