package limit

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Params are the constants of token issue and loans. All instances of a fleet
// use the same MaxIssuers, SettlingTime and LenderTTL.
type Params struct {
	// MaxIssuers is the maximum number of issuers per team.
	MaxIssuers int
	// MinTokensPerIssuer is the minimum number of tokens that an issuer must be
	// able to hold. A team with a small burst therefore has fewer than
	// MaxIssuers issuers: fractions of a token at many issuers admit no request.
	MinTokensPerIssuer int
	// SettlingTime is the time from the delivery of a version until no instance
	// acts on an older version and no loan made under an older version can be
	// spent.
	SettlingTime time.Duration
	// LenderTTL is how long the lender counts a loan as open, from its reply.
	LenderTTL time.Duration
	// BorrowerTTL is how long the borrower may use a loan, from when it created
	// the request. It is shorter than LenderTTL by the maximum drift between two
	// clocks.
	BorrowerTTL time.Duration
	// MaxWait bounds the time that a request waits for a token.
	MaxWait time.Duration
	// BorrowTimeout is the time after which an issuer that has not replied
	// counts as unresponsive.
	BorrowTimeout time.Duration
	// UnresponsivePause is how long an unresponsive issuer is not asked again.
	UnresponsivePause time.Duration
	// PrefetchTime is the duration whose demand, at the recent rate, is borrowed
	// in advance for teams without a stock (see minStockBurst).
	PrefetchTime time.Duration
	// StockLeadTime is the duration whose demand, at the recent rate, is added
	// to baseStock for teams with a stock.
	StockLeadTime time.Duration
	// MaxParallelBorrows bounds the issuers that one pool asks at the same time.
	MaxParallelBorrows int
}

// driftDivisor bounds the relative error between two clocks: they differ by at
// most one part in 100 of the elapsed time.
const driftDivisor = 100

// DefaultParams derives the constants from the fence time, for which a round
// trip with a witness counts (see package fence).
func DefaultParams(fence time.Duration) Params {
	const ttl = time.Second
	return Params{
		MaxIssuers: 16, MinTokensPerIssuer: 2,
		SettlingTime: fence + fence/driftDivisor + ttl + ttl/driftDivisor, LenderTTL: ttl, BorrowerTTL: ttl - ttl/driftDivisor,
		MaxWait: time.Second, BorrowTimeout: 50 * time.Millisecond, UnresponsivePause: 500 * time.Millisecond,
		PrefetchTime: 10 * time.Millisecond, StockLeadTime: 20 * time.Millisecond, MaxParallelBorrows: 4,
	}
}

// issuerCount is the number of issuers of a team, at least one.
func (p Params) issuerCount(t config.Team) int {
	return max(1, min(p.MaxIssuers, t.Burst/max(1, p.MinTokensPerIssuer)))
}

// Issuers returns the members that issue the team's tokens under the membership,
// in order of preference.
func (p Params) Issuers(m *membership.Membership, team string, t config.Team) []membership.Member {
	return m.RankAcrossZones(team, p.issuerCount(t))
}

// The preferred issuers of a team are those to which the directory steers its
// callers.
const (
	// burstPerPreferredIssuer is the burst in tokens for which a team has one
	// preferred issuer. Few preferred issuers are better than many: a request
	// waits for a loan when the stock of its instance is empty, and one large
	// stock is empty less often than several small ones.
	burstPerPreferredIssuer = 32
	// maxRatePerPreferredIssuer is the maximum rate in requests per second for
	// one preferred issuer, unless the team has too few issuers.
	maxRatePerPreferredIssuer = 100
)

// PreferredIssuerCount is the number of leading members of Issuers to which the
// directory steers the team's callers.
func (p Params) PreferredIssuerCount(t config.Team) int {
	byRate := int(math.Ceil(min(t.RatePerSecond/maxRatePerPreferredIssuer, float64(p.MaxIssuers))))
	return max(1, min(p.issuerCount(t), max(byRate, t.Burst/burstPerPreferredIssuer)))
}

// maxRateWaiters bounds the part of a queue's limit that grows with the team's
// rate. The queue of one team at one instance is bounded because every decision
// visits all waiting requests.
const maxRateWaiters = 256

// Decision is the state of a ticket.
type Decision int

// Decisions.
const (
	// Waiting means that the request has no token yet.
	Waiting Decision = iota
	// Granted means that the request has spent a token.
	Granted
	// Exceeded means that no token became available in time.
	Exceeded
	// Unreachable means that no issuer replied in time, and the instance is
	// none.
	Unreachable
	// Stale means that the instance may not act on its view, which may be
	// outdated.
	Stale
)

// Ticket is one request for a token.
type Ticket struct {
	Decision Decision
	// RetryAfter is how long the caller should wait before it retries. It is set
	// with Exceeded.
	RetryAfter time.Duration
	// OnDecided, if set, runs when the pool decides the ticket. Cancel does not
	// run it.
	OnDecided func()
	start     time.Duration
	deadline  time.Duration
}

func (t *Ticket) decide(d Decision, retry time.Duration) {
	t.Decision, t.RetryAfter = d, retry
	if t.OnDecided != nil {
		t.OnDecided()
	}
}

// Pool holds the tokens of one team at one instance: those that the instance
// mints as an issuer, those that it has lent to other instances, and those that
// it has borrowed. It performs no I/O and is not safe for concurrent use. All
// times are durations since boot.
type Pool struct {
	team        string
	history     *History
	params      Params
	issuerCache issuersByVersion

	issuer issuer
	// borrowed are the loans from other issuers that can still be spent.
	borrowed []borrowed
	// waiters is the queue of undecided requests, oldest first.
	waiters []*Ticket
	// pendingBorrows and lenders are keyed by the incarnation of the issuer.
	pendingBorrows map[string]*borrow
	lenders        map[string]*lenderState
	// unsentReturns close borrowed loans; the next Poll returns them.
	unsentReturns []BorrowMessage
	demand        demand
	// lastIssuerIndex is the index of the issuer that was considered last, for
	// round-robin selection.
	lastIssuerIndex int
	// lastIssuerReply is the time of the last reply from an issuer; -1 if there
	// was none.
	lastIssuerReply time.Duration
	// lastUsed is the time of the last request for a token, by a caller or by a
	// borrower.
	lastUsed time.Duration
	// overloadedUntil is set by a refusal. Until then the pool asks for whole
	// tokens only and holds none for future requests.
	overloadedUntil time.Duration
}

// NewPool returns the pool of a team at the time now.
func NewPool(team string, history *History, params Params, now time.Duration) *Pool {
	p := &Pool{
		team: team, history: history, params: params, issuerCache: issuersByVersion{},
		pendingBorrows: map[string]*borrow{}, lenders: map[string]*lenderState{}, lastIssuerReply: -1, lastUsed: now,
	}
	p.issuer.disabled = history.disabled
	p.issuer.advance(history, team, p.issuerCache, now)
	return p
}

// Take queues a request for a token, which waits until deadline at most. It
// refuses the request at once if too many requests wait already. The caller must
// call Poll next, which grants the token if one is available.
func (p *Pool) Take(now, deadline time.Duration) *Ticket {
	p.advance(now)
	p.lastUsed = now
	p.demand.addRequest(now)
	t := &Ticket{start: now, deadline: min(deadline, now+p.params.MaxWait)}
	if limit := 8 + int(min(maxRateWaiters, p.teamRate()*p.params.MaxWait.Seconds())); len(p.waiters) >= limit {
		t.decide(Exceeded, p.retryAfter())
		return t
	}
	p.waiters = append(p.waiters, t)
	return t
}

// Poll decides every request that can be decided at the time now. It returns the
// messages to send and the time of the next call, if no other event comes first.
// It grants and borrows tokens only if viewValid tells that the instance may act
// on its view.
func (p *Pool) Poll(now time.Duration, viewValid bool) ([]BorrowMessage, time.Duration) {
	p.advance(now)
	if viewValid {
		p.grantWaiters(now)
	}
	p.refuseWaiters(now, viewValid)
	p.returnUnusedLoans(now)
	messages := p.messages(now, viewValid)
	return messages, p.nextPoll(now)
}

// Idle reports whether the pool can be dropped: it has no open work, and a pool
// that is created in its place later never has more tokens than this one.
func (p *Pool) Idle(now time.Duration) bool {
	p.advance(now)
	return len(p.waiters) == 0 && len(p.pendingBorrows) == 0 && len(p.borrowed) == 0 && len(p.unsentReturns) == 0 &&
		len(p.issuer.loans) == 0 && p.issuer.bucket.millitokens >= p.issuer.ceiling() &&
		now-p.lastUsed > p.params.LenderTTL
}

// advance updates the minted tokens and drops the borrowed loans that have
// expired or are spent. It returns a spent loan to its lender if the loan has
// not expired.
func (p *Pool) advance(now time.Duration) {
	p.issuer.advance(p.history, p.team, p.issuerCache, now)
	kept := p.borrowed[:0]
	for _, loan := range p.borrowed {
		if loan.expires > now && loan.unspent > 0 {
			kept = append(kept, loan)
		} else if loan.expires > now {
			p.unsentReturns = append(p.unsentReturns, BorrowMessage{To: loan.lender, ReturnedLoan: loan.id})
		}
	}
	p.borrowed = kept
}

// available is the number of millitokens that this instance can spend now.
func (p *Pool) available() int64 {
	sum := p.issuer.bucket.millitokens
	for _, loan := range p.borrowed {
		sum += loan.unspent
	}
	return sum
}

// grantWaiters grants tokens to waiting requests, oldest first.
func (p *Pool) grantWaiters(now time.Duration) {
	for len(p.waiters) > 0 && p.available() >= Millitoken {
		p.spend(Millitoken)
		t := p.waiters[0]
		p.waiters = p.waiters[1:]
		t.decide(Granted, 0)
	}
	p.advance(now)
}

// spend takes borrowed tokens first, since they expire while minted ones can be
// lent. A pool that holds a stock starts with the minted tokens above half of
// the ceiling; otherwise its bucket would be full most of the time and mint
// nothing.
func (p *Pool) spend(amount int64) {
	if p.holdsStock() {
		minted := min(amount, max(0, p.issuer.bucket.millitokens-p.issuer.ceiling()/2))
		p.issuer.bucket.millitokens -= minted
		amount -= minted
	}
	for n := range p.borrowed {
		taken := min(amount, p.borrowed[n].unspent)
		p.borrowed[n].unspent -= taken
		amount -= taken
	}
	p.issuer.bucket.millitokens -= amount
}

// refuseWaiters refuses the requests whose deadline has passed, and all requests
// if the instance may not act on its view.
func (p *Pool) refuseWaiters(now time.Duration, viewValid bool) {
	kept := p.waiters[:0]
	for _, t := range p.waiters {
		switch {
		case !viewValid:
			t.decide(Stale, 0)
		case t.deadline > now:
			kept = append(kept, t)
		case p.lastIssuerReply < t.start && p.issuer.share.Divisor == 0:
			t.decide(Unreachable, 0)
		default:
			p.overloadedUntil = now + overloadTime
			t.decide(Exceeded, p.retryAfter())
		}
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// teamRate is the team's rate over the whole fleet in tokens per second.
func (p *Pool) teamRate() float64 { return p.history.teams[p.team].RatePerSecond }

// retryAfter is the time in which the whole fleet mints tokens for all waiting
// requests and one more.
func (p *Pool) retryAfter() time.Duration {
	s := shareOf(p.history.teams[p.team], 1)
	return mintTime(s, Millitoken*int64(len(p.waiters)+1))
}

// nextPoll is the time of the next decision that needs no message.
func (p *Pool) nextPoll(now time.Duration) time.Duration {
	nextPoll := now + time.Hour
	for _, t := range p.waiters {
		nextPoll = min(nextPoll, t.deadline)
	}
	for _, pending := range p.pendingBorrows {
		nextPoll = min(nextPoll, pending.askedAt+p.params.BorrowTimeout)
	}
	for _, loan := range p.borrowed {
		nextPoll = min(nextPoll, max(loan.receivedAt+minLoanHoldTime, now+minRetryPause))
	}
	if len(p.waiters) > 0 {
		if missing := Millitoken - p.available(); missing > 0 && p.issuer.share.Divisor > 0 {
			nextPoll = min(nextPoll, now+mintTime(p.issuer.share, missing))
		}
		for _, m := range p.issuers() {
			if l := p.lenders[m.Incarnation]; l != nil && m.Incarnation != p.history.self {
				nextPoll = min(nextPoll, max(l.nextAskAt, now+minRetryPause))
			}
		}
	}
	return nextPoll
}

// issuers lists the team's issuers under the newest membership.
func (p *Pool) issuers() []membership.Member {
	return p.history.issuers(p.team, p.issuerCache, p.history.newestMembership(), p.history.teams[p.team])
}

// Cancel removes a waiting ticket. A ticket that was already decided keeps its
// decision.
func (p *Pool) Cancel(t *Ticket) {
	if t.Decision != Waiting {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(o *Ticket) bool { return o == t })
	t.Decision, t.RetryAfter = Exceeded, p.retryAfter()
}
