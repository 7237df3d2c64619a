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
	// baselineFailures is the number of consecutive failures after which this
	// instance ejects a target.
	baselineFailures = 5
	// The duration of an ejection is baselineEjection times the number of
	// ejections of the target so far, at most baselineMaxEjection.
	baselineEjection    = 10 * time.Second
	baselineMaxEjection = 60 * time.Second
)

// Baseline is the reference policy with which the others are compared: round
// robin, and each instance ejects targets by its own observations after
// consecutive failures. It implements proxy.Balancer and is safe for concurrent
// use.
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
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Duration
}

// NewBaseline returns the baseline policy.
func NewBaseline(c clock.Clock, viewer control.Viewer) *Baseline {
	return &Baseline{clock: c, viewer: viewer, budgets: budgets{clock: c}, services: map[string]*baselineService{}}
}

// target returns the state of the target; it creates it if necessary.
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

// Acquire chooses the next target in round-robin order. Errors are
// *refusal.Refusal (no_target).
func (b *Baseline) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	now := b.clock.SinceBoot()
	if len(tried) == 0 {
		b.budgets.earn(r.Route)
	}
	svc := b.viewer.View().Config.Config.Services[r.Service]
	names := make([]string, 0, len(svc.Targets))
	for name, t := range svc.Targets {
		if !t.OutOfUse() {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	b.mu.Lock()
	defer b.mu.Unlock()
	for range names {
		name := names[b.nextIndex(r.Service)%len(names)]
		if t := b.target(r.Service, name); now >= t.ejectedUntil && !slices.Contains(tried, name) {
			return &baselineAttempt{
				baseline: b, service: r.Service, name: name, address: svc.Targets[name].Address, zone: svc.Targets[name].Zone,
			}, nil
		}
	}
	return nil, errors.WithStack(refusal.New(refusal.NoTarget, &NoTargetError{
		Service: r.Service, Configured: len(svc.Targets), Tried: len(tried),
	}))
}

// nextIndex advances the round-robin counter of the service.
func (b *Baseline) nextIndex(service string) int {
	b.target(service, "")
	b.services[service].next++
	return b.services[service].next
}

// TakeRetry takes one retry from the route's budget and reports whether it was
// available.
func (b *Baseline) TakeRetry(r proxy.Request) bool { return b.budgets.spend(r.Route) }

// Ejected reports whether this instance has ejected the target.
func (b *Baseline) Ejected(service, target string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.clock.SinceBoot() < b.target(service, target).ejectedUntil
}

// record counts consecutive failures and ejects the target after too many, if
// the floor allows it.
func (b *Baseline) record(service, name string, failed bool) {
	now := b.clock.SinceBoot()
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.target(service, name)
	if !failed {
		t.consecutiveFailures = 0
		return
	}
	t.consecutiveFailures++
	if t.consecutiveFailures < baselineFailures || now < t.ejectedUntil || !b.floorAllows(now, service, name) {
		return
	}
	t.consecutiveFailures = 0
	t.ejections++
	t.ejectedUntil = now + min(baselineEjection*time.Duration(t.ejections), baselineMaxEjection)
}

// floorAllows reports whether the other targets that are not ejected have at least
// FloorPercent of the service's slots.
func (b *Baseline) floorAllows(now time.Duration, service, name string) bool {
	svc := b.viewer.View().Config.Config.Services[service]
	total, used := 0, 0
	for other, t := range svc.Targets {
		if t.OutOfUse() {
			continue
		}
		total += t.Slots
		if other != name && now >= b.target(service, other).ejectedUntil {
			used += t.Slots
		}
	}
	return 100*used >= total*svc.FloorPercent
}

type baselineAttempt struct {
	baseline                     *Baseline
	service, name, address, zone string
	once                         sync.Once
}

// Target returns the id of the target.
func (a *baselineAttempt) Target() string { return a.name }

// Address returns the IP:port of the target.
func (a *baselineAttempt) Address() string { return a.address }

// Withdrawn reports whether the target's zone has been evacuated since the choice.
func (a *baselineAttempt) Withdrawn() bool { return evacuated(a.baseline.viewer, a.zone) }

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
