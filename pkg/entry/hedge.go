package entry

import (
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/fairqueue"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// minComparedAttempts is the number of open attempts in a zone without which nothing is
	// concluded from how many of them are late.
	minComparedAttempts = 4
	// slowZoneRatio is the fraction of a zone's open attempts that are late from which on the
	// zone counts as the cause.
	slowZoneRatio = 0.5
	// warmUpTime is the time after its return in which a target gets no hedges; it is the time
	// of its slow start in package balance.
	warmUpTime = 10 * time.Second
)

// hedger decides on the hedges of all services. It implements proxy.Hedger. The limit is the
// hedge_percent of the route; a route without it takes no lock here.
type hedger struct {
	clock  clock.Clock
	viewer control.Viewer
	// balancer finds the targets of hedges and may make them wait. retries spends a retry.
	balancer  proxy.Balancer
	retries   func(r proxy.Request) bool
	standings func(service string) *health.Standings
	queue     func(service string) fairqueue.State

	mu       sync.Mutex
	services map[string]*hedgedService
}

// hedgedService is the state of one service. The mutex of the hedger guards it.
type hedgedService struct {
	*hedge.Decider
	// open holds the open attempts of routes with a limit.
	open map[*countingAttempt]openAttempt
}

type openAttempt struct {
	target string
	began  time.Duration
}

// service returns the state of a service and creates it on first use. The caller holds mu.
func (h *hedger) service(name string) *hedgedService {
	s := h.services[name]
	if s == nil {
		s = &hedgedService{hedge.NewDecider(), map[*countingAttempt]openAttempt{}}
		if h.services == nil {
			h.services = map[string]*hedgedService{}
		}
		h.services[name] = s
	}
	return s
}

// with calls f with the state of the request's service unless its route permits no hedges.
func (h *hedger) with(r proxy.Request, f func(s *hedgedService, now time.Duration)) {
	if r.HedgePercent <= 0 {
		return
	}
	now := h.clock.SinceBoot()
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h.service(r.Service), now)
}

// acquired records the result of the search for a target; err is nil if there was one.
func (h *hedger) acquired(r proxy.Request, isFirst bool, a *countingAttempt, err error) {
	if r.HedgePercent <= 0 {
		h.shortage(r.Service, err)
		return
	}
	h.with(r, func(s *hedgedService, now time.Duration) {
		if isFirst {
			s.Arrived(r.Route, r.HedgePercent)
		}
		if err == nil {
			s.open[a] = openAttempt{a.Target(), now}
		}
	})
	h.shortage(r.Service, err)
}

// ended forgets an open attempt.
func (h *hedger) ended(service string, a *countingAttempt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[service]; s != nil {
		delete(s.open, a)
	}
}

// shortage keeps hedges away from a service for a time if err says that capacity is short.
// Requests of routes without hedges count as well.
func (h *hedger) shortage(service string, err error) {
	var refused *refusal.Refusal
	if err == nil || !errors.As(err, &refused) || refused.Code != refusal.Overloaded.Code {
		return
	}
	h.recordShortage(service)
}

// recordShortage records that capacity or a retry was refused.
func (h *hedger) recordShortage(service string) {
	now := h.clock.SinceBoot()
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.services[service]; s != nil {
		s.Shortage(now)
	}
}

// HedgeDelay implements proxy.Hedger.
func (h *hedger) HedgeDelay(r proxy.Request, retryIn, left time.Duration) (delay time.Duration) {
	h.with(r, func(s *hedgedService, now time.Duration) {
		delay = s.Delay(r.Route, r.HedgePercent, retryIn, left, now)
	})
	return delay
}

// StartHedge implements proxy.Hedger. The balancer may make a request wait for a target, so it is
// asked in a goroutine while the first attempt goes on.
func (h *hedger) StartHedge(r proxy.Request, tried []string, age, left time.Duration) <-chan proxy.Attempt {
	targets := h.viewer.View().Config.Config.Services[r.Service].Targets
	standings, queue := h.standings(r.Service), h.queue(r.Service)
	var excluded []string
	answer := hedge.NoTarget
	h.with(r, func(s *hedgedService, now time.Duration) {
		if queue.Waiting > 0 {
			s.Shortage(now)
		}
		load := hedge.Load{Waiting: queue.Waiting, Utilization: max(utilizationOf(queue), utilization(targets, standings, now))}
		var slowZone string
		slowZone, load.SlowRatio = s.lateness(targets, tried, age, now)
		if answer = s.Ask(hedge.Question{Key: r.Route, Route: r.Route, Left: left, Load: load}, now); answer != hedge.Allowed {
			return
		}
		excluded = unsuitable(targets, standings, slowZone, tried, now)
		if len(excluded) >= len(targets) {
			s.RefuseTarget()
			answer = hedge.NoTarget
		}
	})
	if answer != hedge.Allowed {
		return nil
	}
	found := make(chan proxy.Attempt, 1)
	go func() { found <- h.acquire(r, excluded) }()
	return found
}

// acquire finds a target and takes the hedge from the limit and from the retry budget. It returns
// nil if there is none.
func (h *hedger) acquire(r proxy.Request, excluded []string) proxy.Attempt {
	a, err := h.balancer.Acquire(r, excluded)
	if err != nil {
		h.with(r, func(s *hedgedService, _ time.Duration) { s.RefuseTarget() })
		return nil
	}
	answer := hedge.NoAllowance
	h.with(r, func(s *hedgedService, now time.Duration) { answer = s.Take(r.Route, retryBudget{h, r}, now) })
	if answer != hedge.Allowed {
		a.Done(proxy.Canceled, 0, proxy.Load{})
		return nil
	}
	return a
}

// retryBudget is the hedge.Budget of one request.
type retryBudget struct {
	*hedger
	request proxy.Request
}

// TakeHedge spends a retry of the route.
func (b retryBudget) TakeHedge(time.Duration) bool { return b.retries(b.request) }

// ObserveFirst implements proxy.Hedger.
func (h *hedger) ObserveFirst(r proxy.Request, latency time.Duration, bytes int64, canceled bool) {
	h.with(r, func(s *hedgedService, now time.Duration) {
		if canceled {
			s.ObserveCanceled(r.Route, latency, bytes, now)
			return
		}
		s.Observe(r.Route, latency, bytes, now)
	})
}

// HedgeEnded implements proxy.Hedger.
func (h *hedger) HedgeEnded(r proxy.Request, won bool, wasted time.Duration) {
	h.with(r, func(s *hedgedService, _ time.Duration) { s.Ended(won, wasted) })
}

// States returns the state of hedging by service.
func (h *hedger) States() map[string]hedge.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	states := map[string]hedge.State{}
	for name, s := range h.services {
		states[name] = s.State()
	}
	return states
}

// lateness returns the zone of the first attempt if at least half of the open attempts there are
// at least as old as that one, and the fraction of such attempts where a hedge may go.
func (s *hedgedService) lateness(targets map[string]config.Target, tried []string, age, now time.Duration) (slowZone string, slowRatio float64) {
	zone := ""
	if len(tried) > 0 {
		zone = targets[tried[0]].Zone
	}
	var inZone, elsewhere, lateInZone, lateElsewhere int
	for _, a := range s.open {
		late := 0
		if now-a.began >= age {
			late = 1
		}
		if targets[a.target].Zone == zone {
			inZone, lateInZone = inZone+1, lateInZone+late
		} else {
			elsewhere, lateElsewhere = elsewhere+1, lateElsewhere+late
		}
	}
	if r := lateRatio(lateInZone, inZone); r >= slowZoneRatio {
		return zone, lateRatio(lateElsewhere, elsewhere)
	}
	return "", lateRatio(lateInZone+lateElsewhere, inZone+elsewhere)
}

func lateRatio(late, all int) float64 {
	if all < minComparedAttempts {
		return 0
	}
	return float64(late) / float64(all)
}

// utilizationOf returns the fraction of this instance's places for the service in use.
func utilizationOf(q fairqueue.State) float64 {
	if q.Limit <= 0 {
		return 0
	}
	return float64(q.Running) / q.Limit
}

// utilization returns the fraction of the slots of active targets that all instances together use.
func utilization(targets map[string]config.Target, standings *health.Standings, now time.Duration) float64 {
	if standings == nil {
		return 0
	}
	load, slots := 0.0, 0
	for name, t := range targets {
		if standing := standings.Targets[name]; mayHedgeAt(t, standing, now) {
			load += float64(standing.Load)
			slots += t.Slots
		}
	}
	if slots == 0 {
		return 1
	}
	return load / float64(slots)
}

// mayHedgeAt reports whether a target may get hedges: it is active, not leaving and not warming up.
func mayHedgeAt(t config.Target, standing health.Standing, now time.Duration) bool {
	switch standing.State {
	case peerpb.TargetState_TARGET_STATE_ACTIVE, peerpb.TargetState_TARGET_STATE_UNSPECIFIED:
		return !t.Leaving && !(standing.Warming && now-standing.Since < warmUpTime)
	default:
		return false
	}
}

// unsuitable lists the targets that a hedge must not go to. The list includes tried.
func unsuitable(targets map[string]config.Target, standings *health.Standings, slowZone string, tried []string, now time.Duration) []string {
	excluded := tried
	for name, t := range targets {
		var standing health.Standing
		if standings != nil {
			standing = standings.Targets[name]
		}
		if (!mayHedgeAt(t, standing, now) || (slowZone != "" && t.Zone == slowZone)) && !slices.Contains(tried, name) {
			excluded = append(excluded, name)
		}
	}
	return excluded
}
