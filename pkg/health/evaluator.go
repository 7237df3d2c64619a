package health

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"
)

const (
	// Evaluators is the number of health evaluators of each service.
	Evaluators = 2
	// evaluateEvery bounds the work when many instances report.
	evaluateEvery = 50 * time.Millisecond
	// evaluatorIdle drops a service that no instance has reported for this time.
	evaluatorIdle = 2 * time.Minute
)

// EvaluatorsOf returns the evaluators of a service in rank order.
func EvaluatorsOf(m *membership.Membership, service string) []membership.Member {
	return m.RankSpread("health/"+service, Evaluators)
}

// Evaluator merges the reports of all instances and decides the state of each
// target. It is safe for concurrent use.
type Evaluator struct {
	clock   clock.Clock
	viewer  control.Viewer
	log     *zerolog.Logger
	profile func(config.Service) Profile

	mu       sync.Mutex
	services map[string]*serviceHealth

	roleMu  sync.Mutex
	roleKey roleKey
	roles   map[string]int
}

type roleKey struct {
	config, membership int64
	self               string
}

// NewEvaluator returns an evaluator without observations.
func NewEvaluator(c clock.Clock, viewer control.Viewer, log *zerolog.Logger) *Evaluator {
	return &Evaluator{clock: c, viewer: viewer, log: log, profile: profileOf, services: map[string]*serviceHealth{}}
}

// newAloneEvaluator judges by the observations of one instance only.
func newAloneEvaluator(c clock.Clock, viewer control.Viewer, log *zerolog.Logger) *Evaluator {
	e := NewEvaluator(c, viewer, log)
	e.profile = func(config.Service) Profile { return aloneProfile }
	return e
}

func (e *Evaluator) service(name string) *serviceHealth {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[name]
	if s == nil {
		s = newServiceHealth(name, e.profile, e.log)
		e.services[name] = s
	}
	return s
}

func (e *Evaluator) all() []*serviceHealth {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]*serviceHealth, 0, len(e.services))
	for _, s := range e.services {
		all = append(all, s)
	}
	return all
}

// HandleReport serves the peer call Report. The caller fills in the versions
// of the reply. Services that this instance does not know are left out.
func (e *Evaluator) HandleReport(request *peerpb.ReportRequest) *peerpb.ReportReply {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	reply := &peerpb.ReportReply{}
	for _, report := range request.Services {
		svc, ok := view.Config.Config.Services[report.Service]
		if !ok {
			continue
		}
		if v := e.handle(now, request.From, view.Self.Incarnation, svc, report); v != nil {
			reply.Verdicts = append(reply.Verdicts, v)
		}
	}
	return reply
}

func (e *Evaluator) handle(
	now time.Duration, from, self string, svc config.Service, report *peerpb.ServiceReport,
) *peerpb.Verdict {
	s := e.service(report.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, from, svc, report)
	if now-s.evaluated >= evaluateEvery {
		s.evaluate(now, svc)
	}
	return s.verdict(now, self, svc)
}

// Tick evaluates all services once and drops those that are idle and not
// assigned to this instance.
func (e *Evaluator) Tick() {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	ranks := e.ranks(view)
	for _, s := range e.all() {
		svc, ok := view.Config.Config.Services[s.name]
		s.mu.Lock()
		_, assigned := ranks[s.name]
		idle := !assigned && now-s.lastSeen > evaluatorIdle
		if ok && !idle {
			s.evaluate(now, svc)
		}
		s.mu.Unlock()
		if !ok || idle {
			e.drop(s.name)
		}
	}
}

func (e *Evaluator) drop(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.services, service)
}

// ranks returns the services that this instance evaluates, with its rank.
func (e *Evaluator) ranks(view *control.View) map[string]int {
	key := roleKey{view.Config.Version, view.Membership.Version, view.Self.Incarnation}
	e.roleMu.Lock()
	defer e.roleMu.Unlock()
	if e.roles != nil && e.roleKey == key {
		return e.roles
	}
	roles := map[string]int{}
	for name := range view.Config.Config.Services {
		for rank, member := range EvaluatorsOf(view.Membership, name) {
			if member.Incarnation == view.Self.Incarnation {
				roles[name] = rank
			}
		}
	}
	e.roleKey, e.roles = key, roles
	return roles
}

// DueProbes returns the probes to send now. Each must be answered by
// ProbeDone before the next probe of the same target becomes due.
func (e *Evaluator) DueProbes() []ProbeTask {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	var due []ProbeTask
	for name, rank := range e.ranks(view) {
		s := e.service(name)
		s.mu.Lock()
		due = append(due, s.dueProbes(now, rank, view.Config.Config.Services[name])...)
		s.mu.Unlock()
	}
	return due
}

// ProbeDone records the result of a probe.
func (e *Evaluator) ProbeDone(task ProbeTask, status ProbeStatus) {
	now := e.clock.SinceBoot()
	s := e.service(task.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.targets[task.Target]; t != nil {
		t.probe.done(status, now)
	}
}

// Run evaluates and probes until ctx ends. It returns the error of ctx.
func (e *Evaluator) Run(ctx context.Context, prober Prober) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.probeLoop(ctx, group, prober) })
	group.Go(func() error {
		for {
			if err := e.clock.Sleep(ctx, ReportInterval); err != nil {
				return err
			}
			e.Tick()
		}
	})
	return group.Wait()
}

func (e *Evaluator) probeLoop(ctx context.Context, group *errgroup.Group, prober Prober) error {
	for {
		if err := e.clock.Sleep(ctx, evaluateEvery); err != nil {
			return err
		}
		for _, task := range e.DueProbes() {
			group.Go(func() error {
				bounded, cancel := context.WithTimeout(ctx, ProbeTimeout)
				defer cancel()
				e.ProbeDone(task, prober.Probe(bounded, task.Address, task.Path))
				return nil
			})
		}
	}
}
