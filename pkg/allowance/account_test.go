package allowance

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	testRatio    = 0.2
	testConstant = 60.0
	testWindow   = 10 * time.Second
)

var testRule = Rule{Ratio: testRatio, Window: testWindow, Constant: testConstant}

// start is the time at which tests begin. Accounts start with no history at any time.
const start = time.Hour

// simulated is one instance with a clock of its own.
type simulated struct {
	*Account
	offset time.Duration
	asks   uint64
}

func (s *simulated) now(t time.Duration) time.Duration { return t + s.offset }

// message is an ask or a loan on its way.
type message struct {
	from, to int
	at       time.Duration
	ask      uint64
	loan     Loan
	isLoan   bool
}

// history holds the times of requests (when they were sent) and of units (when they arrived).
type history struct{ requests, units []time.Duration }

// count returns how many of the sorted times are after one time and not after another.
func count(times []time.Duration, after, until time.Duration) int {
	first, _ := slices.BinarySearch(times, after+1)
	end, _ := slices.BinarySearch(times, until+1)
	return end - first
}

// check fails if any window holds more units than the rule allows. A window with the most
// units ends at a unit or at a request that has just left it.
func (h *history) check(t interface{ Fatalf(string, ...any) }) {
	slices.Sort(h.units)
	slices.Sort(h.requests)
	ends := slices.Clone(h.units)
	for _, r := range h.requests {
		ends = append(ends, r+testWindow, r+3*testWindow/2, r+2*testWindow)
	}
	for _, end := range ends {
		units := count(h.units, end-testWindow, end)
		requests := max(count(h.requests, end-testWindow, end), count(h.requests, end-2*testWindow, end-testWindow),
			count(h.requests, end-3*testWindow/2, end-testWindow/2))
		if float64(units) > testRatio*float64(requests)+testConstant {
			t.Fatalf("%d units in the window that ends at %s, %d requests", units, end, requests)
		}
	}
}

// Guards against more units in any window than the rule allows: when demand is uneven and
// comes in bursts, when messages are lost, repeated or late, during partitions, when
// processes end and start again, and when clocks differ.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := make([]*simulated, rapid.IntRange(1, 6).Draw(t, "instances"))
		begin := func(n int, at time.Duration) {
			offset := time.Duration(rapid.IntRange(0, 1000).Draw(t, "offset")) * time.Minute
			instances[n] = &simulated{Account: New(testRule, at+offset), offset: offset}
			// Lets the share count at once where nothing was spent before.
			instances[n].SetShare(1/float64(len(instances)), at+offset)
		}
		for n := range instances {
			begin(n, start-time.Minute)
		}
		h := &history{}
		var sent []message
		now := start
		// Without bursts, little of the rule is left unused, and an error shows soonest.
		bursts := rapid.Bool().Draw(t, "bursts")
		perSecond := rapid.SampledFrom([]float64{0, 0, 30}).Draw(t, "per_second")
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			pause := time.Duration(rapid.SampledFrom([]int{1, 20, 130, 700, 1900, 8100}).Draw(t, "pause")) * time.Millisecond
			n := rapid.IntRange(0, len(instances)-1).Draw(t, "instance")
			i := instances[n]
			for range int(perSecond * pause.Seconds()) {
				now += time.Duration(float64(time.Second) / perSecond)
				i.AddRequest(i.now(now))
				h.requests = append(h.requests, now)
			}
			now += pause - time.Duration(math.Floor(perSecond*pause.Seconds())*float64(time.Second)/max(perSecond, 1))
			i.SetShare(1/float64(len(instances)), i.now(now))
			switch rapid.SampledFrom([]string{"request", "request", "spend", "spend", "spend", "lend", "lend", "ask", "deliver", "deliver", "restart"}).Draw(t, "step") {
			case "request":
				if !bursts {
					break
				}
				sent := now - time.Duration(rapid.IntRange(0, 99).Draw(t, "sent"))*time.Millisecond
				for range rapid.IntRange(1, 200).Draw(t, "requests") {
					i.AddRequest(i.now(now))
					h.requests = append(h.requests, sent)
				}
			case "spend":
				arrival := now + time.Duration(rapid.SampledFrom([]int{0, 250, 500}).Draw(t, "transit"))*time.Millisecond
				for range rapid.SampledFrom([]int{1, 400, 400}).Draw(t, "units") {
					if !i.Spend(i.now(now)) {
						break
					}
					h.units = append(h.units, arrival)
				}
			case "lend":
				// All that another instance can lend, for an ask that was made a moment ago.
				lender := instances[rapid.IntRange(0, len(instances)-1).Draw(t, "lender")]
				i.asks++
				ask := i.asks + uint64(now)
				i.Ask(ask, i.now(now))
				now += time.Duration(rapid.SampledFrom([]int{1, 250, 700}).Draw(t, "travel")) * time.Millisecond
				if lender == i {
					break
				}
				if units := lender.Lend(ask, lender.Lendable(lender.now(now)), lender.now(now)); units > 0 {
					i.Borrow("lender", Loan{ask, units}, i.now(now))
				}
			case "ask":
				i.asks++
				ask := uint64(n+1)<<32 + i.asks + uint64(now)
				i.Ask(ask, i.now(now))
				for to := range instances {
					sent = append(sent, message{from: n, to: to, at: now, ask: ask})
				}
			case "deliver":
				// Each message may be lost, late and repeated.
				for range rapid.IntRange(0, 2*len(instances)).Draw(t, "messages") {
					if len(sent) == 0 {
						break
					}
					m := sent[rapid.IntRange(max(0, len(sent)-4*len(instances)), len(sent)-1).Draw(t, "message")]
					to := instances[m.to]
					if m.isLoan {
						to.Borrow(string(rune('a'+m.from)), m.loan, to.now(now))
						continue
					}
					if m.to == m.from {
						continue
					}
					if units := to.Lend(m.ask, rapid.Float64Range(0, 80).Draw(t, "lent"), to.now(now)); units > 0 {
						sent = append(sent, message{from: m.to, to: m.from, at: now, loan: Loan{m.ask, units}, isLoan: true})
					}
				}
			case "restart":
				begin(n, now)
			}
		}
		h.check(t)
	})
}

// Guards against units that are spent again while those before them are in the same window:
// they arrive late, or were lent and are spent as late as the loan allows.
func TestUnitsReturnAfterTheirLastArrival(t *testing.T) {
	spendAll := func(a *Account, now time.Duration) (n int) {
		for a.Spend(now) {
			n++
		}
		return n
	}
	// ready returns an account with the whole constant.
	ready := func() *Account {
		a := New(testRule, start)
		a.SetShare(1, start)
		a.SetShare(1, start+2*testWindow)
		return a
	}
	const begin = start + 2*testWindow
	const bucket = testWindow / bucketsPerWindow
	t.Run("late arrival", func(t *testing.T) {
		is := is.New(t)
		a := ready()
		is.Equal(spendAll(a, begin), int(testConstant))
		is.Equal(spendAll(a, begin+testWindow+MaxTransit), 0)
		is.Equal(spendAll(a, begin+testWindow+MaxTransit+2*bucket), int(testConstant))
	})
	t.Run("loan", func(t *testing.T) {
		is := is.New(t)
		a := ready()
		is.Equal(a.Lend(1, testConstant, begin), testConstant)
		is.Equal(spendAll(a, begin+testWindow+MaxTransit+LoanTime), 0)
		is.Equal(spendAll(a, begin+testWindow+MaxTransit+LoanTime+2*bucket), int(testConstant))
	})
}

// Guards against an account that leaves much of the rule unused: at a steady rate of requests
// and with more demand than credit, nine tenths are spent.
func TestSteadyDemandUsesCredit(t *testing.T) {
	is := is.New(t)
	a := New(testRule, start)
	var h history
	for ms := 0; ms < 60_000; ms++ {
		now := start + time.Duration(ms)*time.Millisecond
		a.SetShare(1, now)
		if ms%5 == 0 {
			a.AddRequest(now)
			h.requests = append(h.requests, now)
		}
		if a.Spend(now) {
			h.units = append(h.units, now)
		}
	}
	h.check(t)
	last := start + time.Minute
	for _, end := range []time.Duration{last - 7*time.Second, last - 3*time.Second, last} {
		allowed := testRatio*float64(count(h.requests, end-testWindow, end)) + testConstant
		is.True(float64(count(h.units, end-testWindow, end)) >= 0.9*allowed)
	}
}

// Guards against a new process that cannot spend anything for a window after its first
// requests, and against one that spends its predecessor's share of the constant again.
func TestNewProcessEarnsAtOnce(t *testing.T) {
	is := is.New(t)
	a := New(testRule, start)
	a.SetShare(1, start)
	is.True(!a.Spend(start))
	for range 50 {
		a.AddRequest(start)
	}
	spent := 0
	for a.Spend(start + time.Millisecond) {
		spent++
	}
	is.Equal(spent, 5) // currentWeight of a fifth
	a.SetShare(1, start+2*testWindow-time.Millisecond)
	level, _ := a.Level(start + 2*testWindow - time.Millisecond)
	is.True(level < 1)
	a.SetShare(1, start+2*testWindow)
	level, _ = a.Level(start + 2*testWindow)
	is.Equal(level, testConstant)
}

// Guards against loans that are counted at both sides, or at none, when they do not arrive.
func TestLoans(t *testing.T) {
	is := is.New(t)
	lender, borrower := New(testRule, start), New(testRule, start)
	for range 1000 {
		lender.AddRequest(start)
	}
	now := start + time.Second
	before := lender.Lendable(now)
	is.True(before > 20)
	borrower.Ask(7, now)
	is.Equal(lender.Lend(7, 20, now), 20.0)
	is.Equal(lender.Lend(7, 20, now), 0.0) // each ask is answered once
	is.True(lender.Lendable(now) <= before-20)
	is.Equal(len(lender.Loans(now)), 1)
	is.Equal(borrower.Borrow("l", Loan{8, 20}, now), 0.0) // an ask of another instance
	is.Equal(borrower.Borrow("l", Loan{7, 20}, now), 20.0)
	is.Equal(borrower.Borrow("l", Loan{7, 20}, now), 0.0)
	is.True(borrower.Spend(now))
	level, _ := borrower.Level(now + LoanTime - time.Millisecond)
	is.Equal(level, 19.0)
	level, _ = borrower.Level(now + LoanTime)
	is.Equal(level, 0.0)
	is.Equal(borrower.Borrow("l", Loan{7, 20}, now+LoanTime), 0.0)
	is.Equal(len(lender.Loans(now+LoanTime)), 0)
}

// Guards against lenders that together lend a multiple of what is asked or of what they have.
func TestPart(t *testing.T) {
	is := is.New(t)
	is.Equal(Part(10, 5, 10, 20), 2.5)
	is.Equal(Part(10, 5, 40, 20), 1.25)
	is.Equal(Part(10, 0, 10, 0), 0.0)
	is.Equal(Part(0, 0, 0, 0), 0.0)
}

// BenchmarkLevel measures the level, which is computed for each idempotent request.
func BenchmarkLevel(b *testing.B) {
	a := New(testRule, start)
	for ms := range 15_000 {
		a.AddRequest(start + time.Duration(ms)*time.Millisecond)
	}
	for b.Loop() {
		a.Level(start + 15*time.Second)
	}
}
