package placement

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// Targets reject requests by chance or for load. Load shows in the load that a target
// reports with the rejection, and in all targets alike; then a retry only adds to it. A
// rejection by chance says nothing of the next target, so a second and a third one may be
// tried.
const (
	// shedDecay is the time constant of the counts of rejections.
	shedDecay = 2 * time.Second
	// loadShedRatio is the fraction of the recent rejections for load from which load
	// is the cause. At a target that rejects by chance, all slots are taken now and then.
	loadShedRatio = 0.5
	// fullTargetRatio is the fraction of the targets with known load that have all slots
	// taken from which all of them count as loaded. Where fewer do, a retry finds a free
	// slot.
	fullTargetRatio = 0.7
	// minLoadKnown is the number of targets whose load must be known; below it, the
	// rejections alone decide.
	minLoadKnown = 2
	// loadKnownTime is the age up to which the load that a target reported counts.
	loadKnownTime = time.Second
)

// shedding tells why targets reject requests.
type shedding struct {
	// sheds counts the recent rejections, and as failures those for load.
	sheds decayingCounts
}

// add counts a rejection by the target with the load that it reported.
func (c *shedding) add(t *target, load proxy.Load, now time.Duration) {
	full := len(t.openStarts) >= t.entry.Slots
	if load.Known {
		full = load.InFlight+load.Queued >= t.entry.Slots
	}
	c.sheds.add(full, shedDecay, now)
}

// byLoad reports whether the targets reject for load: most recent rejections were for load
// and most targets have no free slot.
func (c *shedding) byLoad(targets []*target, now time.Duration) bool {
	if c.sheds.failureRatio(1, shedDecay, now) < loadShedRatio {
		return false
	}
	known, full := 0, 0
	for _, t := range targets {
		if now-t.loadAt >= loadKnownTime || t.obstacle(maxLoadPerSlot, now).excludes() {
			continue
		}
		known++
		if t.lastLoad >= t.entry.Slots {
			full++
		}
	}
	return known < minLoadKnown || float64(full) >= fullTargetRatio*float64(known)
}
