package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/allowance"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// exchange decides what this instance wants to borrow, and lends to those that have asked,
// at most once in half of a heartbeat interval. It takes part in each heartbeat.
func (a *retryAccount) exchange(now time.Duration) {
	if now-a.exchangedAt < retryExchangeInterval {
		return
	}
	a.exchangedAt = now
	level, _ := a.Level(now)
	perSecond := a.demandBefore(trialClass, now)
	need := perSecond * askTime.Seconds()
	if a.ask == 0 || now-a.askedAt >= askInterval {
		a.ask, a.wanted = 0, 0
		if perSecond >= minBorrowDemand && level < need {
			a.ask, a.wanted, a.askedAt = rand.Uint64()|1, need-level, now
			a.Ask(a.ask, now)
		}
	}
	a.spare = 0
	if a.wanted == 0 {
		a.spare = max(0, a.Lendable(now)-need-trialRetryReserve) * maxLentPart
	}
	allWanted, allSpare := 0.0, a.spare
	for _, r := range a.reports {
		if now-r.at < retryReportAge {
			allWanted += r.wanted
			allSpare += r.spare
		}
	}
	for _, r := range a.reports {
		if r.wanted > 0 && now-r.at < retryReportAge && len(a.Loans(now)) < maxLoansReported {
			a.counts.Lent += a.Lend(r.ask, allowance.Part(r.wanted, a.spare, allWanted, allSpare), now)
		}
	}
}

const (
	// retryExchangeInterval is the shortest time between two decisions on loans: about one
	// heartbeat interval within a zone, which is jittered.
	retryExchangeInterval = 200 * time.Millisecond
	// askInterval is the time between two asks: the loans for the first one have arrived from
	// instances of the zone by then.
	askInterval = 450 * time.Millisecond
	// minBorrowDemand is the number of wanted retries per second below which an instance does
	// not borrow: its own account refuses hardly any.
	minBorrowDemand = 0.5
)

// fill adds this instance's report of the service's retries to a heartbeat.
func (a *retryAccount) fill(service string, h *peerpb.Heartbeat, now time.Duration) {
	a.exchange(now)
	report := &peerpb.ServiceRetries{
		Service: service, Requests: a.recent.requests.get(now), Retries: a.recent.retries.get(now), Refused: a.recent.refused.get(now),
		Ask: a.ask, Wanted: float32(a.wanted), Spare: float32(a.spare),
	}
	for _, l := range a.Loans(now) {
		report.Loans = append(report.Loans, &peerpb.RetryLoan{Ask: l.Ask, Thousandths: uint32(l.Units * 1000)})
	}
	if report.Requests > 0 || report.Retries > 0 || report.Refused > 0 || report.Ask != 0 || len(report.Loans) > 0 || report.Spare > 0 {
		h.Retries = append(h.Retries, report)
	}
}

// merge applies the report of another instance.
func (a *retryAccount) merge(from string, r *peerpb.ServiceRetries, now time.Duration) {
	report := retryReport{ask: r.Ask, wanted: validUnits(r.Wanted), spare: validUnits(r.Spare), at: now}
	if report.ask == 0 {
		report.wanted = 0
	}
	a.reports[from] = report
	if r.Refused > 0 {
		a.refusedAt = now
	}
	for _, l := range r.Loans {
		a.counts.Borrowed += a.Borrow(from, allowance.Loan{Ask: l.Ask, Units: float64(l.Thousandths) / 1000}, now)
	}
}

// validUnits returns a reported number of retries, or 0 if it is none.
func validUnits(v float32) float64 {
	if !(v >= 0) || math.IsInf(float64(v), 0) {
		return 0
	}
	return float64(v)
}

// forget removes the reports of instances that no longer serve.
func (a *retryAccount) forget(now time.Duration) {
	for from, r := range a.reports {
		if now-r.at >= retryReportAge {
			delete(a.reports, from)
		}
	}
}

// recentRetries counts the requests, granted and refused retries of the last recentSpan.
type recentRetries struct{ requests, retries, refused slidingCount }

const (
	// recentSpan is the time that the reported counts cover; recentSlots is the number of
	// parts in which they are kept.
	recentSpan  = time.Second
	recentSlots = 10
)

// slidingCount counts events of the last recentSpan.
type slidingCount struct {
	counts [recentSlots]uint32
	newest int64
}

func (c *slidingCount) advance(now time.Duration) {
	slot := int64(now / (recentSpan / recentSlots))
	for c.newest = max(c.newest, slot-recentSlots); c.newest < slot; {
		c.newest++
		c.counts[c.newest%recentSlots] = 0
	}
}

func (c *slidingCount) add(now time.Duration) {
	c.advance(now)
	c.counts[c.newest%recentSlots]++
}

func (c *slidingCount) get(now time.Duration) (sum uint32) {
	c.advance(now)
	for _, n := range c.counts {
		sum += n
	}
	return sum
}
