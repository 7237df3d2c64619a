package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// A returned or cold target reaches its full weight as in package balance,
	// because an instance that falls back must see the same load.
	slowStart     = 10 * time.Second
	slowStartFrom = 0.1
	coldWeight    = 0.5
)

// slots is one target with the requests that it has.
type slots struct {
	name, zone string
	slots      int
	leaving    bool
	standing   health.Standing
	reserved   int

	// initial is the load that the first report named.
	initial    float64
	hasInitial bool
}

// apply takes a new standing.
func (t *slots) apply(s health.Standing) {
	t.standing = s
	if !t.hasInitial {
		t.initial, t.hasInitial = float64(s.Load), true
	}
}

// atStart is the part of the load before the dispatcher's start that is
// likely to be there still.
func (t *slots) atStart(age, hold time.Duration) float64 {
	left := t.initial * math.Exp(-float64(age)/float64(max(hold, time.Millisecond)))
	if left < 0.1 {
		return 0
	}
	return left
}

// takes tells whether the target may be given at all.
func (t *slots) takes(tried []string) bool {
	switch t.standing.State {
	case peerpb.TargetState_TARGET_STATE_ACTIVE, peerpb.TargetState_TARGET_STATE_COLD:
		return !t.leaving && !slices.Contains(tried, t.name)
	default:
		return false
	}
}

// limit is the number of requests from which the target counts as full.
func (t *slots) limit(now time.Duration, queuePerSlot float64) float64 {
	return max(1, float64(t.slots)*t.weight(now)*(1+max(queuePerSlot, 0)))
}

func (t *slots) weight(now time.Duration) float64 {
	weight := 1.0
	if age := now - t.standing.Since; t.standing.Warming && age < slowStart {
		weight = slowStartFrom + (1-slowStartFrom)*float64(age)/float64(slowStart)
	}
	if t.standing.State == peerpb.TargetState_TARGET_STATE_COLD {
		weight = min(weight, coldWeight)
	}
	return weight
}
