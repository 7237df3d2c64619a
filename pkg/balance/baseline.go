package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
	"github.com/cockroachdb/errors"
)

const (
	// baselineFailures in a row eject a target at this instance.
	baselineFailures = 5
	// baselineEjection is multiplied by the number of ejections of the target.
	baselineEjection    = 10 * time.Second
	baselineMaxEjection = 60 * time.Second
)

// Baseline is the policy that the others are compared with: round robin, and
// each instance ejects a target for itself after consecutive failures. It
// implements proxy.Balancer and is safe for concurrent use.
type Baseline struct {
	clock   clock.Clock
	viewer  control.Viewer
	budgets budgets

	mu       sync.Mutex
	services map[string]*baselineService
}

type baselineService struct {
	next    int
	targets map[string]*baselineTarget
}

type baselineTarget struct {
	failures  int
	ejections int
	until     time.Duration
}

// NewBaseline returns the baseline policy.
func NewBaseline(c clock.Clock, viewer control.Viewer) *Baseline {
	return &Baseline{clock: c, viewer: viewer, budgets: budgets{clock: c}, services: map[string]*baselineService{}}
}

func (b *Baseline) target(service, target string) *baselineTarget {
	s := b.services[service]
	if s == nil {
		s = &baselineService{targets: map[string]*baselineTarget{}}
		b.services[service] = s
	}
	t := s.targets[target]
	if t == nil {
		t = &baselineTarget{}
		s.targets[target] = t
	}
	return t
}

// Acquire chooses the next target in turn. Errors are *refusal.Refusal (no_target).
func (b *Baseline) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	now := b.clock.SinceBoot()
	if len(tried) == 0 {
		b.budgets.earn(r.Route)
	}
	svc := b.viewer.View().Config.Config.Services[r.Service]
	names := make([]string, 0, len(svc.Targets))
	for name, t := range svc.Targets {
		if !t.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	b.mu.Lock()
	defer b.mu.Unlock()
	for range names {
		name := names[b.turn(r.Service)%len(names)]
		if t := b.target(r.Service, name); now >= t.until && !slices.Contains(tried, name) {
			return &baselineAttempt{
				baseline: b, service: r.Service, name: name, address: svc.Targets[name].Address,
			}, nil
		}
	}
	return nil, errors.WithStack(refusal.New(refusal.NoTarget, &NoTargetError{
		Service: r.Service, Configured: len(svc.Targets), Tried: len(tried),
	}))
}

func (b *Baseline) turn(service string) int {
	b.target(service, "")
	b.services[service].next++
	return b.services[service].next
}

// MayRetry spends the route's retry budget.
func (b *Baseline) MayRetry(r proxy.Request) bool { return b.budgets.spend(r.Route) }

// Ejected tells whether this instance has ejected the target.
func (b *Baseline) Ejected(service, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clock.SinceBoot() < b.target(service, target).until
}

// record counts consecutive failures and ejects within the floor.
func (b *Baseline) record(service, name string, failed bool) {
	now := b.clock.SinceBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(service, name)
	if !failed {
		t.failures = 0
		return
	}
	t.failures++
	if t.failures < baselineFailures || now < t.until || !b.floorAllows(now, service, name) {
		return
	}
	t.failures = 0
	t.ejections++
	t.until = now + min(baselineEjection*time.Duration(t.ejections), baselineMaxEjection)
}

func (b *Baseline) floorAllows(now time.Duration, service, name string) bool {
	svc := b.viewer.View().Config.Config.Services[service]
	total, used := 0, 0
	for other, t := range svc.Targets {
		if t.Leaving {
			continue
		}
		total += t.Slots
		if other != name && now >= b.target(service, other).until {
			used += t.Slots
		}
	}
	return 100*used >= total*svc.FloorPercent
}

type baselineAttempt struct {
	baseline               *Baseline
	service, name, address string
	once                   sync.Once
}

// Target returns the id of the target.
func (a *baselineAttempt) Target() string { return a.name }

// Address returns the IP:port of the target.
func (a *baselineAttempt) Address() string { return a.address }

// Done reports the result. Calls after the first have no effect.
func (a *baselineAttempt) Done(result proxy.Result, _ time.Duration, _ proxy.Load) {
	a.once.Do(func() {
		switch result {
		case proxy.Canceled, proxy.Shed:
		case proxy.Answered:
			a.baseline.record(a.service, a.name, false)
		default:
			a.baseline.record(a.service, a.name, true)
		}
	})
}
