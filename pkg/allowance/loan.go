package allowance

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minLoan is the smallest loan that is worth a message.
	minLoan = 0.25
	// maxCredits bounds the loans that a borrower holds at one time.
	maxCredits = 256
)

// Loan is what an instance lends for an ask.
type Loan struct {
	Ask   uint64
	Units float64
}

// loans holds what an account has lent and borrowed. The zero value holds nothing.
//
// An ask is a random number that the borrower chooses and that expires LoanTime later by the
// borrower's own clock. A loan names its ask and was made after it, so the lender knows,
// without a common clock, until when the borrower can spend it.
type loans struct {
	// lentLoans are the loans of the last LoanTime, oldest first.
	lentLoans []timedLoan
	// asks holds the end of this instance's asks.
	asks map[uint64]time.Duration
	// credits are the loans from others.
	credits []credit
}

type timedLoan struct {
	Loan
	at time.Duration
}

type credit struct {
	from string
	ask  uint64
	// units is what is left until the end of the ask.
	units   float64
	expires time.Duration
}

// Ask records that this instance asks others with the given random number.
func (l *loans) Ask(ask uint64, now time.Duration) {
	maps.DeleteFunc(l.asks, func(_ uint64, expires time.Duration) bool { return now >= expires })
	if l.asks == nil {
		l.asks = map[uint64]time.Duration{}
	}
	l.asks[ask] = now + LoanTime
}

// Borrow records a loan of another instance for one of this instance's asks. Others, expired
// and repeated ones have no effect. It returns what was added.
func (l *loans) Borrow(from string, loan Loan, now time.Duration) float64 {
	expires, known := l.asks[loan.Ask]
	l.dropExpired(now)
	if !known || now >= expires || !(loan.Units > 0) || len(l.credits) >= maxCredits {
		return 0
	}
	if slices.ContainsFunc(l.credits, func(c credit) bool { return c.from == from && c.ask == loan.Ask }) {
		return 0
	}
	l.credits = append(l.credits, credit{from, loan.Ask, loan.Units, expires})
	return loan.Units
}

// Loans returns the loans of the last LoanTime; messages repeat them, as any may be lost.
func (l *loans) Loans(now time.Duration) []Loan {
	l.dropLoans(now)
	out := make([]Loan, 0, len(l.lentLoans))
	for _, t := range l.lentLoans {
		out = append(out, t.Loan)
	}
	return out
}

// hasAnswered reports whether this instance has lent for the ask.
func (l *loans) hasAnswered(ask uint64, now time.Duration) bool {
	l.dropLoans(now)
	return slices.ContainsFunc(l.lentLoans, func(t timedLoan) bool { return t.Ask == ask })
}

func (l *loans) recordLoan(ask uint64, units float64, now time.Duration) {
	l.lentLoans = append(l.lentLoans, timedLoan{Loan{ask, units}, now})
}

func (l *loans) dropLoans(now time.Duration) {
	l.lentLoans = slices.DeleteFunc(l.lentLoans, func(t timedLoan) bool { return now-t.at >= LoanTime })
}

// dropExpired forgets the loans from others whose ask has ended.
func (l *loans) dropExpired(now time.Duration) {
	l.credits = slices.DeleteFunc(l.credits, func(c credit) bool { return now >= c.expires })
}

// borrowed returns what is left of the loans from others.
func (l *loans) borrowed(now time.Duration) (units float64) {
	l.dropExpired(now)
	for _, c := range l.credits {
		units += c.units
	}
	return units
}

// spendBorrowed takes up to the given number of units from the loans of others, those first
// that end first, and returns what it took.
func (l *loans) spendBorrowed(units float64, now time.Duration) (taken float64) {
	l.dropExpired(now)
	slices.SortStableFunc(l.credits, func(a, b credit) int { return cmp.Compare(a.expires, b.expires) })
	for i := range l.credits {
		part := min(units-taken, l.credits[i].units)
		l.credits[i].units -= part
		taken += part
	}
	return taken
}

// Part returns how much of what an instance asks for a lender should lend, so that all
// lenders together lend what is asked: in proportion to what each of them can spare.
// allWanted and allSpare are the sums over all instances.
func Part(wanted, spare, allWanted, allSpare float64) float64 {
	if all := max(allWanted, allSpare); all > 0 {
		return wanted * spare / all
	}
	return 0
}
