package limit

import (
	"math"
	"time"
)

// A team whose burst lasts long enough is a stocked one: its pools hold tokens
// ahead of demand, and they borrow fractions of tokens while most of the
// demand is theirs. A shorter burst is spent before a loan can be closed: at
// 500/s with a burst of 5 stocks and fractions lost a third of the rate under
// overload, at 50/s with a burst of 5 an eighth.
const (
	// stockedBurst is the smallest burst in tokens of a stocked team.
	stockedBurst = 8
	// stockedTime is the shortest time in which a stocked team's burst is minted.
	stockedTime = 200 * time.Millisecond
	// stockBase is the stock in tokens that absorbs the noise of the arrivals
	// while an answer is on its way.
	stockBase = 4
	// stockParts bounds the stocks of all pools to one part in so many of the
	// burst, by the pool's part of the demand.
	stockParts = 2
	// stockTime bounds a stock to the demand of this time, well below the life
	// of a loan.
	stockTime = 250 * time.Millisecond
	// collectBelow is the number of thousandths below which a pool collects fractions.
	collectBelow = stockBase * Millitoken
	// fraction is the unit of collected amounts in thousandths. Eighths waited
	// little less and took almost twice as many messages.
	fraction = Millitoken / 4
	// portionParts bounds a collected loan to one part in so many of the lender's
	// ceiling, since the lender mints only up to what is not on loan.
	portionParts = 4
	// maxOverdue bounds the waiting requests of a pool that asks for fractions.
	maxOverdue = 16
	// prefetchParts bounds the prefetching of other teams to one part in so many
	// of the burst. A loan that is partly spent keeps its whole amount off the
	// lender's ceiling until it is closed: without the bound, 500/s with a burst
	// of 5 lost most of its rate.
	prefetchParts = 16
)

// demand estimates the requests per second of the recent past.
type demand struct {
	rate float64
	last time.Duration
}

// demandWindow is the time constant of the estimate.
const demandWindow = time.Second

// at lets the estimate decay exponentially since the last request.
func (d *demand) at(now time.Duration) float64 {
	return d.rate * math.Exp(-(now-d.last).Seconds()/demandWindow.Seconds())
}

func (d *demand) add(now time.Duration) {
	d.rate = d.at(now) + 1/demandWindow.Seconds()
	d.last = now
}

// stocked tells whether the pools of the team hold a stock.
func (p *Pool) stocked() bool {
	t := p.history.teams[p.team]
	return t.Burst >= stockedBurst && float64(t.Burst) >= t.RatePerSecond*stockedTime.Seconds()
}

// ahead is the number of thousandths to hold for the requests to come. After a
// refusal it is 0, since other pools have requests that wait.
func (p *Pool) ahead(now time.Duration) int64 {
	if now < p.overloadedUntil {
		return 0
	}
	limits, d := p.history.teams[p.team], p.demand.at(now)
	if !p.stocked() {
		return min(int64(d*p.params.Prefetch.Seconds()), int64(limits.Burst/prefetchParts)) * Millitoken
	}
	part := float64(limits.Burst) / stockParts * d / max(d, limits.RatePerSecond)
	stock := min(stockBase+d*p.params.StockAhead.Seconds(), part, d*stockTime.Seconds())
	if stock < 1 {
		return 0
	}
	return int64(stock * Millitoken)
}

// portion is the part of missing to ask one issuer for.
func (p *Pool) portion(now time.Duration, missing int64, issuers int) int64 {
	switch chunk := p.chunk(issuers); {
	case p.collects(now):
		amount := min(missing, max(fraction, chunk/portionParts))
		// The lender gives the part beyond whole tokens also when it has less
		// than one token.
		return max(min(amount, fraction), amount-(amount+Millitoken-fraction)%Millitoken)
	case p.overdue(now) && p.stocked():
		return min(missing, fraction)
	case p.overdue(now):
		return min(missing, Millitoken/2)
	default:
		return min(missing, chunk)
	}
}

// collects tells that most of the team's demand is at this pool, which is low
// in tokens. It then borrows fractions, which would otherwise stay at every
// issuer. At most a few pools of a team can meet the condition, so that the
// fractions do not stay at many borrowers instead.
func (p *Pool) collects(now time.Duration) bool {
	return p.stocked() && now >= p.overloadedUntil && len(p.waiters) <= maxOverdue &&
		p.demand.at(now) > p.fleetRate()/2 && p.available() < collectBelow
}

// overdue tells that the oldest request has waited for a part of its time. The
// pool then asks for fractions, which issuers have more often than whole
// tokens. With a longer queue this would slow the pool down: at 500/s with a
// burst of 5 it refused 3.9% falsely.
func (p *Pool) overdue(now time.Duration) bool {
	if len(p.waiters) == 0 || len(p.waiters) > maxOverdue || now < p.overloadedUntil {
		return false
	}
	// Without a stock, an eighth of the time and quarter tokens refused 5.5%
	// falsely at 50/s with a burst of 5, all requests spread evenly.
	parts := time.Duration(4)
	if p.stocked() {
		parts = 8
	}
	t := p.waiters[0]
	return now-t.start > (t.deadline-t.start)/parts
}

// chunk is the most that one issuer can hold, in whole tokens if it can hold one.
func (p *Pool) chunk(issuers int) int64 {
	ceiling := shareOf(p.history.teams[p.team], int64(issuers)).Ceiling()
	if ceiling > Millitoken {
		ceiling -= ceiling % Millitoken
	}
	return max(1, ceiling)
}
