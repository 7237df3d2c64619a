package limit

import (
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Params are the constants of token issue and loans. All instances of a fleet
// use the same K, Hold and LoanLife.
type Params struct {
	// K is the largest number of issuers per team.
	K int
	// MinCeiling is the number of tokens that an issuer must be able to hold:
	// a team with a small burst has fewer than K issuers. Fractions of a token
	// at many issuers admit nothing.
	MinCeiling int
	// Hold is the time from delivery of a version until no instance acts on an
	// older one and no loan made under an older one can be spent.
	Hold time.Duration
	// LoanLife is how long the lender counts a loan from its answer.
	LoanLife time.Duration
	// BorrowerLife is how long the borrower uses a loan, from when it asked.
	// It is shorter than LoanLife by the drift of two clocks.
	BorrowerLife time.Duration
	// MaxWait bounds the time that a request waits for tokens.
	MaxWait time.Duration
	// AskTimeout is the time after which an issuer that has not answered
	// counts as silent.
	AskTimeout time.Duration
	// Silence is the time for which a silent issuer is not asked.
	Silence time.Duration
	// Prefetch is the time whose recent demand is borrowed ahead by teams
	// without a stock.
	Prefetch time.Duration
	// StockAhead is the time whose recent demand is added to a stock.
	StockAhead time.Duration
	// Parallel bounds the issuers that one pool asks at the same time.
	Parallel int
}

// drift is the largest relative error between two clocks: one part in 100.
const drift = 100

// DefaultParams derives the constants from the fence time.
func DefaultParams(fence time.Duration) Params {
	const life = time.Second
	return Params{
		K: 16, MinCeiling: 2,
		Hold: fence + fence/drift + life + life/drift, LoanLife: life, BorrowerLife: life - life/drift,
		MaxWait: time.Second, AskTimeout: 50 * time.Millisecond, Silence: 500 * time.Millisecond,
		Prefetch: 10 * time.Millisecond, StockAhead: 20 * time.Millisecond, Parallel: 4,
	}
}

// issuerCount is the number of issuers of a team, at least one.
func (p Params) issuerCount(t config.Team) int {
	return max(1, min(p.K, t.Burst/max(1, p.MinCeiling)))
}

// Issuers returns the members that issue the team's tokens under the membership.
func (p Params) Issuers(m *membership.Membership, team string, t config.Team) []membership.Member {
	return m.RankSpread(team, p.issuerCount(t))
}

// The preferred issuers of a team are those to which the directory steers its
// callers.
const (
	// preferredBurst is the burst in tokens for which a team has one preferred
	// issuer. A request waits for a loan when the stock of its instance is empty,
	// and one large stock is empty less often than several small ones.
	preferredBurst = 32
	// preferredRate is the largest rate in requests per second that one preferred
	// issuer is given, unless the team has too few issuers.
	preferredRate = 100
)

// PreferredCount is the number of leading members of Issuers to which the
// team's callers are steered.
func (p Params) PreferredCount(t config.Team) int {
	byRate := int(math.Ceil(min(t.RatePerSecond/preferredRate, float64(p.K))))
	return max(1, min(p.issuerCount(t), max(byRate, t.Burst/preferredBurst)))
}

// maxWaiting bounds the requests of one team that wait at one instance, since
// every decision visits all of them.
const maxWaiting = 256

// Decision is the state of a ticket.
type Decision int

// Decisions.
const (
	// Waiting means that the request has no token yet.
	Waiting Decision = iota
	// Granted means that a token was spent.
	Granted
	// Exceeded means that no token came in time.
	Exceeded
	// Unreachable means that no issuer answered in time.
	Unreachable
	// Stale means that the instance's view is not fresh.
	Stale
)

// Ticket is one request that wants a token.
type Ticket struct {
	Decision Decision
	// RetryAfter is set with Exceeded.
	RetryAfter time.Duration
	// Decided, if set, runs when the ticket leaves the state Waiting.
	Decided  func()
	start    time.Duration
	deadline time.Duration
}

func (t *Ticket) decide(d Decision, retry time.Duration) {
	t.Decision, t.RetryAfter = d, retry
	if t.Decided != nil {
		t.Decided()
	}
}

// Pool holds the tokens of one team at one instance: minted, lent and borrowed
// ones. It performs no I/O and is not safe for concurrent use.
type Pool struct {
	team    string
	history *History
	params  Params
	cache   ranks

	issuer    issuer
	held      []held
	waiters   []*Ticket
	asks      map[string]*ask
	peers     map[string]*lender
	closing   []Message
	demand    demand
	rotation  int
	lastReply time.Duration
	used      time.Duration
	// overloadedUntil is set by a refusal.
	overloadedUntil time.Duration
}

// NewPool returns the pool of a team at the time now.
func NewPool(team string, history *History, params Params, now time.Duration) *Pool {
	p := &Pool{
		team: team, history: history, params: params, cache: ranks{},
		asks: map[string]*ask{}, peers: map[string]*lender{}, lastReply: -1, used: now,
	}
	p.issuer.disabled = history.disabled
	p.issuer.advance(history, team, p.cache, now)
	return p
}

// Take admits a request or lets it wait until deadline. Poll must follow.
func (p *Pool) Take(now, deadline time.Duration) *Ticket {
	p.advance(now)
	p.used = now
	p.demand.add(now)
	t := &Ticket{start: now, deadline: min(deadline, now+p.params.MaxWait)}
	if limit := 8 + int(min(maxWaiting, p.fleetRate()*p.params.MaxWait.Seconds())); len(p.waiters) >= limit {
		t.decide(Exceeded, p.retryAfter())
		return t
	}
	p.waiters = append(p.waiters, t)
	return t
}

// Poll decides what can be decided at the time now and returns the messages to
// send and the time of the next call, if no other event comes first.
func (p *Pool) Poll(now time.Duration, fresh bool) ([]Message, time.Duration) {
	p.advance(now)
	if fresh {
		p.grant(now)
	}
	p.refuse(now, fresh)
	p.giveBack(now)
	messages := p.messages(now, fresh)
	return messages, p.next(now)
}

// Idle tells whether the pool can be dropped: a pool that is made anew never
// has more tokens than this one.
func (p *Pool) Idle(now time.Duration) bool {
	p.advance(now)
	return len(p.waiters) == 0 && len(p.asks) == 0 && len(p.held) == 0 && len(p.closing) == 0 &&
		len(p.issuer.loans) == 0 && p.issuer.bucket.tokens >= p.issuer.ceiling() &&
		now-p.used > p.params.LoanLife
}

func (p *Pool) advance(now time.Duration) {
	p.issuer.advance(p.history, p.team, p.cache, now)
	kept := p.held[:0]
	for _, h := range p.held {
		if h.expires > now && h.left > 0 {
			kept = append(kept, h)
		} else if h.expires > now {
			p.closing = append(p.closing, Message{To: h.from, ReturnedLoan: h.loan})
		}
	}
	p.held = kept
}

// available is what this instance could spend now.
func (p *Pool) available() int64 {
	sum := p.issuer.bucket.tokens
	for _, h := range p.held {
		sum += h.left
	}
	return sum
}

// grant serves waiting requests in order.
func (p *Pool) grant(now time.Duration) {
	for len(p.waiters) > 0 && p.available() >= Millitoken {
		p.spend(Millitoken)
		t := p.waiters[0]
		p.waiters = p.waiters[1:]
		t.decide(Granted, 0)
	}
	p.advance(now)
}

// spend takes borrowed tokens first, since they expire and minted ones can be
// lent. A pool that holds a stock first takes minted tokens above half of the
// ceiling: its bucket would be full most of the time and mint nothing.
func (p *Pool) spend(amount int64) {
	if p.stocked() {
		own := min(amount, max(0, p.issuer.bucket.tokens-p.issuer.ceiling()/2))
		p.issuer.bucket.tokens -= own
		amount -= own
	}
	for n := range p.held {
		part := min(amount, p.held[n].left)
		p.held[n].left -= part
		amount -= part
	}
	p.issuer.bucket.tokens -= amount
}

// refuse decides the requests whose time is up.
func (p *Pool) refuse(now time.Duration, fresh bool) {
	kept := p.waiters[:0]
	for _, t := range p.waiters {
		switch {
		case !fresh:
			t.decide(Stale, 0)
		case t.deadline > now:
			kept = append(kept, t)
		case p.lastReply < t.start && p.issuer.share.Parts == 0:
			t.decide(Unreachable, 0)
		default:
			p.overloadedUntil = now + overloadTime
			t.decide(Exceeded, p.retryAfter())
		}
	}
	clear(p.waiters[len(kept):])
	p.waiters = kept
}

// fleetRate is the team's rate in tokens per second.
func (p *Pool) fleetRate() float64 { return p.history.teams[p.team].RatePerSecond }

func (p *Pool) retryAfter() time.Duration {
	s := shareOf(p.history.teams[p.team], 1)
	return timeFor(s, Millitoken*int64(len(p.waiters)+1))
}

// next is the time of the next decision that needs no message.
func (p *Pool) next(now time.Duration) time.Duration {
	next := now + time.Hour
	for _, t := range p.waiters {
		next = min(next, t.deadline)
	}
	for _, a := range p.asks {
		next = min(next, a.asked+p.params.AskTimeout)
	}
	for _, h := range p.held {
		next = min(next, max(h.idleFrom+giveBackAfter, now+minPause))
	}
	if len(p.waiters) > 0 {
		if missing := Millitoken - p.available(); missing > 0 && p.issuer.share.Parts > 0 {
			next = min(next, now+timeFor(p.issuer.share, missing))
		}
		for _, m := range p.issuers() {
			if l := p.peers[m.Incarnation]; l != nil && m.Incarnation != p.history.self {
				next = min(next, max(l.notBefore, now+minPause))
			}
		}
	}
	return next
}

// issuers lists the team's issuers by the newest membership.
func (p *Pool) issuers() []membership.Member {
	return p.history.issuers(p.team, p.cache, p.history.current(), p.history.teams[p.team])
}

// Cancel removes a waiting ticket. A ticket that was decided keeps its decision.
func (p *Pool) Cancel(t *Ticket) {
	if t.Decision != Waiting {
		return
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(o *Ticket) bool { return o == t })
	t.Decision, t.RetryAfter = Exceeded, p.retryAfter()
}
