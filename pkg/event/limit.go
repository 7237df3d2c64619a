package event

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Repeats of one event beyond maxRepeats in one repeatPeriod are left out, so
// that a lasting fault does not flood the log.
const (
	maxRepeats   = 20
	repeatPeriod = 10 * time.Second
	// maxRequestLines per repeatPeriod is twelve times the usual load of a
	// serving instance, which is about 25 requests per second.
	maxRequestLines = 3000
	// maxTargetLines per repeatPeriod tells every target of a large listing once.
	maxTargetLines = 400
)

// repeats returns how many lines of the event a repeatPeriod may have.
func (e Event) repeats() uint32 {
	switch e.ID {
	case RequestEnded.ID:
		return maxRequestLines
	case TargetListed.ID, TargetGone.ID, TargetSuspected.ID, TargetTrusted.ID:
		return maxTargetLines
	default:
		return maxRepeats
	}
}

// samplers holds one sampler per event ID.
var samplers sync.Map

func (e Event) allowed() bool {
	sampler, _ := samplers.LoadOrStore(e.ID, &zerolog.BurstSampler{Burst: e.repeats(), Period: repeatPeriod})
	return sampler.(zerolog.Sampler).Sample(e.Level)
}
