// Package balance chooses the target of each request and bounds retries.
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

// Standings gives the state of the targets of a service; nil means that
// nothing is known. *health.Follower implements it.
type Standings interface {
	Standings(service string) *health.Standings
}

// NoTargetError says that no target of the service can take the request.
type NoTargetError struct {
	Service string
	// Configured, Tried and Full count the targets that exist, that the
	// request tried before, and that have no connection left for this instance.
	Configured, Tried, Full int
}

// Error names the service and the counts.
func (e *NoTargetError) Error() string {
	return fmt.Sprintf("service %q: none of %d targets can take the request (%d tried, %d without a free connection)",
		e.Service, e.Configured, e.Tried, e.Full)
}

// Balancer chooses the less loaded of two random targets. It implements
// proxy.Balancer and is safe for concurrent use.
type Balancer struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *health.Collector
	standings Standings
	budgets   budgets

	table  atomic.Pointer[table]
	tables sync.Mutex // held while table is replaced
	seed   uint64
}

// New returns a balancer. Equal seeds give equal choices.
func New(
	c clock.Clock, viewer control.Viewer, collector *health.Collector, standings Standings, seed uint64,
) *Balancer {
	return &Balancer{
		clock: c, viewer: viewer, collector: collector, standings: standings,
		budgets: budgets{clock: c}, seed: seed,
	}
}

// service holds the state of one service; its mutex guards everything below it.
type service struct {
	name    string
	members int
	zone    string

	mu      sync.Mutex
	random  *rand.Rand
	targets []*target
	scratch []*target
	applied *health.Standings
}

type target struct {
	name, address, zone string
	slots               int
	// connections is this instance's part of the target's connections.
	connections int
	leaving     bool
	observed    *health.Observed

	inFlight int
	standing health.Standing
	// excess is the shared load beyond what is usual in the service.
	excess    float64
	shedAt    time.Duration
	everShed  bool
	trialOpen int
	// trialNext is the earliest time of the next trial request; it is valid
	// when trialSet is true.
	trialNext time.Duration
	trialSet  bool
}

// Acquire chooses a target that is not in tried. Errors are *refusal.Refusal:
// overloaded when only connections are lacking, no_target otherwise.
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
	a := &attempt{balancer: b, service: s, target: t, trial: isTrial}
	t.inFlight++
	t.observed.Begin(&a.open)
	return a, nil
}

// MayRetry spends the route's retry budget.
func (b *Balancer) MayRetry(r proxy.Request) bool { return b.budgets.spend(r.Route) }

func (s *service) refuse(tried []string, full int) error {
	cause := &NoTargetError{Service: s.name, Configured: len(s.targets), Tried: len(tried), Full: full}
	if full > 0 {
		return errors.WithStack(refusal.New(refusal.Overloaded, cause))
	}
	return errors.WithStack(refusal.New(refusal.NoTarget, cause))
}

// apply copies new standings to the targets.
func (s *service) apply(standings *health.Standings) {
	if standings == nil || standings == s.applied {
		return
	}
	s.applied = standings
	for _, t := range s.targets {
		t.standing = standings.Targets[t.name]
		if t.standing.State != peerpb.TargetState_TARGET_STATE_TRIAL {
			t.trialSet = false
		}
	}
	s.shareLoad()
}

// shareLoad derives the excess load of each target from the shared loads.
func (s *service) shareLoad() {
	perSlot := make([]float64, 0, len(s.targets))
	for _, t := range s.targets {
		if t.standing.State == peerpb.TargetState_TARGET_STATE_ACTIVE {
			perSlot = append(perSlot, float64(t.standing.Load)/float64(t.slots))
		}
	}
	usual := 0.0
	if len(perSlot) > 0 {
		slices.Sort(perSlot)
		usual = excessFrom * max(perSlot[len(perSlot)/2], 0.5)
	}
	for _, t := range s.targets {
		t.excess = max(float64(t.standing.Load)-usual*float64(t.slots), 0)
	}
}

// attempt implements proxy.Attempt.
type attempt struct {
	open     health.Open
	balancer *Balancer
	service  *service
	target   *target
	trial    bool
	done     atomic.Bool
}

// Target returns the id of the target.
func (a *attempt) Target() string { return a.target.name }

// Address returns the IP:port of the target.
func (a *attempt) Address() string { return a.target.address }

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
		t.trialOpen--
	}
	if result == proxy.Shed {
		t.shedAt, t.everShed = now, true
	}
	a.service.mu.Unlock()
	a.open.End(outcomeOf(result), latency, health.Load{
		Known: load.Known, InFlight: load.InFlight + load.Queued, Draining: load.Draining,
	})
}

// outcomeOf maps the result of an attempt. NotSent is a failed connection; the
// data path reports its own decisions not to send as Canceled.
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
