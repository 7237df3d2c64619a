package placement

import (
	"math"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/allowance"
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
// nor trials need. loaded says that the targets have no room.
func (a *retryAccount) spendHedge(loaded bool, now time.Duration) bool {
	rested := a.refusedAt == 0 || now-a.refusedAt >= hedgeRest
	if loaded || !rested || !a.has(hedgeClass, trialRetryReserve+1, now) || !a.Spend(now) {
		a.counts.HedgesRefused++
		return false
	}
	a.counts.Hedges++
	return true
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
