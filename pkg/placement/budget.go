package placement

import "time"

// The platform allows all instances together to retry a fifth of a service's
// requests, plus a constant number per window. Each instance stays below its fraction
// of that without coordination.
const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.17
	// maxSavedRetries is the largest number of unused retries in the budget of a serving
	// instance.
	maxSavedRetries = 4.0
	// retriesPerSecond is the number of retries that the budget of a serving instance
	// gains without requests.
	retriesPerSecond = 0.2
	// maxSavedByStandby is maxSavedRetries of a standby. Most instances are standbys, and
	// the constant part of the platform's bound does not grow with their number.
	maxSavedByStandby = 1.0
)

// retryBudget bounds the retries of one service at this instance, like a token bucket.
type retryBudget struct {
	// balance is the number of retries left at updatedAt (time since boot).
	balance   float64
	updatedAt time.Duration
	// serving says that this instance serves callers; it is no standby.
	serving bool
}

func newRetryBudget(now time.Duration) retryBudget {
	return retryBudget{updatedAt: now}
}

// setServing changes the constant part of the budget when the instance begins or ceases
// to serve.
func (b *retryBudget) setServing(serving bool, now time.Duration) {
	b.refill(now)
	if serving && !b.serving {
		b.balance = max(b.balance, maxSavedRetries/2)
	}
	b.serving = serving
	b.balance = min(b.balance, b.maxSaved())
}

func (b *retryBudget) maxSaved() float64 {
	if b.serving {
		return maxSavedRetries
	}
	return maxSavedByStandby
}

// earn adds the retries that one new request earns.
func (b *retryBudget) earn(now time.Duration) {
	b.refill(now)
	b.balance = min(b.balance+retriesPerRequest, b.maxSaved())
}

// refill adds the retries earned by the time that has passed.
func (b *retryBudget) refill(now time.Duration) {
	if b.serving {
		b.balance = min(b.balance+retriesPerSecond*(now-b.updatedAt).Seconds(), maxSavedRetries)
	}
	b.updatedAt = now
}

// has reports whether n retries are left.
func (b *retryBudget) has(n float64, now time.Duration) bool {
	b.refill(now)
	return b.balance >= n
}

// spend takes one retry and reports whether one was left.
func (b *retryBudget) spend(now time.Duration) bool {
	if !b.has(1, now) {
		return false
	}
	b.balance--
	return true
}
