package health

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/rs/zerolog"
)

// verdictTTL is the time for which a verdict is followed after it was heard.
const verdictTTL = time.Second

// followedIdleTimeout drops a service that had no report of this instance for this time.
const followedIdleTimeout = 2 * serviceIdleTimeout

// Standing is the state of one target as this instance follows it.
type Standing struct {
	State peerpb.TargetState
	// Load is the number of requests that all instances had open at LoadAt.
	Load   uint32
	LoadAt time.Duration
	// Since is the boot time at which the target became active or cold. Warming
	// is set when it came from another state, so that it needs a slow start.
	Since   time.Duration
	Warming bool
}

// Standings are the states of the targets of one service. They are immutable.
type Standings struct {
	// Evaluator is the incarnation that is followed; empty for own observations.
	Evaluator string
	Targets   map[string]Standing
}

// Follower applies the verdicts of the health evaluators at one instance. It
// is safe for concurrent use.
type Follower struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *Collector
	log       *zerolog.Logger
	// local judges by this instance's own observations.
	local *Evaluator

	evaluatorCache evaluatorCache

	mu sync.Mutex
	// services is replaced, not changed, when a service is added or removed.
	services atomic.Pointer[map[string]*followedService]
}

type followedService struct {
	verdicts map[string]datedVerdict
	// reportedAt is the time of the newest report of this instance.
	reportedAt time.Duration
	// evaluator is the one that was followed last.
	evaluator string
	// appliedVerdict and config tell what the standings were derived from.
	appliedVerdict *peerpb.Verdict
	config         int64
	standings      atomic.Pointer[Standings]
}

type datedVerdict struct {
	reportedAt time.Duration
	verdict    *peerpb.Verdict
}

// NewFollower returns a follower that has heard no verdict.
func NewFollower(c clock.Clock, viewer control.Viewer, collector *Collector, log *zerolog.Logger) *Follower {
	f := &Follower{
		clock: c, viewer: viewer, collector: collector, log: log,
		local: newLocalEvaluator(c, viewer, log),
	}
	f.services.Store(&map[string]*followedService{})
	return f
}

// Standings returns the states of the targets of a service, or nil when
// nothing is known, in which case all targets count as active. It takes no lock.
func (f *Follower) Standings(service string) *Standings {
	if s := (*f.services.Load())[service]; s != nil {
		return s.standings.Load()
	}
	return nil
}

// Hear takes the reply of an evaluator and applies it. asked is the boot time
// at which the report was sent; the verdicts are dated by it.
func (f *Follower) Hear(evaluator string, asked time.Duration, reply *peerpb.ReportReply) {
	now := f.clock.SinceBoot()
	view := f.viewer.View()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range reply.Verdicts {
		svc, ok := view.Config.Config.Services[v.Service]
		if !ok {
			continue
		}
		s := f.service(v.Service)
		if last, ok := s.verdicts[evaluator]; ok && last.reportedAt > asked {
			continue
		}
		s.verdicts[evaluator] = datedVerdict{reportedAt: asked, verdict: v}
		s.standings.Store(f.deriveStandings(now, v.Service, s, svc, view.Membership, view.Config.Version))
	}
}

func (f *Follower) service(name string) *followedService {
	services := *f.services.Load()
	if s := services[name]; s != nil {
		return s
	}
	next := maps.Clone(services)
	next[name] = &followedService{verdicts: map[string]datedVerdict{}, reportedAt: f.clock.SinceBoot()}
	f.services.Store(&next)
	return next[name]
}

// Tick feeds the instance's own observations to its reserve judgement and
// renews the standings of all services.
func (f *Follower) Tick(reports []*peerpb.ServiceReport) {
	now := f.clock.SinceBoot()
	view := f.viewer.View()
	configured := view.Config.Config.Services
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, report := range reports {
		svc, ok := configured[report.Service]
		if !ok {
			continue
		}
		f.service(report.Service).reportedAt = now
		s := f.local.service(report.Service)
		s.mu.Lock()
		s.observe(now, view.Self.Incarnation, svc, report)
		s.mu.Unlock()
	}
	var removed []string
	for name, s := range *f.services.Load() {
		svc, ok := configured[name]
		switch {
		case !ok, now-s.reportedAt > followedIdleTimeout:
			removed = append(removed, name)
		case !s.upToDate(now, f.evaluatorCache.of(view.Membership, name), view.Config.Version):
			s.standings.Store(f.deriveStandings(now, name, s, svc, view.Membership, view.Config.Version))
		}
	}
	f.removeServices(removed)
}

// removeServices drops services that are not configured or have no traffic here.
func (f *Follower) removeServices(names []string) {
	if len(names) == 0 {
		return
	}
	next := maps.Clone(*f.services.Load())
	for _, name := range names {
		delete(next, name)
		f.local.dropService(name)
	}
	f.services.Store(&next)
}

// deriveStandings chooses the verdict to follow and checks the floor again with what
// this instance itself knows.
func (f *Follower) deriveStandings(
	now time.Duration, name string, s *followedService, svc config.Service, m *membership.Membership, version int64,
) *Standings {
	chosen, evaluator := s.chooseVerdict(now, f.evaluatorCache.of(m, name))
	if evaluator != "" && evaluator != s.evaluator {
		if s.evaluator != "" {
			event.EvaluatorChanged.Log(f.log).Str("service", name).Str("evaluator", evaluator).Str("previous", s.evaluator).Send()
		}
		s.evaluator = evaluator
	}
	verdict := chosen.verdict
	reportedAt := chosen.reportedAt
	s.appliedVerdict, s.config = verdict, version
	if verdict == nil {
		verdict, reportedAt = f.localVerdict(now, name, svc), now
	}
	targets := make(map[string]Standing, len(svc.Targets))
	for _, tv := range verdict.Targets {
		targets[tv.Target] = Standing{State: tv.State, Load: tv.Load, LoadAt: reportedAt}
	}
	states := make(map[string]peerpb.TargetState, len(svc.Targets))
	for target := range svc.Targets {
		states[target] = active
		if standing, ok := targets[target]; ok && standing.State != 0 {
			states[target] = standing.State
		}
		if f.collector.Target(name, target).Draining(now) {
			states[target] = draining
		}
	}
	state := func(target string) peerpb.TargetState { return states[target] }
	for _, target := range targetsToRestore(svc, state, func(a, b string) bool { return a < b }) {
		states[target] = active
	}
	next := &Standings{Evaluator: evaluator, Targets: targets}
	for target, st := range states {
		standing := targets[target]
		standing.State = st
		standing.Since, standing.Warming = s.slowStartOf(now, target, st)
		targets[target] = standing
	}
	return next
}

// chooseVerdict returns the verdict of the first evaluator in rank order that was
// heard from recently.
func (s *followedService) chooseVerdict(now time.Duration, evaluators []membership.Member) (datedVerdict, string) {
	for evaluator, h := range s.verdicts {
		if now-h.reportedAt >= verdictTTL {
			delete(s.verdicts, evaluator)
		}
	}
	for _, member := range evaluators {
		if h, ok := s.verdicts[member.Incarnation]; ok {
			return h, member.Incarnation
		}
	}
	return datedVerdict{}, ""
}

// upToDate tells whether the standings still follow from the newest verdict.
func (s *followedService) upToDate(now time.Duration, evaluators []membership.Member, config int64) bool {
	chosen, _ := s.chooseVerdict(now, evaluators)
	return chosen.verdict != nil && chosen.verdict == s.appliedVerdict && config == s.config
}

// localVerdict evaluates the instance's own observations. They name no load.
func (f *Follower) localVerdict(now time.Duration, name string, svc config.Service) *peerpb.Verdict {
	s := f.local.service(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evaluate(now, svc)
	v := &peerpb.Verdict{Service: name}
	for target := range svc.Targets {
		v.Targets = append(v.Targets, &peerpb.TargetVerdict{Target: target, State: s.state(target)})
	}
	return v
}

// warming carries the start of the current state over from the previous
// standings. Targets of an unknown past count as warm.
func (s *followedService) slowStartOf(now time.Duration, target string, state peerpb.TargetState) (time.Duration, bool) {
	last := s.standings.Load()
	if last == nil {
		return now, false
	}
	previous, known := last.Targets[target]
	switch {
	case !known:
		return now, true
	case previous.State == state, previous.State == cold && state == active:
		return previous.Since, previous.Warming
	default:
		return now, state == active || state == cold
	}
}
