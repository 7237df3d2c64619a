// Package balance chooses the target of each request and limits retries by a
// budget per route.
package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
	"github.com/cockroachdb/errors"
)

// Standings returns the state of the targets of a service; nil means that
// nothing is known. *health.Follower implements it.
type Standings interface {
	Standings(service string) *health.Standings
}

// NoTargetError says that no target of the service can take the request.
type NoTargetError struct {
	Service string
	// Configured, Tried and Full count the targets of the service, those that the
	// request was sent to before, those without a free connection for this instance, and
	// those of evacuated zones.
	Configured, Tried, Full, Evacuated int
}

// Error names the service and the counts.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %q: none of %d targets can take the request (%d tried, %d without a free connection, %d evacuated)",
		e.Service, e.Configured, e.Tried, e.Full, e.Evacuated)
}

// Balancer chooses the less loaded of two random available targets. It implements
// proxy.Balancer and is safe for concurrent use.
type Balancer struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *health.Collector
	standings Standings
	budgets   budgets

	table   atomic.Pointer[table]
	tableMu sync.Mutex // held while table is rebuilt and replaced
	seed    uint64
}

// New returns a balancer. Equal seeds give equal choices for equal calls.
func New(
	c clock.Clock, viewer control.Viewer, collector *health.Collector, standings Standings, seed uint64,
) *Balancer {
	return &Balancer{
		clock: c, viewer: viewer, collector: collector, standings: standings,
		budgets: budgets{clock: c}, seed: seed,
	}
}

// service is the state of one service. mu guards the fields below it.
type service struct {
	name    string
	members int
	zone    string // zone of this instance

	mu               sync.Mutex
	random           *rand.Rand
	targets          []*target
	candidates       []*target // buffer of choose
	appliedStandings *health.Standings
}

type target struct {
	name, address, zone string
	slots               int
	// connectionLimit is the maximum number of connections to the target from this
	// instance: the target's MaxConnections divided by the number of instances, at
	// least 1.
	connectionLimit int
	leaving         bool
	// evacuated says that the target's zone is evacuated.
	evacuated bool
	observed  *health.TargetObservations

	inFlight int
	standing health.Standing
	// excessLoad is the number of requests of all instances at the target beyond
	// excessLoadRatio times the median load per slot of the service (at least 0.5).
	excessLoad float64
	shedAt     time.Duration
	everShed   bool
	openTrials int
	// nextTrial is the earliest time of the next trial request. It is valid if
	// nextTrialSet is true.
	nextTrial    time.Duration
	nextTrialSet bool
}

// Acquire chooses a target that is not in tried. Errors are *refusal.Refusal:
// overloaded if an available target only lacks a free connection, no_target
// otherwise.
func (b *Balancer) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	now := b.clock.SinceBoot()
	if len(tried) == 0 {
		b.budgets.earn(r.Route)
	}
	s := b.current().services[r.Service]
	if s == nil {
		return nil, errors.WithStack(refusal.New(refusal.NoTarget, &NoTargetError{Service: r.Service}))
	}
	standings := b.standings.Standings(r.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(standings)
	t := s.trialTarget(now, r, tried)
	isTrial := t != nil
	if t == nil {
		var full int
		if t, full = s.choose(now, tried); t == nil {
			return nil, s.refuse(tried, full)
		}
	}
	a := &attempt{balancer: b, service: s, target: t, zone: t.zone, trial: isTrial}
	t.inFlight++
	t.observed.Begin(&a.open)
	return a, nil
}

// TakeRetry takes one retry from the route's budget and reports whether it was
// available.
func (b *Balancer) TakeRetry(r proxy.Request) bool { return b.budgets.spend(r.Route) }

// evacuatedRetryAfter is the delay after which a caller should retry when no target is in use
// because of evacuated zones. Nothing tells when the order is withdrawn; a change takes about
// this time to reach all instances.
const evacuatedRetryAfter = time.Second

// refuse returns the refusal of a request for which there is no target.
func (s *service) refuse(tried []string, full int) error {
	cause := &NoTargetError{Service: s.name, Configured: len(s.targets), Tried: len(tried), Full: full}
	for _, t := range s.targets {
		if t.evacuated {
			cause.Evacuated++
		}
	}
	if full > 0 {
		return errors.WithStack(refusal.New(refusal.Overloaded, cause))
	}
	if cause.Evacuated > 0 {
		return errors.WithStack(&refusal.Refusal{Kind: refusal.NoTarget, RetryAfter: evacuatedRetryAfter, Cause: cause})
	}
	return errors.WithStack(refusal.New(refusal.NoTarget, cause))
}

// apply copies new standings to the targets.
func (s *service) apply(standings *health.Standings) {
	if standings == nil || standings == s.appliedStandings {
		return
	}
	s.appliedStandings = standings
	for _, t := range s.targets {
		t.standing = standings.Targets[t.name]
		if t.standing.State != peerpb.TargetState_TARGET_STATE_TRIAL {
			t.nextTrialSet = false
		}
	}
	s.updateExcessLoad()
}

// updateExcessLoad computes the excess load of each target from the reported loads.
func (s *service) updateExcessLoad() {
	perSlot := make([]float64, 0, len(s.targets))
	for _, t := range s.targets {
		if t.standing.State == peerpb.TargetState_TARGET_STATE_ACTIVE {
			perSlot = append(perSlot, float64(t.standing.Load)/float64(t.slots))
		}
	}
	thresholdPerSlot := 0.0
	if len(perSlot) > 0 {
		slices.Sort(perSlot)
		thresholdPerSlot = excessLoadRatio * max(perSlot[len(perSlot)/2], 0.5)
	}
	for _, t := range s.targets {
		t.excessLoad = max(float64(t.standing.Load)-thresholdPerSlot*float64(t.slots), 0)
	}
}

// attempt implements proxy.Attempt.
type attempt struct {
	open     health.OpenRequest
	balancer *Balancer
	service  *service
	target   *target
	// zone is that of the target.
	zone  string
	trial bool
	done  atomic.Bool
}

// Target returns the id of the target.
func (a *attempt) Target() string { return a.target.name }

// Address returns the IP:port of the target.
func (a *attempt) Address() string { return a.target.address }

// Withdrawn reports whether the target's zone has been evacuated since the choice.
func (a *attempt) Withdrawn() bool { return evacuated(a.balancer.viewer, a.zone) }

// evacuated reports whether a zone is evacuated in the current configuration.
func evacuated(viewer control.Viewer, zone string) bool {
	_, ok := viewer.View().Config.Config.EvacuatedZones[zone]
	return ok
}

// Done reports the result. Calls after the first have no effect.
func (a *attempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	if a.done.Swap(true) {
		return
	}
	now := a.balancer.clock.SinceBoot()
	a.service.mu.Lock()
	t := a.target
	t.inFlight--
	if a.trial {
		t.openTrials--
	}
	if result == proxy.Shed {
		t.shedAt, t.everShed = now, true
	}
	a.service.mu.Unlock()
	a.open.End(outcomeOf(result), latency, health.Load{
		Known: load.Known, InFlight: load.InFlight + load.Queued, Draining: load.Draining,
	})
}

// outcomeOf maps the result of an attempt to the outcome for package health.
// NotSent counts as a failure because the connection failed; when the proxy
// itself decides not to send, it reports Canceled.
func outcomeOf(result proxy.Result) health.Outcome {
	switch result {
	case proxy.Answered:
		return health.Good
	case proxy.ServerError, proxy.Broken, proxy.NotSent:
		return health.Failed
	case proxy.TimedOut:
		return health.Stalled
	case proxy.Shed:
		return health.Shed
	default:
		return health.Ignored
	}
}
