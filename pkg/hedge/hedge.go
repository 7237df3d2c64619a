// Package hedge decides whether and when an idempotent request is sent to a second target
// while the first one has not responded. It addresses services at which a small part of the
// requests takes several times the usual time for reasons of one target or of chance, so that
// a second execution takes the usual time. The decision is pure: time is an argument, and the
// caller serializes the calls.
package hedge

import (
	"strings"
	"time"
)

const (
	// MaxPercent is the largest limit on hedges, in percent of the requests. Beyond it hedges
	// of ordinary requests take more work than they save.
	MaxPercent = 20
	// maxSaved is the number of unused hedges that an account keeps. Few instances serve, 3 to
	// 5 per zone, so that all together may send 80 hedges at once in four zones. With 2, a sixth
	// of the hedges that were due at half load found none, although under the limit on average.
	maxSaved = 4.0
	// Hold is the time without hedges after a request has waited, or was refused for lack of
	// capacity, or a retry was refused. Demand arrives in bursts, and between two requests that
	// wait there may be several hundred ms.
	Hold = 2 * time.Second
	// maxUtilization is the fraction of the slots in use from which no hedges are sent. An
	// instance sees the slots of its own targets, often 24, of which so many are in use at times
	// at a load of 0.7. With 0.7 here, two thirds of the hedges were refused at that load.
	maxUtilization = 0.85
	// maxSlowRatio is the fraction of the targets in use that may be stalled. Beyond it,
	// another target is as likely to be slow, and hedges only add load.
	maxSlowRatio = 0.5
)

// Refusal says why no hedge is sent.
type Refusal int

const (
	// Allowed means that a hedge may be sent.
	Allowed Refusal = iota
	// NoAllowance means that the operators' limit is used up.
	NoAllowance
	// NoRetry means that the retry budget has none to spare.
	NoRetry
	// Shortage means that requests wait, or capacity or retries were short within Hold.
	Shortage
	// Busy means that too many slots are in use.
	Busy
	// AllSlow means that too many targets are slow.
	AllSlow
	// TooLate means that the time left is less than a response usually takes.
	TooLate
	// NoTarget means that there is no suitable target with a free slot.
	NoTarget
	refusalCount
)

// String returns the name of the refusal in metrics.
func (r Refusal) String() string {
	return [...]string{"allowed", "no_allowance", "no_retry", "shortage", "busy", "all_slow", "too_late", "no_target"}[r]
}

// Refusals lists the reasons why no hedge is sent.
func Refusals() []Refusal {
	var all []Refusal
	for r := NoAllowance; r < refusalCount; r++ {
		all = append(all, r)
	}
	return all
}

// Limits are the operators' limits on hedges, in percent of the requests. They must not be
// changed once they are in use.
type Limits struct {
	// Percent applies to requests that Routes does not name.
	Percent float64
	// Routes maps path prefixes of routes and names of services to percentages. Keys that
	// begin with a slash are prefixes.
	Routes map[string]float64
}

// Off reports whether no request may be hedged.
func (l *Limits) Off() bool {
	if l == nil {
		return true
	}
	for _, percent := range l.Routes {
		if percent > 0 {
			return false
		}
	}
	return l.Percent <= 0
}

// Find returns the limit for a route with the given prefix and service, and the key of the
// account that it is counted in. The longest prefix of the route's comes before the service, and
// the service before the general limit, which each service has for itself.
func (l *Limits) Find(prefix, service string) (key string, percent float64) {
	if l == nil {
		return "", 0
	}
	found := false
	for k, p := range l.Routes {
		if strings.HasPrefix(k, "/") && within(prefix, k) && (!found || len(k) > len(key)) {
			key, percent, found = k, p, true
		}
	}
	if found {
		return key, percent
	}
	if p, ok := l.Routes[service]; ok {
		return service, p
	}
	return service, l.Percent
}

// within reports whether the path of a route lies within a prefix, in whole segments.
func within(path, prefix string) bool {
	return strings.HasPrefix(strings.TrimSuffix(path, "/")+"/", strings.TrimSuffix(prefix, "/")+"/")
}

// account holds the hedges that the operators' limit leaves. It starts empty and gains a
// fixed fraction of a hedge for each request, so that the hedges never exceed the percentage
// of the requests since its start. The limit therefore holds over any number of instances
// that do not hear of each other.
type account struct{ balance float64 }

func (a *account) earn(percent float64) {
	a.balance = min(a.balance+min(percent, MaxPercent)/100, maxSaved)
}

// balanceError allows for the rounding of the sums: fifty times 0.02 is less than 1.
const balanceError = 1e-9

func (a *account) has() bool { return a.balance >= 1-balanceError }

// Budget gives a hedge what a further attempt costs beyond the operators' limit. The retry
// budget of a service implements it.
type Budget interface {
	// TakeHedge takes one hedge and reports whether there was one to spare. Hedges have the
	// lowest precedence: it keeps what a retry may need.
	TakeHedge(now time.Duration) bool
}

// Load is the state of a service at the time of a decision.
type Load struct {
	// Waiting is the number of requests that wait for a target.
	Waiting int
	// Utilization is the fraction of the known slots in use.
	Utilization float64
	// SlowRatio is the fraction of the targets in use at which a request is stalled.
	SlowRatio float64
}

// Decider decides on the hedges of one service. It is not safe for concurrent use.
type Decider struct {
	accounts map[string]*account
	routes   map[string]*latencies
	// shortageAt is the time of the last shortage; hasShortage says that there was one.
	shortageAt  time.Duration
	hasShortage bool
	// sent, won, wasted and refused count hedges since the start, wasted the time for which
	// attempts took a slot whose response was not used.
	sent, won int64
	wasted    time.Duration
	refused   [refusalCount]int64
}

// NewDecider returns a Decider that knows nothing of the service yet.
func NewDecider() *Decider {
	return &Decider{accounts: map[string]*account{}, routes: map[string]*latencies{}}
}

// maxKeys bounds the accounts and the routes with latencies: 256 routes take up to 10 MB.
const maxKeys = 256

// Arrived counts a request that earns a fraction of a hedge in the account.
func (d *Decider) Arrived(key string, percent float64) {
	a := d.accounts[key]
	if a == nil {
		if len(d.accounts) >= maxKeys {
			return
		}
		a = &account{}
		d.accounts[key] = a
	}
	a.earn(percent)
}

// Shortage records that a request waits, or that capacity or a retry was refused.
func (d *Decider) Shortage(now time.Duration) { d.shortageAt, d.hasShortage = now, true }

// Observe records the latency of a complete response to a first attempt, and its size.
func (d *Decider) Observe(route string, latency time.Duration, bytes int64, now time.Duration) {
	if l := d.latencies(route, now); l != nil {
		l.observe(latency, bytes, now)
	}
}

// ObserveCanceled records that a first attempt was cancelled at an age, because a hedge
// responded first.
func (d *Decider) ObserveCanceled(route string, age time.Duration, bytes int64, now time.Duration) {
	if l := d.latencies(route, now); l != nil {
		l.observe(canceledFactor*age, bytes, now)
	}
}

func (d *Decider) latencies(route string, now time.Duration) *latencies {
	l := d.routes[route]
	if l == nil && len(d.routes) < maxKeys {
		l = newLatencies(now)
		d.routes[route] = l
	}
	return l
}

// Delay returns the age of a first attempt at which a hedge is due: before the time at which a
// retry starts beside the attempt anyway, and while the time left for the request still allows a
// usual response. Without such an age it is 0. The age is that which the permitted percentage of
// the requests exceeds, or the next one at which a hedge is likely to respond first.
func (d *Decider) Delay(route string, percent float64, retryIn, left, now time.Duration) time.Duration {
	l := d.routes[route]
	if l == nil || percent <= 0 {
		return 0
	}
	return l.delay(percent, retryIn, left, now)
}

// Question is asked when a hedge is due.
type Question struct {
	// Key is the account of the operators' limit.
	Key, Route string
	// Left is the time up to the deadline of the request.
	Left time.Duration
	Load Load
}

// Ask returns whether a hedge may be sent, before the search for a target. It takes nothing.
func (d *Decider) Ask(q Question, now time.Duration) Refusal {
	l := d.routes[q.Route]
	a := d.accounts[q.Key]
	switch {
	case q.Load.Waiting > 0 || (d.hasShortage && now-d.shortageAt < Hold):
		return d.refuse(Shortage)
	case q.Load.Utilization > maxUtilization:
		return d.refuse(Busy)
	case q.Load.SlowRatio > maxSlowRatio:
		return d.refuse(AllSlow)
	case l == nil || l.usual > q.Left:
		return d.refuse(TooLate)
	case a == nil || !a.has():
		return d.refuse(NoAllowance)
	}
	return Allowed
}

// Take takes a hedge, for which a target was found, from the operators' limit and from the
// budget. Nothing is taken if either has none.
func (d *Decider) Take(key string, budget Budget, now time.Duration) Refusal {
	a := d.accounts[key]
	switch {
	case a == nil || !a.has():
		return d.refuse(NoAllowance)
	case !budget.TakeHedge(now):
		return d.refuse(NoRetry)
	}
	a.balance--
	d.sent++
	return Allowed
}

// RefuseTarget counts a hedge that found no target.
func (d *Decider) RefuseTarget() { d.refuse(NoTarget) }

func (d *Decider) refuse(r Refusal) Refusal {
	d.refused[r]++
	return r
}

// Ended counts the end of a hedged request: whether the hedge responded first, and for how
// long the other attempt took a slot.
func (d *Decider) Ended(won bool, wasted time.Duration) {
	if won {
		d.won++
	}
	d.wasted += wasted
}
