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
	// EvaluatorsPerService is the number of health evaluators of each service.
	EvaluatorsPerService = 2
	// evaluateInterval is the minimum time between two evaluations of a service
	// that are triggered by reports, so that many reporting instances do not
	// multiply the work. It is also the interval of the check for due probes.
	evaluateInterval = 50 * time.Millisecond
	// evaluatorIdleTimeout is the time without a report after which an instance
	// that is not an evaluator of a service drops its observations.
	evaluatorIdleTimeout = 2 * time.Minute
)

// EvaluatorsOf returns the evaluators of a service in rank order. Instances follow
// the verdict of the first one that they have a recent verdict from.
func EvaluatorsOf(m *membership.Membership, service string) []membership.Member {
	return m.RankAcrossZones("health/"+service, EvaluatorsPerService)
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

	// rankMu guards rankCacheKey and rankByService.
	rankMu       sync.Mutex
	rankCacheKey rankCacheKey
	// rankByService caches the result of ranks for rankCacheKey.
	rankByService map[string]int
}

// rankCacheKey holds the versions and the incarnation that ranks depend on.
type rankCacheKey struct {
	config, membership int64
	self               string
}

// NewEvaluator returns an evaluator without observations.
func NewEvaluator(c clock.Clock, viewer control.Viewer, log *zerolog.Logger) *Evaluator {
	return &Evaluator{clock: c, viewer: viewer, log: log, profile: profileOf, services: map[string]*serviceHealth{}}
}

// newLocalEvaluator returns an evaluator for the observations of one instance only.
func newLocalEvaluator(c clock.Clock, viewer control.Viewer, log *zerolog.Logger) *Evaluator {
	e := NewEvaluator(c, viewer, log)
	e.profile = func(config.Service) Profile { return localProfile }
	return e
}

// service returns the state of a service and creates it when it is missing.
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

// HandleReport serves the peer call Report. The caller fills in the versions of
// the reply. The reply omits services that are not configured at this instance
// and those without a verdict yet.
func (e *Evaluator) HandleReport(request *peerpb.ReportRequest) *peerpb.ReportReply {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	reply := &peerpb.ReportReply{}
	for _, report := range request.Services {
		svc, ok := view.Config.Config.Services[report.Service]
		if !ok {
			continue
		}
		if v := e.observeAndDecide(now, request.From, view.Self.Incarnation, svc, report); v != nil {
			reply.Verdicts = append(reply.Verdicts, v)
		}
	}
	return reply
}

// observeAndDecide merges a report, evaluates the service unless that happened
// within evaluateInterval, and returns the verdict or nil.
func (e *Evaluator) observeAndDecide(
	now time.Duration, from, self string, svc config.Service, report *peerpb.ServiceReport,
) *peerpb.Verdict {
	s := e.service(report.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.observe(now, from, svc, report)
	if now-s.evaluatedAt >= evaluateInterval {
		s.evaluate(now, svc)
	}
	return s.verdict(now, self, svc)
}

// EvaluateAll evaluates all services once. It drops services that are no longer
// configured, and idle ones that this instance is not an evaluator of.
func (e *Evaluator) EvaluateAll() {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	ranks := e.ranks(view)
	for _, s := range e.all() {
		svc, ok := view.Config.Config.Services[s.name]
		s.mu.Lock()
		_, assigned := ranks[s.name]
		idle := !assigned && now-s.lastReportAt > evaluatorIdleTimeout
		if ok && !idle {
			s.evaluate(now, svc)
		}
		s.mu.Unlock()
		if !ok || idle {
			e.dropService(s.name)
		}
	}
}

func (e *Evaluator) dropService(service string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.services, service)
}

// ranks returns the rank of this instance by service, for the services that it is
// an evaluator of. Rank 0 is the first evaluator.
func (e *Evaluator) ranks(view *control.View) map[string]int {
	key := rankCacheKey{view.Config.Version, view.Membership.Version, view.Self.Incarnation}
	e.rankMu.Lock()
	defer e.rankMu.Unlock()
	if e.rankByService != nil && e.rankCacheKey == key {
		return e.rankByService
	}
	rankByService := map[string]int{}
	for name := range view.Config.Config.Services {
		for rank, member := range EvaluatorsOf(view.Membership, name) {
			if member.Incarnation == view.Self.Incarnation {
				rankByService[name] = rank
			}
		}
	}
	e.rankCacheKey, e.rankByService = key, rankByService
	return rankByService
}

// DueProbes returns the probes to send now. The caller must pass the result of
// each to ProbeDone; until then no further probe of the same target is due.
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

// Run evaluates all services every ReportInterval and sends due probes until ctx
// ends. It returns the error of ctx.
func (e *Evaluator) Run(ctx context.Context, prober Prober) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return e.probeLoop(ctx, group, prober) })
	group.Go(func() error {
		for {
			if err := e.clock.Sleep(ctx, ReportInterval); err != nil {
				return err
			}
			e.EvaluateAll()
		}
	})
	return group.Wait()
}

func (e *Evaluator) probeLoop(ctx context.Context, group *errgroup.Group, prober Prober) error {
	for {
		if err := e.clock.Sleep(ctx, evaluateInterval); err != nil {
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
