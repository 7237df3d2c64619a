package limit

import "time"

// Pauses of the borrower.
const (
	// minPause bounds how often one pool asks the same empty issuer.
	minPause = 2 * time.Millisecond
	// maxPause bounds the wait for an issuer that expects to be empty for long.
	maxPause = 50 * time.Millisecond
	// overloadTime is how long a pool that refused a request asks for whole
	// tokens only. At five times the rate, half tokens stood at many borrowers.
	overloadTime = 5 * time.Second
	// patienceParts is the number of attempts in the rest of a request's wait.
	patienceParts = 16
	// giveBackAfter is how long a borrowed token may stay unused.
	giveBackAfter = 20 * time.Millisecond
)

// Message is one Borrow request to the member To. Millitokens of 0 asks for
// nothing and only closes a loan.
type Message struct {
	// To is an incarnation.
	To                  string
	Millitokens         int64
	ReturnedMillitokens int64
	ReturnedLoan        uint64
	// Asked is when the message was made; the life of a loan counts from it.
	Asked time.Duration
}

// Reply is the answer to a Message.
type Reply struct {
	Loan        uint64
	Millitokens int64
	// Life is how long the borrower may use the loan from when it asked.
	Life   time.Duration
	Issuer bool
	// Retry is when the lender expects to have a token, counted from the answer.
	Retry time.Duration
}

// held is a loan as the borrower records it.
type held struct {
	from     string
	loan     uint64
	left     int64
	expires  time.Duration
	idleFrom time.Duration
}

// ask is a request for tokens without an answer yet.
type ask struct {
	amount int64
	asked  time.Duration
}

// lender is what the borrower remembers of an issuer.
type lender struct{ notBefore time.Duration }

// wanted is the number of thousandths to hold: for the waiting requests and ahead of demand.
func (p *Pool) wanted(now time.Duration) int64 {
	return int64(len(p.waiters))*Millitoken + p.ahead(now)
}

// messages asks issuers for what is missing and closes finished loans, each
// with the next message to its lender.
func (p *Pool) messages(now time.Duration, fresh bool) []Message {
	var out []Message
	missing := p.wanted(now) - p.available()
	for id, a := range p.asks {
		if now-a.asked >= p.params.AskTimeout {
			delete(p.asks, id)
			p.peers[id] = &lender{notBefore: now + p.params.Silence}
			continue
		}
		missing -= a.amount
	}
	if fresh && (missing >= Millitoken || missing > 0 && len(p.waiters) > 0) {
		out = p.ask(now, missing)
	}
	for _, c := range p.closing {
		c.Asked = now
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
	p.closing = nil
	return out
}

func (p *Pool) ask(now time.Duration, missing int64) []Message {
	var out []Message
	issuers := p.issuers()
	for range issuers {
		if missing <= 0 || len(p.asks) >= p.params.Parallel {
			break
		}
		p.rotation = (p.rotation + 1) % len(issuers)
		id := issuers[p.rotation].Incarnation
		if l := p.peers[id]; id == p.history.self || p.asks[id] != nil || l != nil && l.notBefore > now {
			continue
		}
		amount := p.portion(now, missing, len(issuers))
		p.asks[id] = &ask{amount: amount, asked: now}
		out = append(out, Message{To: id, Millitokens: amount, Asked: now})
		missing -= amount
	}
	return out
}

// Reply brings the answer to m; ok is false when the call failed. Poll must follow.
func (p *Pool) Reply(now time.Duration, m Message, r Reply, ok bool) {
	if a := p.asks[m.To]; a != nil && a.asked == m.Asked && m.Millitokens > 0 {
		delete(p.asks, m.To)
	}
	if !ok {
		p.peers[m.To] = &lender{notBefore: now + p.params.Silence}
		return
	}
	if r.Issuer {
		p.lastReply = now
	}
	if m.Millitokens > 0 {
		p.peers[m.To] = &lender{}
		if r.Millitokens < m.Millitokens {
			p.peers[m.To].notBefore = now + max(minPause, min(r.Retry, maxPause, p.patience(now)))
		}
	}
	if p.issuer.disabled.borrowerLife {
		m.Asked = now
	}
	if r.Millitokens > 0 && m.Asked+r.Life > now {
		p.held = append(p.held, held{
			from: m.To, loan: r.Loan, left: r.Millitokens, expires: m.Asked + r.Life, idleFrom: now,
		})
	}
}

// patience shortens the pauses of a pool whose oldest request has waited long,
// so that it competes harder than pools with new requests.
func (p *Pool) patience(now time.Duration) time.Duration {
	if len(p.waiters) == 0 {
		return maxPause
	}
	return (p.waiters[0].deadline - now) / patienceParts
}

// giveBack returns borrowed tokens that nothing has needed for a while.
func (p *Pool) giveBack(now time.Duration) {
	surplus := p.available() - p.wanted(now)
	kept := p.held[:0]
	for _, h := range p.held {
		if now-h.idleFrom < giveBackAfter || surplus < h.left {
			kept = append(kept, h)
			continue
		}
		surplus -= h.left
		p.closing = append(p.closing, Message{To: h.from, ReturnedLoan: h.loan, ReturnedMillitokens: h.left})
	}
	p.held = kept
}

// Lend answers the request m of the member from.
func (p *Pool) Lend(now time.Duration, fresh bool, from string, m Message) Reply {
	p.advance(now)
	if m.ReturnedLoan != 0 {
		p.issuer.closeLoan(from, m.ReturnedLoan, m.ReturnedMillitokens)
	}
	if !fresh || p.issuer.share.Parts == 0 {
		return Reply{}
	}
	r := Reply{Issuer: true}
	if m.Millitokens <= 0 {
		return r
	}
	p.used = now
	spare := max(0, p.issuer.bucket.tokens-int64(len(p.waiters))*Millitoken)
	amount := p.lendable(m.Millitokens, spare)
	if amount > 0 {
		r.Loan = p.issuer.lend(from, amount, now, p.params.LoanLife)
		r.Millitokens, r.Life = amount, p.params.BorrowerLife
	}
	r.Retry = timeFor(p.issuer.share, first(m.Millitokens)-spare)
	return r
}

// first is the part of an asked amount that completes the borrower's next whole token.
func first(asked int64) int64 { return (asked-1)%Millitoken + 1 }

// lendable is the part of spare that completes whole tokens of the borrower.
// Fractions would wait at many borrowers while none can admit a request.
func (p *Pool) lendable(asked, spare int64) int64 {
	if part := first(asked); spare >= part {
		return min(asked, part+(spare-part)/Millitoken*Millitoken)
	}
	return 0
}
