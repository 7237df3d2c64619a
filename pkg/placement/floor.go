package placement

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// The platform's floor: in any 2 s in which between a tenth and half of a service's
// requests fail, 70% of the healthy targets have to be in use. Failures rise within
// such a span, so the targets have to be in use beforehand: each serving instance
// keeps its preferred targets in use at all times, and these are all targets
// together.
const (
	// floorSpan is the time within which a healthy target must have had a request, and
	// floorRest the time after a failure before the target counts as healthy again.
	floorSpan = 2 * time.Second
	floorRest = 2 * time.Second
	// floorMargin is the part of floorSpan that is left for the delivery of the request.
	floorMargin = 200 * time.Millisecond
	// requestsWaited is the number of expected requests before the span ends at which
	// a target is due: without any arrival in that time, it is late.
	requestsWaited = 2.0
	// maxEarly bounds how long before the end of its span a target is due.
	maxEarly = 1200 * time.Millisecond
	// probableFailProb is the failure probability from which a target that has failed
	// a request probably fails the next one, too. A target that was verified has less
	// after one failure: healthy targets fail some requests and must not be left out
	// for that.
	probableFailProb = 0.75
	// degradedFailureRatio is the failure ratio from which a service counts as
	// degraded. It lies below the tenth from which the floor applies. Below
	// calmFailureRatio, a target that probably fails is left alone for calmRest: the
	// 30% of the targets that may be out of use leave time to spare requests.
	degradedFailureRatio = 0.08
	calmFailureRatio     = 0.02
	calmRest             = 6 * time.Second
	// minRateInUse is the number of requests per second and target below which an
	// instance does not keep all of its targets in use. Each target in use costs a
	// request when it begins to fail, two or three in a minute; with fewer requests,
	// these alone would be most of the tenth from which the floor applies.
	minRateInUse = 1.0
	// suspectCreditPerRequest bounds the fraction of the requests that are sent to
	// doubtful targets to keep these in use, so that the failures there stay below the
	// tenth from which the floor applies. While a service is degraded, it applies in any
	// case, and degradedCreditPerRequest is enough for half of the targets.
	suspectCreditPerRequest  = 0.1
	degradedCreditPerRequest = 0.2
	// idempotentPerDoubtful is the number of idempotent requests expected within floorSpan
	// for each doubtful target from which these targets get no other requests. A failed
	// idempotent request can be retried; any other one is lost.
	idempotentPerDoubtful = 2.0
)

// outOfUse returns the preferred target that should get the next request to keep
// enough of the targets in use, or nil. Trusted targets come first, since a
// request costs least there, and doubtful ones get idempotent requests if there are enough.
func (s *service) outOfUse(idempotent bool, now time.Duration) *target {
	arrivals := s.arrivals.get(now)
	due, doubtfulDue := idleLimit(arrivals), idleLimit(arrivals)
	idempotentOnly := s.idempotentSuffice(now)
	if idempotentOnly {
		doubtfulDue = idleLimit(s.idempotentArrivals.get(now))
	}
	suspectDue := floorRest + doubtfulDue
	switch {
	case s.outcomes.degraded(now):
		suspectDue = doubtfulDue
	case s.outcomes.calm(now):
		suspectDue = calmRest
	}
	usable := 0
	var trusted, doubtful *target
	for _, t := range s.byDistance[distancePreferred] {
		o := t.obstacle(idleLoadPerSlot, now)
		if o.excludes() {
			continue
		}
		usable++
		idle := now - t.lastUsedAt
		switch {
		case o != noObstacle || t.neverUsed(): // a new target gets a trial first
		case t.failedProb == 0:
			if idle >= due {
				trusted = longerIdle(trusted, t)
			}
		case idle < doubtfulDue:
		case now-max(t.lastUsedAt, t.failedAt) >= suspectDue || t.failedProb < probableFailProb:
			doubtful = longerIdle(doubtful, t)
		}
	}
	switch {
	case arrivals < minRateInUse*float64(usable):
		return nil
	case trusted != nil:
		return trusted
	case doubtful != nil && s.suspectCredit >= 1 && (idempotent || !idempotentOnly):
		s.suspectCredit--
		return doubtful
	default:
		return nil
	}
}

// idleLimit returns the time without a request from which a target is due, if requests that
// it may get arrive at a rate per second.
func idleLimit(arrivals float64) time.Duration {
	return floorSpan - floorMargin - min(time.Duration(requestsWaited/max(arrivals, 1)*float64(time.Second)), maxEarly)
}

// idempotentSuffice reports whether idempotent requests alone can keep the doubtful targets
// in use.
func (s *service) idempotentSuffice(now time.Duration) bool {
	doubtful := 0
	for _, t := range s.byDistance[distancePreferred] {
		if t.failedProb > 0 {
			doubtful++
		}
	}
	return s.idempotentArrivals.get(now)*floorSpan.Seconds() >= idempotentPerDoubtful*float64(doubtful)
}

// longerIdle returns the target that had a request longer ago; a may be nil.
func longerIdle(a, b *target) *target {
	if a == nil || b.lastUsedAt < a.lastUsedAt {
		return b
	}
	return a
}

const (
	// arrivalsDecay is the time constant of a service's request rate, long enough that
	// at a few requests per second its error is a quarter. minArrivalTime is the time
	// since the first request that the average covers at least.
	arrivalsDecay  = 6 * time.Second
	minArrivalTime = time.Second
	// recentDecay and usualDecay are the time constants of the counts that tell
	// whether a service is degraded and whether it is calm.
	recentDecay = 2 * time.Second
	usualDecay  = 10 * time.Second
	// minRecent and minUsual are the numbers of requests below which failures count as
	// a fraction of this many: two failures at once make a service degraded and end
	// its calm, one does not.
	minRecent = 15.0
	minUsual  = 20.0
)

// arrivalRate is an exponentially weighted average of the requests per second since
// the first request. The zero value counts nothing.
type arrivalRate struct {
	value              float64
	firstAt, updatedAt time.Duration
}

func (r *arrivalRate) add(now time.Duration) {
	if r.firstAt == 0 {
		r.firstAt = now
	}
	r.decay(now)
	r.value += 1 / arrivalsDecay.Seconds()
}

func (r *arrivalRate) get(now time.Duration) float64 {
	r.decay(now)
	age := now - r.firstAt + minArrivalTime
	return r.value / (1 - math.Exp(-float64(age)/float64(arrivalsDecay)))
}

func (r *arrivalRate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.value *= math.Exp(-float64(now-r.updatedAt) / float64(arrivalsDecay))
		r.updatedAt = now
	}
}

// outcomes counts requests and those that failed, with weights that decay with time.
// The zero value counts nothing.
type outcomes struct {
	recent, usual decayingCounts
	// elsewhere is the sum of the other serving instances' recent counts, reported what
	// each of them reported last, by its name.
	elsewhere decayingCounts
	reported  map[string]decayingCounts
}

// add counts the result of a request's last attempt.
func (o *outcomes) add(failed bool, now time.Duration) {
	o.recent.add(failed, recentDecay, now)
	o.usual.add(failed, usualDecay, now)
}

// merge applies the recent counts of another instance.
func (o *outcomes) merge(from string, requests, failures float64, now time.Duration) {
	if o.reported == nil {
		o.reported = map[string]decayingCounts{}
	}
	old := o.reported[from]
	old.decay(recentDecay, now)
	o.elsewhere.decay(recentDecay, now)
	o.elsewhere.requests = max(0, o.elsewhere.requests+requests-old.requests)
	o.elsewhere.failures = max(0, o.elsewhere.failures+failures-old.failures)
	o.reported[from] = decayingCounts{requests, failures, now}
}

// forget removes what instances reported that no longer serve. Their counts decay.
func (o *outcomes) forget(v *fleet.View) {
	maps.DeleteFunc(o.reported, func(from string, _ decayingCounts) bool {
		return !slices.ContainsFunc(v.Peers, func(m fleet.Member) bool { return m.Instance == from })
	})
}

// degraded reports whether so many requests have just failed that the floor may apply, in
// the fleet or at this instance: the floor counts all requests of the service, and
// failures may come to few instances first.
func (o *outcomes) degraded(now time.Duration) bool {
	if o.recent.failureRatio(minRecent, recentDecay, now) >= degradedFailureRatio {
		return true
	}
	o.elsewhere.decay(recentDecay, now)
	all := decayingCounts{o.recent.requests + o.elsewhere.requests, o.recent.failures + o.elsewhere.failures, now}
	return all.failureRatio(minRecent, recentDecay, now) >= degradedFailureRatio
}

// calm reports whether hardly any request has failed for some time.
func (o *outcomes) calm(now time.Duration) bool {
	return o.usual.failureRatio(minUsual, usualDecay, now) < calmFailureRatio
}

type decayingCounts struct {
	requests, failures float64
	updatedAt          time.Duration
}

func (c *decayingCounts) add(failed bool, timeConstant, now time.Duration) {
	c.decay(timeConstant, now)
	c.requests++
	if failed {
		c.failures++
	}
}

// failureRatio returns the fraction of the counted requests, at least minRequests, that
// failed.
func (c *decayingCounts) failureRatio(minRequests float64, timeConstant, now time.Duration) float64 {
	c.decay(timeConstant, now)
	return c.failures / max(c.requests, minRequests)
}

func (c *decayingCounts) decay(timeConstant, now time.Duration) {
	if now > c.updatedAt {
		remaining := math.Exp(-float64(now-c.updatedAt) / float64(timeConstant))
		c.requests, c.failures, c.updatedAt = c.requests*remaining, c.failures*remaining, now
	}
}

// minReportedRequests is the weight of an instance's requests for a service from which
// heartbeats report them.
const minReportedRequests = 0.5

// fillOutcomes adds the recent requests for the service.
func (s *service) fillOutcomes(h *peerpb.Heartbeat, now time.Duration) {
	recent := &s.outcomes.recent
	recent.decay(recentDecay, now)
	if recent.requests >= minReportedRequests {
		h.Outcomes = append(h.Outcomes, &peerpb.ServiceOutcomes{
			Service: s.name, Requests: float32(recent.requests), Failures: float32(recent.failures),
		})
	}
}

// mergeOutcomes applies what another instance reports of its recent requests.
func (s *service) mergeOutcomes(from string, outcomes []*peerpb.ServiceOutcomes, now time.Duration) {
	for _, o := range outcomes {
		requests, failures := float64(o.Requests), float64(o.Failures)
		if o.Service == s.name && failures >= 0 && failures <= requests && !math.IsInf(requests, 0) {
			s.outcomes.merge(from, requests, failures, now)
		}
	}
}
