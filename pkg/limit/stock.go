package limit

import (
	"math"
	"time"
)

// The pools of a team with a large enough burst hold a stock: tokens for future
// requests. They borrow fractions of tokens while most of the demand is theirs.
// A smaller burst is spent before a loan can be closed: with stocks and
// fractions, a team with 500/s and a burst of 5 lost a third of its rate under
// overload, a team with 50/s and a burst of 5 an eighth.
//
// A request is refused falsely if one central bucket for all instances would
// have admitted it.
const (
	// minStockBurst is the minimum burst in tokens of a team with a stock.
	minStockBurst = 8
	// minStockBurstTime is the minimum time that it takes to mint the burst of a
	// team with a stock.
	minStockBurstTime = 200 * time.Millisecond
	// baseStock is the stock in tokens that covers random peaks of the arrivals
	// until the answer to a Borrow request arrives.
	baseStock = 4
	// stockBurstDivisor bounds the stocks of all pools together to one half of
	// the burst. The bound of a pool is proportional to its fraction of the
	// demand.
	stockBurstDivisor = 2
	// maxStockTime bounds a stock to the demand of this duration, which is well
	// below the TTL of a loan.
	maxStockTime = 250 * time.Millisecond
	// collectBelowMillitokens is the number of available millitokens below which
	// a pool collects fractions.
	collectBelowMillitokens = baseStock * Millitoken
	// fractionMillitokens is the unit of collected amounts. With eighths of a
	// token, requests waited little less and there were almost twice as many
	// messages.
	fractionMillitokens = Millitoken / 4
	// collectedLoanDivisor bounds a loan that collects fractions to one quarter
	// of the lender's ceiling, since the lender's bucket is only filled up to
	// the ceiling less the open loans.
	collectedLoanDivisor = 4
	// maxFractionWaiters bounds the waiting requests of a pool that asks for
	// fractions.
	maxFractionWaiters = 16
	// prefetchBurstDivisor bounds the prefetching of a pool without a stock to
	// 1/16 of the burst. A loan that is partly spent reduces the lender's
	// ceiling by its whole amount until it is closed: without the bound, a team
	// with 500/s and a burst of 5 lost most of its rate.
	prefetchBurstDivisor = 16
)

// demand estimates the requests per second of the recent past. The rate applies
// at the time of the last request and decays exponentially after it.
type demand struct {
	rate float64
	last time.Duration
}

// demandTimeConstant is the time constant of the exponential decay.
const demandTimeConstant = time.Second

// rateAt is the estimated rate in requests per second at the time now.
func (d *demand) rateAt(now time.Duration) float64 {
	return d.rate * math.Exp(-(now-d.last).Seconds()/demandTimeConstant.Seconds())
}

func (d *demand) addRequest(now time.Duration) {
	d.rate = d.rateAt(now) + 1/demandTimeConstant.Seconds()
	d.last = now
}

// holdsStock reports whether the pools of the team hold a stock.
func (p *Pool) holdsStock() bool {
	t := p.history.teams[p.team]
	return t.Burst >= minStockBurst && float64(t.Burst) >= t.RatePerSecond*minStockBurstTime.Seconds()
}

// prefetchMillitokens is the number of millitokens to hold for future requests.
// It is 0 for overloadTime after a refusal, since requests wait at other pools
// then.
func (p *Pool) prefetchMillitokens(now time.Duration) int64 {
	if now < p.overloadedUntil {
		return 0
	}
	limits, d := p.history.teams[p.team], p.demand.rateAt(now)
	if !p.holdsStock() {
		return min(int64(d*p.params.PrefetchTime.Seconds()), int64(limits.Burst/prefetchBurstDivisor)) * Millitoken
	}
	maxStock := float64(limits.Burst) / stockBurstDivisor * d / max(d, limits.RatePerSecond)
	stock := min(baseStock+d*p.params.StockLeadTime.Seconds(), maxStock, d*maxStockTime.Seconds())
	if stock < 1 {
		return 0
	}
	return int64(stock * Millitoken)
}

// borrowAmount is the number of millitokens to ask one issuer for when the pool
// lacks missing millitokens.
func (p *Pool) borrowAmount(now time.Duration, missing int64, issuers int) int64 {
	switch issuerCeiling := p.issuerCeiling(issuers); {
	case p.collectsFractions(now):
		amount := min(missing, max(fractionMillitokens, issuerCeiling/collectedLoanDivisor))
		// The amount is whole tokens plus one fraction: the lender gives the
		// part beyond whole tokens even when it has less than one token.
		return max(min(amount, fractionMillitokens), amount-(amount+Millitoken-fractionMillitokens)%Millitoken)
	case p.hasOverdueWaiter(now) && p.holdsStock():
		return min(missing, fractionMillitokens)
	case p.hasOverdueWaiter(now):
		return min(missing, Millitoken/2)
	default:
		return min(missing, issuerCeiling)
	}
}

// collectsFractions reports whether most of the team's demand is at this pool
// and it has few tokens left. It then borrows fractions, which would otherwise
// stay at every issuer. At most a few pools of a team can meet the condition, so
// that the fractions do not stay at many borrowers instead.
func (p *Pool) collectsFractions(now time.Duration) bool {
	return p.holdsStock() && now >= p.overloadedUntil && len(p.waiters) <= maxFractionWaiters &&
		p.demand.rateAt(now) > p.teamRate()/2 && p.available() < collectBelowMillitokens
}

// hasOverdueWaiter reports whether the oldest request has waited for a fraction
// of its maximum wait: a quarter, or an eighth in a pool with a stock. The pool
// then asks for fractions of tokens, which issuers have more often than whole
// tokens. With more than maxFractionWaiters requests this would slow the pool
// down: at 500/s with a burst of 5, 3.9% of the requests were refused falsely.
func (p *Pool) hasOverdueWaiter(now time.Duration) bool {
	if len(p.waiters) == 0 || len(p.waiters) > maxFractionWaiters || now < p.overloadedUntil {
		return false
	}
	// A pool without a stock waits longer and asks for half tokens: after an
	// eighth of the time and with quarter tokens, 5.5% of the requests were
	// refused falsely at 50/s with a burst of 5 and all requests spread evenly.
	waitDivisor := time.Duration(4)
	if p.holdsStock() {
		waitDivisor = 8
	}
	t := p.waiters[0]
	return now-t.start > (t.deadline-t.start)/waitDivisor
}

// issuerCeiling is the maximum number of millitokens that one issuer can hold,
// rounded down to whole tokens if it can hold one.
func (p *Pool) issuerCeiling(issuers int) int64 {
	ceiling := shareOf(p.history.teams[p.team], int64(issuers)).Ceiling()
	if ceiling > Millitoken {
		ceiling -= ceiling % Millitoken
	}
	return max(1, ceiling)
}
