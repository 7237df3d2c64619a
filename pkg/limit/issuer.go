package limit

import "time"

// lent is a loan as the lender records it.
type lent struct {
	id       uint64
	borrower string
	amount   int64
	expires  time.Duration
}

// disabled switches off single rules, so that tests show that the limits hold
// only because of each of them. Each field names the rule that it switches off.
// The zero value is used in production.
type disabled struct {
	// ceiling: open loans lower the lender's ceiling.
	ceiling bool
	// excessDrop: tokens above a ceiling that has decreased are dropped.
	excessDrop bool
	// emptyStart: a new issuer starts with an empty bucket. Without the rule it
	// starts with a full one.
	emptyStart bool
	// ttlFromRequest: the borrower counts the TTL of a loan from its request.
	// Without the rule it counts from the answer.
	ttlFromRequest bool
	// closeOnce: a repeated return of a loan is ignored. Without the rule each
	// return is credited.
	closeOnce bool
	// viewValid: an instance acts only while its fence is valid.
	viewValid bool
	// gap: versions that were not seen count as a share of 0. Without the rule
	// they have no effect.
	gap bool
	// olderVersions: older versions count until a newer one has settled. Without
	// the rule only the newest version applies.
	olderVersions bool
}

// issuer holds the tokens that this instance mints for a team and the loans that
// it has made.
type issuer struct {
	bucket bucket
	// loans holds the open loans in the order of their expiry; onLoan is the sum
	// of their amounts in millitokens.
	loans      []lent
	onLoan     int64
	lastLoanID uint64
	share      Share
	disabled   disabled
}

// advance updates the bucket and the loans to the time now, step by step from
// one change of the share or expiry of a loan to the next.
func (i *issuer) advance(h *History, team string, cache issuersByVersion, now time.Duration) {
	if i.bucket.until < h.start() {
		i.bucket.until = h.start()
	}
	for {
		share, next := h.share(team, cache, i.bucket.until)
		if i.disabled.emptyStart && i.share.Divisor == 0 && share.Divisor > 0 {
			i.bucket.millitokens = share.Ceiling()
		}
		i.share = share
		i.expireLoans(i.bucket.until)
		if len(i.loans) > 0 {
			next = min(next, i.loans[0].expires)
		}
		to := min(now, next)
		i.bucket.advance(share, i.ceiling(), max(to, i.bucket.until))
		if next > now {
			i.share, _ = h.share(team, cache, max(now, i.bucket.until))
			return
		}
	}
}

// ceiling is the number of millitokens that the bucket may hold: the ceiling of
// the share less the open loans.
func (i *issuer) ceiling() int64 {
	c := i.share.Ceiling()
	if !i.disabled.ceiling {
		c -= i.onLoan
	}
	if i.disabled.excessDrop {
		c = max(c, i.bucket.millitokens)
	}
	return c
}

func (i *issuer) expireLoans(now time.Duration) {
	for len(i.loans) > 0 && i.loans[0].expires <= now {
		i.onLoan -= i.loans[0].amount
		i.loans = i.loans[1:]
	}
}

// lend moves amount millitokens from the bucket to a new loan and returns its
// id. Ids increase and are at least the time since boot in nanoseconds.
func (i *issuer) lend(borrower string, amount int64, now, ttl time.Duration) uint64 {
	now = max(now, i.bucket.until)
	i.lastLoanID = max(i.lastLoanID+1, uint64(now))
	i.bucket.millitokens -= amount
	i.onLoan += amount
	i.loans = append(i.loans, lent{id: i.lastLoanID, borrower: borrower, amount: amount, expires: now + ttl})
	return i.lastLoanID
}

// closeLoan ends a loan before it expires. Of its amount, returned millitokens
// go back into the bucket; the rest was spent. It ignores an unknown loan, which
// has expired or was closed before.
func (i *issuer) closeLoan(from string, id uint64, returned int64) {
	for n, l := range i.loans {
		if l.id != id || l.borrower != from {
			continue
		}
		i.onLoan -= l.amount
		if !i.disabled.closeOnce {
			i.loans = append(append([]lent(nil), i.loans[:n]...), i.loans[n+1:]...)
		}
		i.bucket.millitokens += min(max(returned, 0), l.amount)
		i.bucket.millitokens = max(0, min(i.bucket.millitokens, i.ceiling()))
		return
	}
}
