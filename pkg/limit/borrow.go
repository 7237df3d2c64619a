package limit

import "time"

// Times and limits of the borrower.
const (
	// minRetryPause is the minimum time before one pool asks the same empty
	// issuer again, and the minimum time until the pool is polled for that or
	// for the return of a loan.
	minRetryPause = 2 * time.Millisecond
	// maxRetryPause is the maximum time before a pool asks an issuer again that
	// expects to be empty for longer.
	maxRetryPause = 50 * time.Millisecond
	// overloadTime is how long a pool that refused a request asks for whole
	// tokens only. With fractions, at a load of five times the rate, many
	// borrowers held half tokens that admitted no request.
	overloadTime = 5 * time.Second
	// retriesPerRemainingWait is the number of times that a pool asks an empty
	// issuer again in the remaining wait of its oldest request.
	retriesPerRemainingWait = 16
	// minLoanHoldTime is the time after its receipt for which a borrower keeps a
	// loan that it does not need.
	minLoanHoldTime = 20 * time.Millisecond
)

// BorrowMessage is one Borrow request to the member To. With Millitokens 0 it asks for
// no tokens and only closes the loan ReturnedLoan.
type BorrowMessage struct {
	// To is the incarnation of the issuer.
	To                  string
	Millitokens         int64
	ReturnedMillitokens int64
	ReturnedLoan        uint64
	// CreatedAt is when the message was created; the borrower's TTL of a loan
	// counts from it.
	CreatedAt time.Duration
}

// Reply is the answer to a BorrowMessage.
type Reply struct {
	Loan        uint64
	Millitokens int64
	// TTL is how long the borrower may use the loan, from BorrowMessage.CreatedAt.
	TTL time.Duration
	// Issuer tells that the answering instance issues tokens for the team.
	Issuer bool
	// RetryAfter is when the lender expects to have a token for the borrower,
	// from the reply.
	RetryAfter time.Duration
}

// borrowed is a loan as the borrower records it.
type borrowed struct {
	lender     string
	id         uint64
	unspent    int64
	expires    time.Duration
	receivedAt time.Duration
}

// borrow is a request for tokens that the issuer has not answered yet.
type borrow struct {
	amount  int64
	askedAt time.Duration
}

// lenderState is what the borrower remembers of an issuer: it does not ask the
// issuer again before nextAskAt.
type lenderState struct{ nextAskAt time.Duration }

// wantedMillitokens is the number of millitokens to hold for waiting and for
// future requests.
func (p *Pool) wantedMillitokens(now time.Duration) int64 {
	return int64(len(p.waiters))*Millitoken + p.prefetchMillitokens(now)
}

// messages returns the messages that ask issuers for the missing tokens and
// close finished loans. A message that asks a lender for tokens also closes one
// of its loans; further loans are closed by messages of their own. Issuers that
// have not replied within BorrowTimeout count as unresponsive.
func (p *Pool) messages(now time.Duration, viewValid bool) []BorrowMessage {
	var out []BorrowMessage
	missing := p.wantedMillitokens(now) - p.available()
	for id, pending := range p.pendingBorrows {
		if now-pending.askedAt >= p.params.BorrowTimeout {
			delete(p.pendingBorrows, id)
			p.lenders[id] = &lenderState{nextAskAt: now + p.params.UnresponsivePause}
			continue
		}
		missing -= pending.amount
	}
	if viewValid && (missing >= Millitoken || missing > 0 && len(p.waiters) > 0) {
		out = p.borrow(now, missing)
	}
	for _, c := range p.unsentReturns {
		c.CreatedAt = now
		attached := false
		for i := range out {
			if out[i].To == c.To && out[i].ReturnedLoan == 0 {
				out[i].ReturnedLoan, out[i].ReturnedMillitokens, attached = c.ReturnedLoan, c.ReturnedMillitokens, true
				break
			}
		}
		if !attached {
			out = append(out, c)
		}
	}
	p.unsentReturns = nil
	return out
}

// borrow selects issuers in turn and asks each for a part of the missing
// millitokens.
func (p *Pool) borrow(now time.Duration, missing int64) []BorrowMessage {
	var out []BorrowMessage
	issuers := p.issuers()
	for range issuers {
		if missing <= 0 || len(p.pendingBorrows) >= p.params.MaxParallelBorrows {
			break
		}
		p.lastIssuerIndex = (p.lastIssuerIndex + 1) % len(issuers)
		id := issuers[p.lastIssuerIndex].Incarnation
		if l := p.lenders[id]; id == p.history.self || p.pendingBorrows[id] != nil || l != nil && l.nextAskAt > now {
			continue
		}
		amount := p.borrowAmount(now, missing, len(issuers))
		p.pendingBorrows[id] = &borrow{amount: amount, askedAt: now}
		out = append(out, BorrowMessage{To: id, Millitokens: amount, CreatedAt: now})
		missing -= amount
	}
	return out
}

// Reply handles the answer r to the message m; ok is false when the call failed.
// The caller must call Poll next.
func (p *Pool) Reply(now time.Duration, m BorrowMessage, r Reply, ok bool) {
	if pending := p.pendingBorrows[m.To]; pending != nil && pending.askedAt == m.CreatedAt && m.Millitokens > 0 {
		delete(p.pendingBorrows, m.To)
	}
	if !ok {
		p.lenders[m.To] = &lenderState{nextAskAt: now + p.params.UnresponsivePause}
		return
	}
	if r.Issuer {
		p.lastIssuerReply = now
	}
	if m.Millitokens > 0 {
		p.lenders[m.To] = &lenderState{}
		if r.Millitokens < m.Millitokens {
			p.lenders[m.To].nextAskAt = now + max(minRetryPause, min(r.RetryAfter, maxRetryPause, p.retryPauseLimit(now)))
		}
	}
	if p.issuer.disabled.ttlFromRequest {
		m.CreatedAt = now
	}
	if r.Millitokens > 0 && m.CreatedAt+r.TTL > now {
		p.borrowed = append(p.borrowed, borrowed{
			lender: m.To, id: r.Loan, unspent: r.Millitokens, expires: m.CreatedAt + r.TTL, receivedAt: now,
		})
	}
}

// retryPauseLimit shortens the retry pauses of a pool whose oldest request is
// close to its deadline, so that it asks more often than pools with new
// requests.
func (p *Pool) retryPauseLimit(now time.Duration) time.Duration {
	if len(p.waiters) == 0 {
		return maxRetryPause
	}
	return (p.waiters[0].deadline - now) / retriesPerRemainingWait
}

// returnUnusedLoans returns borrowed loans that the pool does not need. It keeps
// each for at least minLoanHoldTime after its receipt.
func (p *Pool) returnUnusedLoans(now time.Duration) {
	surplus := p.available() - p.wantedMillitokens(now)
	kept := p.borrowed[:0]
	for _, loan := range p.borrowed {
		if now-loan.receivedAt < minLoanHoldTime || surplus < loan.unspent {
			kept = append(kept, loan)
			continue
		}
		surplus -= loan.unspent
		p.unsentReturns = append(p.unsentReturns, BorrowMessage{To: loan.lender, ReturnedLoan: loan.id, ReturnedMillitokens: loan.unspent})
	}
	p.borrowed = kept
}

// Lend answers the Borrow request m of the member with the incarnation from: it
// closes the loan that m returns and lends tokens if this instance is an issuer
// with tokens to spare.
func (p *Pool) Lend(now time.Duration, viewValid bool, from string, m BorrowMessage) Reply {
	p.advance(now)
	if m.ReturnedLoan != 0 {
		p.issuer.closeLoan(from, m.ReturnedLoan, m.ReturnedMillitokens)
	}
	if !viewValid || p.issuer.share.Divisor == 0 {
		return Reply{}
	}
	r := Reply{Issuer: true}
	if m.Millitokens <= 0 {
		return r
	}
	p.lastUsed = now
	spare := max(0, p.issuer.bucket.millitokens-int64(len(p.waiters))*Millitoken)
	amount := p.lendable(m.Millitokens, spare)
	if amount > 0 {
		r.Loan = p.issuer.lend(from, amount, now, p.params.LenderTTL)
		r.Millitokens, r.TTL = amount, p.params.BorrowerTTL
	}
	r.RetryAfter = mintTime(p.issuer.share, firstTokenAmount(m.Millitokens)-spare)
	return r
}

// firstTokenAmount is the number of millitokens that completes the borrower's
// next whole token if it asks for asked millitokens. Whatever it asks for beyond
// that is a number of whole tokens.
func firstTokenAmount(asked int64) int64 { return (asked-1)%Millitoken + 1 }

// lendable is the largest amount up to spare and asked that completes whole
// tokens of the borrower, or 0. Other amounts would leave fractions at many
// borrowers that admit no request.
func (p *Pool) lendable(asked, spare int64) int64 {
	if amount := firstTokenAmount(asked); spare >= amount {
		return min(asked, amount+(spare-amount)/Millitoken*Millitoken)
	}
	return 0
}
