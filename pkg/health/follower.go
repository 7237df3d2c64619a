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

// verdictTTL is the time for which a verdict is followed, counted from the sending
// of the report that it answers.
const verdictTTL = time.Second

// followedIdleTimeout is the time without a report of this instance after which
// the follower drops a service.
const followedIdleTimeout = 2 * serviceIdleTimeout

// Standing is the state and load of one target that this instance routes by.
type Standing struct {
	State peerpb.TargetState
	// Load is the average number of requests that all instances together had open
	// at the target. LoadAt is the time since boot of this value.
	Load   uint32
	LoadAt time.Duration
	// Since is the time since boot at which the target became active or cold.
	// Warming is set when it came from another state, so that it needs a slow
	// start.
	Since   time.Duration
	Warming bool
}

// Standings holds the Standing of each target of one service. It is immutable.
type Standings struct {
	// Evaluator is the incarnation of the evaluator whose verdict is applied. It is
	// empty when the states come from the instance's own observations.
	Evaluator string
	// Targets is keyed by the target's name.
	Targets map[string]Standing
}

// Follower applies the verdicts of the health evaluators at one instance. Without
// a recent verdict it judges by the instance's own observations. It is safe for
// concurrent use.
type Follower struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *Collector
	log       *zerolog.Logger
	// local evaluates this instance's own observations.
	local *Evaluator

	evaluatorCache evaluatorCache

	mu sync.Mutex
	// services is replaced, not changed, when a service is added or removed.
	services atomic.Pointer[map[string]*followedService]
}

// followedService is the state of one service at the follower.
type followedService struct {
	// verdicts holds the newest verdict of each evaluator, keyed by incarnation.
	verdicts map[string]datedVerdict
	// reportedAt is the time since boot of this instance's newest report.
	reportedAt time.Duration
	// evaluator is the incarnation of the evaluator that was followed last.
	evaluator string
	// appliedVerdict and config are the verdict and the configuration version that
	// the standings were derived from. The verdict is nil when they come from own
	// observations.
	appliedVerdict *peerpb.Verdict
	config         int64
	standings      atomic.Pointer[Standings]
}

// datedVerdict is a verdict with the time since boot of the report that it
// answers.
type datedVerdict struct {
	reportedAt time.Duration
	verdict    *peerpb.Verdict
}

// NewFollower returns a follower that has received no verdict yet.
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

// ApplyReply applies an evaluator's reply to a report. The verdicts are dated with
// sentAt, the time since boot at which the report was sent. Verdicts older than
// the last one of the same evaluator are ignored.
func (f *Follower) ApplyReply(evaluator string, sentAt time.Duration, reply *peerpb.ReportReply) {
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
		if last, ok := s.verdicts[evaluator]; ok && last.reportedAt > sentAt {
			continue
		}
		s.verdicts[evaluator] = datedVerdict{reportedAt: sentAt, verdict: v}
		s.standings.Store(f.deriveStandings(now, v.Service, s, svc, view.Membership, view.Config.Version))
	}
}

// service returns the state of a service and adds it when it is missing. The
// caller holds mu.
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

// Update passes the instance's own reports to the local evaluator and updates the
// standings of all services that are not up to date. It drops services that are
// not configured or that had no report for followedIdleTimeout.
func (f *Follower) Update(reports []*peerpb.ServiceReport) {
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

// removeServices drops services from the follower and from the local evaluator.
// The caller holds mu.
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

// deriveStandings chooses the verdict to follow, or evaluates the instance's own
// observations, and returns the standings. It adds the drain signals that this
// instance received itself and then checks the floor again.
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

// chooseVerdict drops verdicts older than verdictTTL and returns the remaining one
// of the first evaluator in rank order, with that evaluator's incarnation.
func (s *followedService) chooseVerdict(now time.Duration, evaluators []membership.Member) (datedVerdict, string) {
	for evaluator, v := range s.verdicts {
		if now-v.reportedAt >= verdictTTL {
			delete(s.verdicts, evaluator)
		}
	}
	for _, member := range evaluators {
		if v, ok := s.verdicts[member.Incarnation]; ok {
			return v, member.Incarnation
		}
	}
	return datedVerdict{}, ""
}

// upToDate reports whether the standings were derived from the verdict that would
// be chosen now and from the given configuration version.
func (s *followedService) upToDate(now time.Duration, evaluators []membership.Member, config int64) bool {
	chosen, _ := s.chooseVerdict(now, evaluators)
	return chosen.verdict != nil && chosen.verdict == s.appliedVerdict && config == s.config
}

// localVerdict evaluates the instance's own observations. The result contains no
// loads.
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

// slowStartOf returns Since and Warming for a target in the given state. It keeps
// the values of the previous standings when the state is the same or a cold target
// became active. Without previous standings, targets count as warm; a target that
// is new in the standings needs a slow start.
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
