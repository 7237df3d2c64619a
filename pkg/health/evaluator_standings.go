package health

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// standingsMaxAge is the age from which the cached standings of an evaluated service are
// built again. A verdict changes only with an evaluation, every few tens of ms.
const standingsMaxAge = 50 * time.Millisecond

// Standings returns the states that this instance decides as an evaluator, or nil before
// it has a verdict. A dispatcher needs them, because its instance may have no traffic of
// its own and then follows no verdict.
func (e *Evaluator) Standings(service string) *Standings {
	now := e.clock.SinceBoot()
	view := e.viewer.View()
	svc, ok := view.Config.Config.Services[service]
	if !ok {
		return nil
	}
	s := e.service(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standings == nil || now-s.standingsAt >= standingsMaxAge {
		s.standings, s.standingsAt = s.buildStandings(now, view.Self.Incarnation, svc), now
	}
	return s.standings
}

// buildStandings converts the verdict. It leaves Since and Warming unset.
func (s *serviceHealth) buildStandings(now time.Duration, self string, svc config.Service) *Standings {
	verdict := s.verdict(now, self, svc)
	if verdict == nil {
		return nil
	}
	result := &Standings{Evaluator: self, Targets: make(map[string]Standing, len(verdict.Targets))}
	for _, t := range verdict.Targets {
		result.Targets[t.Target] = Standing{State: t.State, Load: t.Load, LoadAt: now}
	}
	return result
}
