package placement

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/allowance"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// RetryRule is the bound on the retries of each service over all instances: in any window,
// at most Ratio x requests + Slack.
type RetryRule struct {
	Ratio  float64
	Window time.Duration
	Slack  float64
}

// retryClass ranks what draws on the retries of a service, the most urgent first.
type retryClass int

const (
	// retryClasses is the number of classes of retries; priorities from retryClasses-1 on
	// share the last one. Trials and hedges come after them.
	retryClasses = 4
	trialClass   = retryClass(retryClasses)
	hedgeClass   = trialClass + 1
)

const (
	// reserveTime is the time for which retries are kept for more urgent classes, at the
	// rate at which these have asked lately, besides what the account may earn too slowly.
	reserveTime = 200 * time.Millisecond
	// trialReserveTime is the time for which a trial leaves what retries want: loans for a
	// rising demand have arrived by then.
	trialReserveTime = time.Second
	// shortfallPart is the part that is kept of what they will want beyond what the account
	// earns while it earns least. Simulated with 55% rejected: with all of it, 0.80 of the urgent
	// and 0.49 of the next requests were served, with half of it 0.79 and 0.50.
	shortfallPart = 0.7
	// maxReserve is the largest part of the capacity that is kept.
	maxReserve = 0.75
	// askTime is the time for which an instance wants to have retries at its rate of demand:
	// below that it borrows, and it lends only what is beyond that. With half of it, trials
	// stopped a fifth of the time while a zone's targets failed (simulated).
	askTime = 2 * time.Second
	// maxLentPart is the part of what an account can spare that it lends at one time, so
	// that a rise of its own demand still finds some.
	maxLentPart = 0.5
	// retryDemandDecay is the time constant of the rates of demand.
	retryDemandDecay = 2 * time.Second
	// hedgeRest is the time after a refused retry of any instance in which no hedge is sent.
	hedgeRest = 2 * time.Second
	// retryReportAge is the age up to which reports of other instances count: two heartbeats
	// between zones.
	retryReportAge = 1100 * time.Millisecond
	// maxLoansReported bounds the loans of a service in one heartbeat, at 14 bytes each.
	maxLoansReported = 16
	// shortTime and littleTime are the times left, in typical latencies, below which a retry
	// gains less: it probably ends late or after the objective.
	shortTime  = 1.0
	littleTime = 2.0
)

// retryAccount is this instance's account of a service's retries, which all instances
// keep together. It answers for targets that reject or fail a large part of the requests, at
// all instances or at few of them, so that more retries are wanted than the rule allows.
type retryAccount struct {
	*allowance.Account
	// demand is the rate of wanted retries by class, granted or not.
	demand [retryClasses]decayingRate
	// refusedAt is the time since boot at which this or another instance last refused a
	// retry; 0 if none has.
	refusedAt time.Duration
	// recent counts what heartbeats report.
	recent recentRetries
	// reports are the last reports of other instances, by name.
	reports map[string]retryReport
	// ask is the number of the current ask, made at askedAt (time since boot), and wanted
	// what it asks for; 0 without one. spare is what this instance can lend.
	ask     uint64
	askedAt time.Duration
	wanted  float64
	spare   float64
	// exchangedAt is the time since boot at which asks and loans were last decided.
	exchangedAt time.Duration
	counts      RetryCounts
}

// retryReport is what another instance has reported at a time since boot.
type retryReport struct {
	ask           uint64
	wanted, spare float64
	at            time.Duration
}

// RetryCounts counts the decisions on the retries of a service since the start.
type RetryCounts struct {
	// Granted and Refused count retries by the priority of their requests; the last element
	// holds all greater priorities. Refused ones lacked credit.
	Granted [retryClasses]uint64 `json:"granted"`
	Refused [retryClasses]uint64 `json:"refused"`
	// Overloaded counts retries that were refused because targets rejected for load.
	Overloaded [retryClasses]uint64 `json:"overloaded"`
	// Hedges and HedgesRefused count hedges.
	Hedges        uint64 `json:"hedges"`
	HedgesRefused uint64 `json:"hedges_refused"`
	// Lent and Borrowed are the retries lent to and borrowed from other instances.
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
}

func newRetryAccount(rule RetryRule, now time.Duration) *retryAccount {
	return &retryAccount{
		Account: allowance.New(allowance.Rule{Ratio: rule.Ratio, Window: rule.Window, Constant: rule.Slack}, now),
		reports: map[string]retryReport{},
	}
}

// priorityIndex returns the index of a priority in RetryCounts.
func priorityIndex(priority int) int { return min(max(priority, 0), retryClasses-1) }

// classOf returns the class of a request's retry. A request that its caller cannot send again
// by itself ranks before others of its priority; one that has little time left ranks after
// them, since its retry probably ends too late.
func classOf(r proxy.Request, typicalLatency, now time.Duration) retryClass {
	class := max(r.Priority, 0)
	if !r.Idempotent {
		class--
	}
	switch left := float64(r.Deadline - now); {
	case left < shortTime*float64(typicalLatency):
		class = retryClasses - 1
	case left < littleTime*float64(typicalLatency):
		class++
	}
	return retryClass(priorityIndex(class))
}

// demandBefore returns the wanted retries per second of the classes more urgent than one.
func (a *retryAccount) demandBefore(class retryClass, now time.Duration) (perSecond float64) {
	for c := range min(class, retryClasses) {
		perSecond += a.demand[c].get(now)
	}
	return perSecond
}

// reserve returns the number of retries that are kept for classes more urgent than the given
// one: what they want in reserveTime, and most of what they want beyond what the account earns
// while it earns least. Without demand of more urgent classes, nothing is kept.
func (a *retryAccount) reserve(class retryClass, capacity float64, now time.Duration) float64 {
	perSecond := a.demandBefore(class, now)
	earned, duration := a.LeastEarned(float64(a.recent.requests.get(now)) / recentSpan.Seconds())
	return min(perSecond*reserveTime.Seconds()+shortfallPart*max(0, perSecond-earned)*duration.Seconds(), maxReserve*capacity)
}

// has reports whether n retries are left for a class beyond those kept for others.
func (a *retryAccount) has(class retryClass, n float64, now time.Duration) bool {
	level, capacity := a.Level(now)
	return level >= n+a.reserve(class, capacity, now)
}

// mayTry reports whether a trial may be sent. It spends nothing by itself, and its retry asks
// for its own, so it leaves only what retries want in trialReserveTime.
func (a *retryAccount) mayTry(now time.Duration) bool {
	level, _ := a.Level(now)
	return level >= trialRetryReserve+a.demandBefore(trialClass, now)*trialReserveTime.Seconds()
}

// spendRetry takes a retry for a request and reports whether one was left.
func (a *retryAccount) spendRetry(r proxy.Request, typicalLatency, now time.Duration) bool {
	class := classOf(r, typicalLatency, now)
	a.demand[class].add(now)
	if !a.has(class, 1, now) || !a.Spend(now) {
		a.counts.Refused[priorityIndex(r.Priority)]++
		a.refuse(now)
		return false
	}
	a.counts.Granted[priorityIndex(r.Priority)]++
	a.recent.retries.add(now)
	return true
}

// refuse records that a retry was refused.
func (a *retryAccount) refuse(now time.Duration) {
	a.refusedAt = now
	a.recent.refused.add(now)
}

// spendHedge takes a retry for a hedge and reports whether one was left that neither retries
// nor trials need.
func (a *retryAccount) spendHedge(now time.Duration) bool {
	rested := a.refusedAt == 0 || now-a.refusedAt >= hedgeRest
	if !rested || !a.has(hedgeClass, trialRetryReserve+1, now) || !a.Spend(now) {
		a.counts.HedgesRefused++
		return false
	}
	a.counts.Hedges++
	return true
}

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

// decayingRate is an exponentially weighted rate of events per second.
type decayingRate struct {
	value     float64
	updatedAt time.Duration
}

func (r *decayingRate) add(now time.Duration) { r.value = r.get(now) + 1/retryDemandDecay.Seconds() }

func (r *decayingRate) get(now time.Duration) float64 {
	if now > r.updatedAt {
		r.value *= math.Exp(-float64(now-r.updatedAt) / float64(retryDemandDecay))
		r.updatedAt = now
	}
	return r.value
}

// SetRetryRule bounds the retries of each service over all instances. Without a rule, each
// instance keeps to its own retryBudget. It must be called before the first request.
func (b *Balancer) SetRetryRule(rule RetryRule) { b.retryRule = &rule }

// earnRetries adds the retries that one new request earns.
func (s *service) earnRetries(now time.Duration) {
	if s.retries == nil {
		s.retryBudget.earn(now)
		return
	}
	s.retries.AddRequest(now)
	s.retries.recent.requests.add(now)
}

// takeRetry takes one retry for the request and reports whether one was left. A retry of a
// rejected request is not sent while the targets reject for load.
func (s *service) takeRetry(r proxy.Request, now time.Duration) bool {
	switch {
	case s.retries == nil:
		return s.retryBudget.spend(now)
	case r.Previous == proxy.Shed && s.shedding.byLoad(s.ordered, now):
		s.retries.counts.Overloaded[priorityIndex(r.Priority)]++
		s.retries.refuse(now)
		return false
	default:
		return s.retries.spendRetry(r, s.typicalLatency, now)
	}
}

// mayTry reports whether enough retries are left for a trial.
func (s *service) mayTry(now time.Duration) bool {
	if s.retries == nil {
		return s.retryBudget.has(trialRetryReserve, now)
	}
	return s.retries.mayTry(now)
}

// SpendHedge takes one retry from the service's account for a hedge, and reports whether one
// was left. Hedges come last: one gets none while requests wait for a target, while
// targets reject for load, within hedgeRest of a refused retry of any instance, or if the
// account has no more than what the retries and trials of the next second need.
func (b *Balancer) SpendHedge(r proxy.Request) bool {
	s := b.service(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := b.clock.SinceBoot()
	b.setRetryShare(s, now)
	switch {
	case len(s.queue) > 0 || s.shedding.byLoad(s.ordered, now):
		return false
	case s.retries == nil:
		return s.retryBudget.has(trialRetryReserve+1, now) && s.retryBudget.spend(now)
	default:
		return s.retries.spendHedge(now)
	}
}

// setRetryShare applies this instance's share of the rule's constant. The caller holds the
// service's mutex.
func (b *Balancer) setRetryShare(s *service, now time.Duration) {
	if s.retries != nil {
		s.retries.SetShare(b.peers.View().FixedShare, now)
	}
}

// fillRetries adds the report of the service's retries to a heartbeat.
func (b *Balancer) fillRetries(s *service, h *peerpb.Heartbeat, to fleet.Audience, now time.Duration) {
	if s.retries != nil && to.Serving() {
		b.setRetryShare(s, now)
		s.retries.forget(now)
		s.retries.fill(s.name, h, now)
	}
}

// mergeRetries applies the reports of another instance.
func (s *service) mergeRetries(from string, reports []*peerpb.ServiceRetries, now time.Duration) {
	if s.retries == nil {
		return
	}
	for _, r := range reports {
		if r.Service == s.name {
			s.retries.merge(from, r, now)
		}
	}
}

// RetryState is the state of a service's retry account, for operators.
type RetryState struct {
	Service string `json:"service"`
	// Level is the number of retries that this instance has, Capacity what it would have if
	// none had been sent lately. Share is its fraction of the rule's constant.
	Level    float64 `json:"level"`
	Capacity float64 `json:"capacity"`
	Share    float64 `json:"share"`
	// Wanted is what it asks others for, Spare what it can lend.
	Wanted float64 `json:"wanted"`
	Spare  float64 `json:"spare"`
	// RejectedForLoad says that targets reject for load, so that rejected requests are not
	// sent again.
	RejectedForLoad bool        `json:"rejected_for_load"`
	Counts          RetryCounts `json:"counts"`
}

// Retries returns the state of the retry accounts; none without a rule.
func (b *Balancer) Retries() []RetryState {
	now := b.clock.SinceBoot()
	var states []RetryState
	for _, s := range b.allServices() {
		s.mu.Lock()
		if a := s.retries; a != nil {
			level, capacity := a.Level(now)
			states = append(states, RetryState{
				Service: s.name, Level: level, Capacity: capacity, Share: b.peers.View().FixedShare, Wanted: a.wanted, Spare: a.spare,
				RejectedForLoad: s.shedding.byLoad(s.ordered, now), Counts: a.counts,
			})
		}
		s.mu.Unlock()
	}
	return states
}
