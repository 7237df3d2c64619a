package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// The weight of a returned or cold target rises as in package balance,
	// because an instance that falls back to it must see the same load.
	slowStartTime          = 10 * time.Second
	slowStartInitialWeight = 0.1
	maxColdWeight          = 0.5
)

// targetState is one target with the number of its open requests.
type targetState struct {
	name, zone string
	slots      int
	outOfUse   bool
	standing   health.Standing
	reserved   int

	// initialLoad is the number of open requests in the first standing. It counts
	// requests from before the ledger's creation, which have no reservation.
	initialLoad    float64
	hasInitialLoad bool
}

// apply replaces the standing.
func (t *targetState) apply(s health.Standing) {
	t.standing = s
	if !t.hasInitialLoad {
		t.initialLoad, t.hasInitialLoad = float64(s.Load), true
	}
}

// remainingInitialLoad is the expected number of requests from before the ledger's
// creation that are still open. It decays exponentially with the time constant
// typicalHold; below 0.1 it counts as 0.
func (t *targetState) remainingInitialLoad(age, typicalHold time.Duration) float64 {
	left := t.initialLoad * math.Exp(-float64(age)/float64(max(typicalHold, time.Millisecond)))
	if left < 0.1 {
		return 0
	}
	return left
}

// usable reports whether the target may be assigned to a request at any load.
func (t *targetState) usable(tried []string) bool {
	switch t.standing.State {
	case peerpb.TargetState_TARGET_STATE_ACTIVE, peerpb.TargetState_TARGET_STATE_COLD:
		return !t.outOfUse && !slices.Contains(tried, t.name)
	default:
		return false
	}
}

// fullAt is the number of open requests from which the target counts as full.
func (t *targetState) fullAt(now time.Duration, queuePerSlot float64) float64 {
	return max(1, float64(t.slots)*t.weight(now)*(1+max(queuePerSlot, 0)))
}

// weight is the fraction of the target's slots that may be used now.
func (t *targetState) weight(now time.Duration) float64 {
	weight := 1.0
	if age := now - t.standing.Since; t.standing.Warming && age < slowStartTime {
		weight = slowStartInitialWeight + (1-slowStartInitialWeight)*float64(age)/float64(slowStartTime)
	}
	if t.standing.State == peerpb.TargetState_TARGET_STATE_COLD {
		weight = min(weight, maxColdWeight)
	}
	return weight
}
