package event

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// WriteInterval is the time between two writes of an instance to its log, so that one write
// carries many lines. A line comes up to this much after what it tells.
const WriteInterval = 200 * time.Millisecond

// The number of log lines of each event in one limitPeriod is limited, so that a
// persistent failure does not flood the log. Further lines are dropped.
const (
	// defaultMaxLines applies to events without a limit of their own.
	defaultMaxLines = 20
	limitPeriod     = 10 * time.Second
	// maxRequestLines applies to RequestEnded. It allows twelve times the typical load
	// of a serving instance, which is about 25 requests per second.
	maxRequestLines = 3000
	// maxTargetLines applies to events about single targets. It is enough to log
	// every target of a large listing once.
	maxTargetLines = 400
)

// maxLines returns the maximum number of lines of the event in one limitPeriod.
func (e Event) maxLines() uint32 {
	switch e.ID {
	case RequestEnded.ID:
		return maxRequestLines
	case TargetListed.ID, TargetGone.ID, TargetRetained.ID, TargetSuspected.ID, TargetTrusted.ID, TargetLimitNamed.ID, TargetLimitEnded.ID,
		TargetUnreached.ID, TargetReached.ID, TargetEnded.ID, TargetLeaving.ID, TargetPaused.ID, ProbeMalformed.ID:
		return maxTargetLines
	default:
		return defaultMaxLines
	}
}

// samplers maps the ID of each event that was logged to its zerolog.Sampler.
var samplers sync.Map

// allowed reports whether one more line of the event may be logged, and counts it.
func (e Event) allowed() bool {
	sampler, _ := samplers.LoadOrStore(e.ID, &zerolog.BurstSampler{Burst: e.maxLines(), Period: limitPeriod})
	return sampler.(zerolog.Sampler).Sample(e.Level)
}
