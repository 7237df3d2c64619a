package placement

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// retryAfter is the delay after which a refused caller should retry, if nothing tells
	// when a target can take its request.
	retryAfter = 150 * time.Millisecond
	// maxLimitRetryAfter bounds the Retry-After of a request that the limits of all
	// targets leave no room for; another instance may have room earlier.
	maxLimitRetryAfter = time.Second
	// maxForcedWait bounds the wait while this instance has no share of any target's rate.
	maxForcedWait = time.Hour
)

// forcedWait is what is known of the time that a request has to wait in any case. It answers
// for what targets and the listing say, not for load: a target that is full or out of reach
// may become free or reachable at any moment.
type forcedWait struct {
	// forced is false if a target may take the request at any moment.
	forced bool
	// least is the shortest possible wait.
	least time.Duration
	// kind and retryAfter are those of the refusal of a request that cannot wait so long.
	kind       refusal.Kind
	retryAfter time.Duration
}

// exceeds reports whether a request that may wait up to a time is to be refused at once.
func (w forcedWait) exceeds(waitUntil, now time.Duration) bool {
	return w.forced && now+w.least > waitUntil
}

// forcedWait returns the wait of a request while ahead other requests wait before it. Of
// targets that pause, the first that is back counts; those that limit their rate count
// together. A target that leaves is never back, one of an evacuated zone at an unknown time,
// and one that was tried only for the next request of the caller.
func (s *service) forcedWait(tried []string, ahead int, now time.Duration) forcedWait {
	rate, tokens := 0.0, 0.0
	stated, limited, usableNext := false, false, false
	least, back, warm, unknown := maxForcedWait, maxForcedWait, maxForcedWait, retryAfter
	for _, t := range s.ordered {
		isTried := slices.Contains(tried, t.entry.ID)
		switch t.obstacle(maxLoadPerSlot, now) {
		case listedDraining, announcedLeaving:
			stated = true
			continue
		case evacuated:
			stated, unknown = true, evacuatedRetryAfter
			continue
		case paused:
			stated = true
			back = min(back, t.pausedUntil-now)
			if !isTried {
				least = min(least, t.pausedUntil-now)
			}
			continue
		}
		allowed, isLimited := t.allowance(now)
		switch {
		case isTried:
			usableNext = true
			continue
		case !isLimited:
			return forcedWait{}
		}
		limited = true
		rate += allowed.rate
		tokens += min(allowed.tokens, 1)
		warm = min(warm, allowed.until-now)
	}
	if !stated && !limited {
		return forcedWait{} // all were tried; others may be listed soon
	}
	if limited {
		wait := min(limitWait(float64(ahead+1)-tokens, rate), warm)
		least, back = min(least, wait), min(back, wait, maxLimitRetryAfter)
	}
	w := forcedWait{forced: true, least: least, kind: refusal.Overloaded, retryAfter: max(back, retryAfter)}
	switch {
	case usableNext:
		w.retryAfter = retryAfter
	case back == maxForcedWait:
		w.kind, w.retryAfter = refusal.NoTarget, unknown
	}
	return w
}

// targetAllowance is what limits leave an instance at a target: tokens now, a rate of more per
// second, and the time since boot at which the limits end, if it is known.
type targetAllowance struct {
	rate, tokens float64
	until        time.Duration
}

// allowance returns what the rate that the target has named and the one for cold targets leave
// to this instance; limited is false if neither applies. A cold target that is out of reach
// counts as not limited, since it may become usable at any moment.
func (t *target) allowance(now time.Duration) (a targetAllowance, limited bool) {
	a = targetAllowance{rate: math.Inf(1), tokens: math.Inf(1), until: now + maxForcedWait}
	if t.limit.limited {
		t.limit.refill(now)
		a.rate, a.tokens = t.limit.rate(), t.limit.tokens
	}
	if t.cold.limited(now) && !t.cold.unreachable {
		t.cold.refill(now)
		if !t.limit.limited && !t.cold.unsure {
			a.until = t.cold.until
		}
		a.rate, a.tokens = min(a.rate, t.cold.rate(now)), min(a.tokens, t.cold.tokens)
	}
	return a, !math.IsInf(a.rate, 1)
}

// limitWait returns the time in which a rate of requests per second allows the missing ones.
func limitWait(missing, rate float64) time.Duration {
	switch seconds := missing / rate; {
	case missing <= 0:
		return 0
	case seconds > maxForcedWait.Seconds():
		return maxForcedWait
	default:
		return time.Duration(seconds * float64(time.Second))
	}
}

// refuse returns a refusal with the service's counts as its cause. The caller should
// return after the given time.
func (b *Balancer) refuse(kind refusal.Kind, s *service, tried []string, waited, after time.Duration) error {
	cause := &NoTargetError{Service: s.name, Listed: len(s.ordered), Tried: len(tried), Waited: waited}
	now := b.clock.SinceBoot()
	for _, t := range s.ordered {
		switch t.obstacle(maxLoadPerSlot, now) {
		case listedDraining, announcedLeaving:
			cause.Leaving++
		case evacuated:
			cause.Evacuated++
		case paused:
			cause.Paused++
		}
	}
	return errors.WithStack(&refusal.Refusal{Kind: kind, RetryAfter: after, Cause: cause})
}
