// Package allowance keeps what several instances spend together below a bound for each
// sliding window, without a count that they would have to agree on. It answers for a fleet in
// which demand is uneven between instances and any two of them may be cut off at any time.
//
// Each instance has an account. The account earns a ratio of the requests that the instance
// received itself and holds a fixed share of a constant. The bound is additive, so the
// instances keep it together when each of them keeps it alone. An instance lends what it
// does not need to one that asks; a loan is deducted at the lender for as long as the
// borrower can have spent it within a window, whether it arrives or not.
package allowance

import "time"

const (
	// bucketsPerWindow is the resolution of an account: counts are kept for hundredths of a
	// window, and a bucket that is only partly in a window counts against the account.
	bucketsPerWindow = 100
	// halfWindow is half a window in buckets.
	halfWindow = bucketsPerWindow / 2
	// currentWeight is the weight of the requests in the window itself; those of the
	// window that began half a window earlier have the rest. The same weights hold at all
	// instances: the larger one of two windows would not be additive. The later window gives a
	// new instance credit at once, the earlier one lets an instance spend a quarter
	// of a window's credit at one time.
	currentWeight = 0.5
	// arrivalMargin is the number of buckets by which requests may be counted after they
	// were sent: bodies and connections take time.
	arrivalMargin = 1
	// shareHoldWindows is the number of windows after which a larger fixed share counts: what
	// was spent of the share at another instance must have left the window, and that
	// instance may have learned later that its share is smaller.
	shareHoldWindows = 2
	// MaxTransit is the longest time between the grant of a unit and its use, such as the
	// arrival of a retry at a target: a retry may wait for capacity.
	MaxTransit = 500 * time.Millisecond
	// LoanTime is how long a borrower may spend a loan, counted from its ask. An ask
	// and its answer take up to one heartbeat interval between zones each (500 ms).
	LoanTime = 2 * time.Second
)

// historyBuckets is the number of buckets that an account keeps: a window, half a window,
// and the current bucket.
const historyBuckets = bucketsPerWindow + halfWindow + 1

// Rule is the bound that the accounts of all instances keep together: in each window, at
// most Ratio x requests + Constant units, where the requests are the mean of those in the
// window and of those in the window that began half a window earlier.
type Rule struct {
	Ratio    float64
	Window   time.Duration
	Constant float64
}

// Account is an instance's part of a rule. It is not safe for concurrent use; times are
// times since boot and must not decrease.
type Account struct {
	rule Rule
	// transit and loan are MaxTransit and LoanTime in buckets.
	transit, loan int
	// current is the number of the newest bucket since boot. Slot number%len of each ring
	// belongs to a bucket.
	current int64
	// requests counts the requests, spent the units spent from this account and
	// lent those lent from it.
	requests, spent, lent ring
	fixed                 fixedShare
	// sums is lowest's buffer.
	sums cumulated
	loans
}

// New returns an account without credit: what an earlier process of the instance has spent
// is not known.
func New(rule Rule, now time.Duration) *Account {
	bucket := rule.Window / bucketsPerWindow
	transit, loan := buckets(MaxTransit, bucket), buckets(LoanTime, bucket)
	size := historyBuckets + transit + loan
	a := &Account{
		rule: rule, transit: transit, loan: loan, current: int64(now / bucket),
		requests: make(ring, size), spent: make(ring, size), lent: make(ring, size),
	}
	a.sums = cumulated{make(cumulatedCounts, size+1), make(cumulatedCounts, size+1), make(cumulatedCounts, size+1)}
	a.fixed.hold = shareHoldWindows * rule.Window
	return a
}

// buckets returns the number of buckets that cover d.
func buckets(d, bucket time.Duration) int { return int((d + bucket - 1) / bucket) }

// ring holds a count for each of the last buckets.
type ring []float64

func (r ring) at(bucket int64) *float64 { return &r[bucket%int64(len(r))] }

// advance empties the buckets that begin until now.
func (a *Account) advance(now time.Duration) {
	bucket := int64(now / (a.rule.Window / bucketsPerWindow))
	size := int64(len(a.spent))
	for a.current = max(a.current, bucket-size); a.current < bucket; {
		a.current++
		*a.requests.at(a.current), *a.spent.at(a.current), *a.lent.at(a.current) = 0, 0, 0
	}
}

// AddRequest counts a request that this instance received.
func (a *Account) AddRequest(now time.Duration) {
	a.advance(now)
	*a.requests.at(a.current)++
}

// LeastEarned returns the units per second that the account earns in any case while requests
// arrive at the given rate, and for how long it may earn no more: the account gives a part of
// a window's credit early, and earns less in the rest of the window.
func (a *Account) LeastEarned(requestsPerSecond float64) (perSecond float64, duration time.Duration) {
	return currentWeight * a.rule.Ratio * requestsPerSecond, a.rule.Window / 2
}

// SetShare sets the fraction of the rule's constant that belongs to this instance. The
// fractions of all instances add up to at most 1 at any time. Less counts at once, more
// after the time in which another instance may still spend it.
func (a *Account) SetShare(share float64, now time.Duration) { a.fixed.set(share, now) }

// Level returns the number of units that the account has, and its capacity: the units that
// it would have if none had been spent.
func (a *Account) Level(now time.Duration) (level, capacity float64) {
	a.advance(now)
	level, capacity = a.lowest(bucketsPerWindow + a.transit)
	borrowed := a.borrowed(now)
	return max(level, 0) + borrowed, capacity + borrowed
}

// Lendable returns the number of units that the account can lend.
func (a *Account) Lendable(now time.Duration) float64 {
	a.advance(now)
	level, _ := a.lowest(bucketsPerWindow + a.transit + a.loan)
	return max(level, 0)
}

// Spend takes one unit and reports whether there was one. Borrowed units go first.
func (a *Account) Spend(now time.Duration) bool {
	if level, _ := a.Level(now); level < 1 {
		return false
	}
	*a.spent.at(a.current) += 1 - a.spendBorrowed(1, now)
	return true
}

// Lend lends up to the given number of units for an ask of another instance, once for each
// ask, and returns what it lent.
func (a *Account) Lend(ask uint64, units float64, now time.Duration) float64 {
	if a.hasAnswered(ask, now) {
		return 0
	}
	units = min(units, a.Lendable(now))
	if units < minLoan {
		return 0
	}
	*a.lent.at(a.current) += units
	a.recordLoan(ask, units, now)
	return units
}

// lowest returns the lowest level over all windows that end up to the given number of
// buckets from now on: a unit that is spent now counts in each of them, and the requests that
// will be in them are known only so far. It also returns the lowest level without what was
// spent and lent.
func (a *Account) lowest(horizon int) (level, capacity float64) {
	sums := &a.sums
	sums.fill(a)
	for u := 0; u <= horizon; u++ {
		// The windows end in the bucket u after the current one. Ages are those of buckets
		// before the current one.
		oldest := bucketsPerWindow - u
		current := sums.requests.between(oldest-1-arrivalMargin, 0)
		earlier := sums.requests.between(oldest+halfWindow-1-arrivalMargin, halfWindow-u+1)
		earned := a.rule.Ratio*(currentWeight*current+(1-currentWeight)*earlier) + a.fixed.value*a.rule.Constant
		used := sums.spent.between(oldest+a.transit, 0) + sums.lent.between(oldest+a.transit+a.loan, 0)
		if u == 0 || earned-used < level {
			level = earned - used
		}
		if u == 0 || earned < capacity {
			capacity = earned
		}
	}
	return level, capacity
}

// MinWindow is the shortest window of a rule: MaxTransit and LoanTime are 250 of its buckets
// then, and an account keeps 401.
const MinWindow = time.Second

// cumulated holds, for each age in buckets, the sums of the counts up to that age.
type cumulated struct{ requests, spent, lent cumulatedCounts }

// cumulatedCounts has the sum of the counts of the n newest buckets at n.
type cumulatedCounts []float64

func (c *cumulated) fill(a *Account) {
	c.requests.fill(a.requests, a.current)
	c.spent.fill(a.spent, a.current)
	c.lent.fill(a.lent, a.current)
}

func (c cumulatedCounts) fill(r ring, current int64) {
	slot := int(current % int64(len(r)))
	for age := range r {
		c[age+1] = c[age] + r[slot]
		if slot--; slot < 0 {
			slot = len(r) - 1
		}
	}
}

// between returns the sum of the counts of the ages from newest to oldest, both included.
func (c cumulatedCounts) between(oldest, newest int) float64 {
	oldest, newest = min(oldest, len(c)-2), max(newest, 0)
	if oldest < newest {
		return 0
	}
	return c[oldest+1] - c[newest]
}

// fixedShare is an instance's share of a rule's constant.
type fixedShare struct {
	value float64
	// hold is the time after which a larger share counts. next is the smallest share since
	// raisedAt that was larger than value.
	hold, raisedAt time.Duration
	next           float64
	raising        bool
}

func (f *fixedShare) set(share float64, now time.Duration) {
	switch {
	case share <= f.value:
		f.value, f.raising = share, false
	case !f.raising:
		f.raising, f.raisedAt, f.next = true, now, share
	default:
		f.next = min(f.next, share)
		if now-f.raisedAt >= f.hold {
			f.value, f.raising = f.next, false
		}
	}
}
