package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// Costs that choose adds up for each target, in units of the time that one request
// takes on one slot.
const (
	// sameZoneCost (other targets of the zone) and otherZoneCost (targets of other
	// zones) keep requests at preferred targets while these have a free slot; a
	// target in another zone also costs traffic between zones.
	sameZoneCost  = 0.55
	otherZoneCost = 1.1
	// queueCost keeps requests from queueing at a target while another one has a
	// free slot.
	queueCost = 1.0
	// failureCost is the weight of the failure probability for a request that may
	// not be retried or was retried already, retryCost the weight for one that may
	// still be retried.
	failureCost = 8.0
	retryCost   = 4.0
	// stallCost keeps requests from targets at which a request is stalled.
	stallCost = 3.0
	// tieWidth is the difference in cost up to which targets count as equal; the
	// choice among them is random.
	tieWidth = 0.02
)

// trialThreshold is the failure probability from which a preferred target gets
// trials by idempotent requests before other requests go there. A healthy target's
// probability rises to it 1.3 s after a success that left it at 0, or 0.9 s after one
// that left it at minFailProb.
const trialThreshold = 0.03

// doubtThreshold is the failure probability from which a target is doubtful: it
// gets another trial at once after a good response, because failing targets answer
// some requests, too.
const doubtThreshold = 0.1

// trialRetryReserve is the number of retries that must be left in the budget for a
// trial: one for the trial, and one for a request that fails meanwhile.
const trialRetryReserve = 2

const (
	// typicalLatencyWeight is the weight of one latency in the exponentially weighted
	// typical latency of a service. The first ones weigh more: the assumed latency at the
	// start counts like assumedLatencies of them.
	typicalLatencyWeight = 0.03
	assumedLatencies     = 4
	// assumedLatencyDivisor times the assumed latency of a service is the objective of its
	// first request. Objectives are about four times what a request takes.
	assumedLatencyDivisor = 4
	// defaultAssumedLatency is that of a service whose first request has no objective.
	defaultAssumedLatency = 100 * time.Millisecond
)

// service is the state of one service at this instance.
type service struct {
	name string

	// mu guards the fields below and the state of the targets.
	mu      sync.Mutex
	targets map[string]*target
	// unlisted are the targets that left the catalogue within unlistedMemory.
	unlisted map[targetRun]*target
	// ordered holds the targets in the order of their ids.
	ordered []*target
	// byDistance groups the targets: preferred ones, others of the same zone, and
	// those of other zones.
	byDistance [distanceCount][]*target
	// catalogueVersion and viewVersion are the versions from which ordered and
	// byDistance were built.
	catalogueVersion, viewVersion uint64
	// self is the name of this instance. reassign says that the owners of targets may have
	// changed since, and reassignAt is the time since boot at which that is next due.
	self       string
	reassign   bool
	reassignAt time.Duration
	// unreached are the targets of the zone that this instance does not reach.
	// unreachedElsewhere says that another instance may have reported some.
	unreached          []*target
	unreachedElsewhere bool
	// evacuations is that of the balancer, evacuatedZones says for each zone with listed
	// targets whether it was evacuated when their owners were last assigned.
	evacuations    Evacuations
	evacuatedZones map[string]bool
	// typicalLatency is the weighted average latency of good responses, of which
	// latencyCount were counted. It is 0 before the first request.
	typicalLatency time.Duration
	latencyCount   int
	// queue holds the requests that wait for a target with free capacity.
	queue       waitQueue
	retryBudget retryBudget
	// hedges decides on hedges; nil as long as none were permitted.
	hedges *hedge.Decider
	// retries is the account that replaces retryBudget if there is a rule for all instances;
	// nil otherwise.
	retries  *retryAccount
	shedding shedding
	// outcomes counts the recent requests and failures.
	outcomes outcomes
	// arrivals is the rate of requests, suspectCredit the number of requests that
	// may be sent to doubtful targets now to keep these in use.
	arrivals      arrivalRate
	suspectCredit float64
	// idempotentArrivals is the rate of idempotent requests.
	idempotentArrivals arrivalRate
	// coldRate is what the configuration sets for cold targets. seeded says that targets of
	// the service have been listed: one that is new from then on may be cold.
	coldRate ColdRate
	seeded   bool
	// sharesVersion is the version of the view from which shares of the rates for cold
	// targets were taken.
	sharesVersion uint64
	// unsure says that this instance cannot know which targets are cold, as it was set for
	// unsureTargets targets.
	unsure        bool
	unsureTargets int
	// unsureUntil is the time since boot up to which that holds after this instance was cut off.
	unsureUntil time.Duration
	// sizes are the sizes of responses by route.
	sizes responseSizes
	// candidates is choose's buffer, kept to avoid an allocation per request.
	candidates []candidate
}

// Distances of targets, indexes of byDistance and distanceCost.
const (
	distancePreferred = iota
	distanceSameZone
	distanceOtherZone
	distanceCount
)

// distanceCost is the cost that each distance adds to a target's cost.
var distanceCost = [distanceCount]float64{distancePreferred: 0, distanceSameZone: sameZoneCost, distanceOtherZone: otherZoneCost}

// maxCompared bounds the targets of each distance other than preferred that a
// choice compares: with thousands of targets, checking each took most of the time of
// a request. The best of this many random ones is close to the best of all.
const maxCompared = 32

// randomOffset returns a random index to start at among n targets.
func randomOffset(n int) int {
	if n == 0 {
		return 0
	}
	return rand.IntN(n)
}

func (t *target) distance() int {
	switch {
	case t.preferred:
		return distancePreferred
	case t.sameZone:
		return distanceSameZone
	default:
		return distanceOtherZone
	}
}

// candidate is a target that choose compares, with its cost for the request.
type candidate struct {
	target *target
	cost   float64
}

func newService(name string, now time.Duration) *service {
	return &service{name: name, targets: map[string]*target{}, unlisted: map[targetRun]*target{}, sizes: responseSizes{}, retryBudget: newRetryBudget(now)}
}

// assignPreferred assigns each target to one serving instance of its zone, which
// prefers it. It does so round-robin, so that all instances prefer about the same
// number of targets; those with few requests prefer none, since they could not keep
// them in use, and a target that its instance does not reach goes to the next one. Targets
// of a zone in which no instance reaches targets are divided among those of all zones. Targets
// of an evacuated zone have no owner.
func (s *service) assignPreferred(v *fleet.View, now time.Duration) {
	byZone := map[string][]*target{}
	s.reassign, s.reassignAt, s.unreached, s.unreachedElsewhere = false, 0, s.unreached[:0], false
	for _, t := range s.ordered {
		if next := t.reach.prune(now); next > 0 && (s.reassignAt == 0 || next < s.reassignAt) {
			s.reassignAt = next
		}
		lost := t.reach.lost(s.self, now)
		if lost {
			s.unreached = append(s.unreached, t)
		}
		s.unreachedElsewhere = s.unreachedElsewhere || len(t.reach.until) > 1 || (len(t.reach.until) == 1 && !lost)
		t.sameZone = t.entry.Zone == v.Self.Zone
		byZone[t.entry.Zone] = append(byZone[t.entry.Zone], t)
	}
	s.leaveOutEvacuated(byZone, now)
	s.assignCold(v, now)
	for zone, targets := range byZone {
		owners, sharing := responsible(v, zone)
		if len(owners) == 0 {
			// No instance is known to serve, and callers that come here have nowhere to go.
			for _, t := range targets {
				t.preferred = false
				t.limit.assign(1, false, now)
			}
			continue
		}
		ownerOf := make([]fleet.Member, len(targets))
		for i, t := range targets {
			ownerOf[i] = owners[t.reach.owner(owners, i, now)]
			t.preferred = ownerOf[i].Instance == v.Self.Instance
		}
		for i, d := range divideRates(v, v.Busy(zone), sharing, ownerOf) {
			targets[i].limit.assign(d.share(v.Self), d.holder.Instance == v.Self.Instance, now)
		}
	}
	for d := range s.byDistance {
		s.byDistance[d] = s.byDistance[d][:0]
	}
	for _, t := range s.ordered {
		d := t.distance()
		s.byDistance[d] = append(s.byDistance[d], t)
	}
}

// responsible returns the instances that share the ownership of a zone's targets, and those
// that share the rates that these name. An instance without paths owns no target, but keeps
// its part of the rates: it serves its callers through others.
func responsible(v *fleet.View, zone string) (owners, sharing []fleet.Member) {
	owners, sharing = v.Owners(zone), v.InZone(zone)
	if len(owners) == 0 {
		owners = v.Attached(v.Peers)
	}
	if len(owners) == 0 {
		owners = v.Peers
	}
	if len(sharing) == 0 {
		sharing = v.Peers
	}
	return owners, sharing
}

// choose returns the target for a request: one that is due for a trial, has been out of use
// for too long or was unreachable, else one with the lowest cost, or nil when all usable
// targets are full. noneUsable says that there is no usable target at all.
func (s *service) choose(r proxy.Request, tried []string, now time.Duration) (chosen *target, noneUsable bool) {
	if len(tried) == 0 {
		if t := s.trial(r, now); t != nil {
			return t, false
		}
		if t := s.outOfUse(r.Idempotent, now); t != nil {
			return t, false
		}
		if t := s.reachTest(now); t != nil {
			return t, false
		}
	}
	s.candidates = s.candidates[:0]
	noneUsable = true
	lowestCost := math.Inf(1)
	for d, targets := range s.byDistance {
		zoneCost := distanceCost[d]
		if d == distanceOtherZone {
			zoneCost += s.sizes.zoneCost(r.Route)
		}
		if lowestCost <= zoneCost {
			// Targets at this and greater distances cost more in any case.
			break
		}
		compared := 0
		for i, first := 0, randomOffset(len(targets)); i < len(targets) && (d == distancePreferred || compared < maxCompared); i++ {
			t := targets[(first+i)%len(targets)]
			o := t.obstacle(maxLoadPerSlot, now)
			if o.excludes() || slices.Contains(tried, t.entry.ID) {
				continue
			}
			noneUsable = false
			if o == noObstacle {
				compared++
				cost := zoneCost + s.cost(t, r.Idempotent && len(tried) == 0, now)
				s.candidates = append(s.candidates, candidate{t, cost})
				lowestCost = min(lowestCost, cost)
			}
		}
	}
	if len(s.candidates) == 0 {
		return nil, noneUsable
	}
	best := slices.MinFunc(s.candidates, func(a, b candidate) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		default:
			return 0
		}
	})
	ties := 0
	for _, c := range s.candidates {
		if c.cost > best.cost+tieWidth {
			continue
		}
		ties++
		if rand.IntN(ties) == 0 {
			chosen = c.target
		}
	}
	return chosen, false
}

// cost returns the expected cost of a request at the target, from load, queueing,
// failures and stalls, without its distance. retryable says that the request may still be retried.
func (s *service) cost(t *target, retryable bool, now time.Duration) float64 {
	load := t.load(now)
	cost := (load + 1) / float64(t.entry.Slots) * t.slowdown(now)
	if load >= float64(t.entry.Slots) {
		cost += queueCost
	}
	weight := failureCost
	if retryable {
		weight = retryCost
	}
	cost += weight * excessFailProb(t.failProb(now))
	if t.stalled(now, s.typicalLatency) {
		cost += stallCost
	}
	cost += t.cold.rampCost(now)
	return cost
}

// trial returns the preferred target that is due for a trial and had a request
// longest ago, or nil. Only preferred targets get trials, so that one instance sends
// them, and trials are mostly idempotent requests, which can be retried. A new target
// must not wait forever for an idempotent request, as some services have none.
func (s *service) trial(r proxy.Request, now time.Duration) *target {
	var oldest *target
	for _, t := range s.byDistance[distancePreferred] {
		if t.obstacle(idleLoadPerSlot, now) != noObstacle || !t.trialDue(r.Idempotent, now) {
			continue
		}
		if oldest == nil || max(t.lastTrialAt, t.lastUsedAt) < max(oldest.lastTrialAt, oldest.lastUsedAt) {
			oldest = t
		}
	}
	if oldest == nil || (r.Idempotent && !s.mayTry(now)) {
		return nil
	}
	oldest.lastTrialAt = now
	return oldest
}

// recordArrival counts a new request with the given objective.
func (s *service) recordArrival(idempotent bool, objective, now time.Duration) {
	if s.typicalLatency == 0 {
		s.typicalLatency = defaultAssumedLatency
		if objective > 0 {
			s.typicalLatency = objective / assumedLatencyDivisor
		}
	}
	s.arrivals.add(now)
	if idempotent {
		s.idempotentArrivals.add(now)
	}
	credit := suspectCreditPerRequest
	if s.outcomes.degraded(now) {
		credit = degradedCreditPerRequest
	}
	s.suspectCredit = min(s.suspectCredit+credit, 1)
}

// observeLatency updates the target's slowness and the service's typical latency
// with the latency of a good response.
func (s *service) observeLatency(t *target, latency, now time.Duration) {
	t.own.observeLatency(float64(latency)/float64(max(s.typicalLatency, time.Millisecond)), now)
	weight := max(typicalLatencyWeight, 1/float64(assumedLatencies+s.latencyCount+1))
	s.latencyCount++
	s.typicalLatency += time.Duration(weight * float64(latency-s.typicalLatency))
}
