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
)

// samplers holds one sampler per event ID.
var samplers sync.Map

func (e Event) allowed() bool {
	sampler, _ := samplers.LoadOrStore(e.ID, &zerolog.BurstSampler{Burst: maxRepeats, Period: repeatPeriod})
	return sampler.(zerolog.Sampler).Sample(e.Level)
}
