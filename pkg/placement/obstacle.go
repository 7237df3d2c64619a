package placement

import "time"

// obstacle is what keeps this instance from sending a target a request now. All ways to
// choose a target ask for it: the ordinary choice, trials, targets that are kept in use,
// tests whether a target is reached again, retries, hedges and requests that have waited.
//
// The values are in order of precedence. What only a new run of the target's process ends
// comes first, then what an operator has to end, then what lasts for a known time, then what
// may end at any moment.
type obstacle int

const (
	noObstacle obstacle = iota
	// listedDraining: the listing says that the target takes no new requests.
	listedDraining
	// announcedLeaving: the target has said so itself, to any instance.
	announcedLeaving
	// evacuated: an operator has ordered that the targets of its zone get no requests.
	evacuated
	// paused: the target has turned this instance away for a time.
	paused
	// backingOff: a connection to the target failed, or another target answered there.
	backingOff
	// overRate: the rate that the target has named leaves no request for this instance.
	overRate
	// overColdRate: the target is cold, and its service's rate for cold targets leaves no
	// request for this instance.
	overColdRate
	// full: the target has as many requests as it may have, or shed one lately.
	full
)

// String returns the name of the obstacle in dumps; it is empty for none.
func (o obstacle) String() string {
	return [...]string{"", "draining", "leaving", "evacuated", "paused", "backing_off", "over_rate", "cold", "full"}[o]
}

// excludes reports whether the target is out of use: it takes no request however few it has.
func (o obstacle) excludes() bool { return o != noObstacle && o <= backingOff }

// obstacle returns what keeps this instance from sending the target a request now, if the
// target may have loadPerSlot requests per slot before it.
func (t *target) obstacle(loadPerSlot float64, now time.Duration) obstacle {
	switch {
	case t.entry.Draining:
		return listedDraining
	case t.leaving.announced:
		return announcedLeaving
	case t.evacuated():
		return evacuated
	case now < t.pausedUntil:
		return paused
	case now < t.blockedUntil:
		return backingOff
	case t.limit.exhausted(now):
		return overRate
	case t.cold.exhausted(now):
		return overColdRate
	case now < t.fullUntil || t.load(now) >= loadPerSlot*float64(t.entry.Slots):
		return full
	}
	return noObstacle
}

const (
	// idleLoadPerSlot is the load from which a target gets no requests beyond those of
	// callers' demand: trials, and requests that keep it in use.
	idleLoadPerSlot = 1.0
	// maxLoadPerSlot is the load up to which targets take requests. Requests beyond the
	// slot count queue at the target for about one request's duration.
	maxLoadPerSlot = 1.5
)
