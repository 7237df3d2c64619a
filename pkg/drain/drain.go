// Package drain decides which requests an instance that shuts down still accepts.
package drain

import "time"

const (
	// openFraction is the fraction of a shutdown in which every request is accepted: most
	// requests take far less than their timeout, and end well before the shutdown does.
	openFraction = 0.45
	// maxOpenTime bounds that part. The users' platform accepts a request that is broken off
	// at the end of the grace period only if it was sent in the first 3 s of it.
	maxOpenTime = 2700 * time.Millisecond
)

// Plan is the schedule of one shutdown, in times since boot.
type Plan struct {
	// openUntil is when the instance stops accepting every request.
	openUntil time.Duration
	// end is when the instance breaks off the requests that are still open.
	end time.Duration
}

// NewPlan returns the plan of a shutdown that begins at a time since boot and may last for
// the given length.
func NewPlan(began, length time.Duration) *Plan {
	return &Plan{openUntil: began + min(time.Duration(openFraction*float64(length)), maxOpenTime), end: began + length}
}

// Accepts reports whether a request with this deadline may be admitted, or sent to a target,
// at the time now: at first every one, later only those that end before the shutdown does
// whatever their targets do. A nil plan accepts all.
func (p *Plan) Accepts(now, deadline time.Duration) bool {
	return p == nil || now < p.openUntil || deadline <= p.end
}
