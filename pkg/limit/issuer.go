package limit

import "time"

// lent is a loan as the lender records it.
type lent struct {
	id      uint64
	to      string
	amount  int64
	expires time.Duration
}

// disabled switches single mechanisms off, so that tests show that the
// invariant depends on each of them. The zero value is the product.
type disabled struct {
	// ceiling keeps the lender's ceiling unchanged while tokens are on loan.
	ceiling bool
	// excess keeps tokens above a ceiling that shrank.
	excess bool
	// empty starts a new issuer full.
	empty bool
	// borrowerLife lets the borrower count a loan's life from the answer.
	borrowerLife bool
	// once credits every return, also repeated ones.
	once bool
	// fresh lets an instance act without a fresh fence.
	fresh bool
	// gap gives versions that were not seen no effect.
	gap bool
	// older applies only the newest version.
	older bool
}

// issuer is the issuing part of a team's pool: minted tokens and loans made.
type issuer struct {
	bucket   bucket
	loans    []lent
	onLoan   int64
	lastID   uint64
	share    Share
	disabled disabled
}

// advance brings the issuer to the time now through every change of its share
// and every expiry of a loan in between.
func (i *issuer) advance(h *History, team string, cache ranks, now time.Duration) {
	if i.bucket.at < h.start() {
		i.bucket.at = h.start()
	}
	for {
		share, next := h.share(team, cache, i.bucket.at)
		if i.disabled.empty && i.share.Parts == 0 && share.Parts > 0 {
			i.bucket.tokens = share.Ceiling()
		}
		i.share = share
		i.expire(i.bucket.at)
		if len(i.loans) > 0 {
			next = min(next, i.loans[0].expires)
		}
		to := min(now, next)
		i.bucket.advance(share, i.ceiling(), max(to, i.bucket.at))
		if next > now {
			i.share, _ = h.share(team, cache, max(now, i.bucket.at))
			return
		}
	}
}

// ceiling is what the bucket may hold while loans are open.
func (i *issuer) ceiling() int64 {
	c := i.share.Ceiling()
	if !i.disabled.ceiling {
		c -= i.onLoan
	}
	if i.disabled.excess {
		c = max(c, i.bucket.tokens)
	}
	return c
}

func (i *issuer) expire(now time.Duration) {
	for len(i.loans) > 0 && i.loans[0].expires <= now {
		i.onLoan -= i.loans[0].amount
		i.loans = i.loans[1:]
	}
}

// lend moves amount thousandths from the bucket to a loan and returns its id.
func (i *issuer) lend(to string, amount int64, now, life time.Duration) uint64 {
	now = max(now, i.bucket.at)
	i.lastID = max(i.lastID+1, uint64(now))
	i.bucket.tokens -= amount
	i.onLoan += amount
	i.loans = append(i.loans, lent{id: i.lastID, to: to, amount: amount, expires: now + life})
	return i.lastID
}

// closeLoan ends a loan early. Of its amount, returned goes back into the
// bucket; the rest was spent. An unknown loan has expired or was closed before.
func (i *issuer) closeLoan(from string, id uint64, returned int64) {
	for n, l := range i.loans {
		if l.id != id || l.to != from {
			continue
		}
		i.onLoan -= l.amount
		if !i.disabled.once {
			i.loans = append(append([]lent(nil), i.loans[:n]...), i.loans[n+1:]...)
		}
		i.bucket.tokens += min(max(returned, 0), l.amount)
		i.bucket.tokens = max(0, min(i.bucket.tokens, i.ceiling()))
		return
	}
}
