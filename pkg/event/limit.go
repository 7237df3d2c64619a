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

var requestLines = &zerolog.BurstSampler{Burst: maxRequestLines, Period: time.Second}

// samplers holds one sampler per event ID.
var samplers sync.Map

// maxRequestLines bounds the lines of RequestEnded per second. A serving
// instance has about 25 requests per second.
const maxRequestLines = 300

func (e Event) allowed() bool {
	if e.ID == RequestEnded.ID {
		return requestLines.Sample(e.Level)
	}

	sampler, _ := samplers.LoadOrStore(e.ID, &zerolog.BurstSampler{Burst: maxRepeats, Period: repeatPeriod})
	return sampler.(zerolog.Sampler).Sample(e.Level)
}
