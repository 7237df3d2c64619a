package health

import (
	"math"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/rs/zerolog"
)

// Short names for the states on the wire.
const (
	active   = peerpb.TargetState_TARGET_STATE_ACTIVE
	ejected  = peerpb.TargetState_TARGET_STATE_EJECTED
	trial    = peerpb.TargetState_TARGET_STATE_TRIAL
	draining = peerpb.TargetState_TARGET_STATE_DRAINING
	cold     = peerpb.TargetState_TARGET_STATE_COLD
)

const (
	// instanceLoadMaxAge drops an instance's requests in flight from the shared load.
	instanceLoadMaxAge = time.Second
	// drainTTL keeps a target draining after the last signal. Probes that
	// say "ok" shorten this to localDrainTTL, not to zero, because the health
	// path lags behind the header.
	drainTTL = 30 * time.Second
	// minObservationTime is the time that an evaluator observes before it gives verdicts.
	// A new first evaluator would otherwise return every ejected target.
	minObservationTime = 2 * time.Second
	// loadTimeConstant is the time constant of the shared load. The load of the moment
	// is older than a request takes when it reaches the instances, and they
	// would all move to the same targets.
	loadTimeConstant = time.Second
)

// ejectionCause orders the causes of an ejection by severity.
type ejectionCause int

const (
	causeNone ejectionCause = iota
	causeSlow
	causeProbe
	causeErrors
	causeStalls
)

var causeNames = [...]string{"none", "slow", "probe", "errors", "stalls"}

// String returns the name that logs and dumps use.
func (r ejectionCause) String() string { return causeNames[r] }

type instanceReport struct {
	reportedAt time.Duration
	inFlight   uint32
	failureAt  time.Duration
}

type targetHealth struct {
	window    window
	instances map[string]*instanceReport
	state     peerpb.TargetState
	since     time.Duration
	cause     ejectionCause
	// suspectedSince is the time since which failures or slowness hold without a break.
	suspectedCause ejectionCause
	suspectedSince time.Duration
	backOffLevel   int
	returnedAt     time.Duration
	everReturned   bool
	floorHeld      bool
	drainSignaled  bool
	drainSignalAt  time.Duration
	probe          probeState
	slots          int
	loadAverage    float64
	loadAveragedAt time.Duration
}

// serviceHealth is the pure core of the evaluator for one service. It takes
// the time as an argument; its mutex is held by the exported methods of Evaluator.
type serviceHealth struct {
	// standings is the form of the verdict that the dispatcher reads.
	standings   *Standings
	standingsAt time.Duration

	mu            sync.Mutex
	name          string
	log           *zerolog.Logger
	profile       func(config.Service) Profile
	targets       map[string]*targetHealth
	reporters     map[string]time.Duration
	firstReportAt time.Duration
	everReported  bool
	lastReportAt  time.Duration
	evaluatedAt   time.Duration
	sequence      uint64
}

func newServiceHealth(name string, profile func(config.Service) Profile, log *zerolog.Logger) *serviceHealth {
	return &serviceHealth{
		name: name, log: log, profile: profile,
		targets: map[string]*targetHealth{}, reporters: map[string]time.Duration{},
	}
}

func (s *serviceHealth) target(name string, now time.Duration) *targetHealth {
	t := s.targets[name]
	if t == nil {
		t = &targetHealth{instances: map[string]*instanceReport{}, state: active, since: now}
		s.targets[name] = t
	}
	return t
}

func (s *serviceHealth) state(name string) peerpb.TargetState {
	if t := s.targets[name]; t != nil {
		return t.state
	}
	return active
}

// observe merges the report of one instance.
func (s *serviceHealth) observe(now time.Duration, from string, svc config.Service, report *peerpb.ServiceReport) {
	if !s.everReported {
		s.everReported, s.firstReportAt = true, now
	}
	s.lastReportAt = now
	s.reporters[from] = now
	for _, c := range report.Targets {
		if _, ok := svc.Targets[c.Target]; !ok {
			continue
		}
		t := s.target(c.Target, now)
		counts := tallyOf(c)
		t.window.add(now, counts)
		view := t.instances[from]
		if view == nil {
			view = &instanceReport{failureAt: -longWindow}
			t.instances[from] = view
		}
		view.reportedAt, view.inFlight = now, c.InFlight
		if counts.failures() > 0 {
			view.failureAt = now
		}
		if c.Draining {
			t.drainSignaled, t.drainSignalAt = true, now
		}
		if c.Cold {
			t.probe.markCold(now)
		}
	}
}

// failingInstances counts the instances that saw failures in the last span.
func (t *targetHealth) failingInstances(now, span time.Duration) int {
	n := 0
	for _, view := range t.instances {
		if now-view.failureAt < span {
			n++
		}
	}
	return n
}

// isDraining tells whether the target announced that it is leaving.
func (t *targetHealth) isDraining(now time.Duration) bool {
	if t.probe.draining {
		return true
	}
	memory := drainTTL
	if t.probe.consecutiveOK >= minFailedProbes {
		memory = localDrainTTL
	}
	return t.drainSignaled && now-t.drainSignalAt < memory
}

// updateLoadAverage updates the moving average of load.
func (t *targetHealth) updateLoadAverage(now time.Duration) {
	keep := math.Exp(-(now - t.loadAveragedAt).Seconds() / loadTimeConstant.Seconds())
	t.loadAverage = keep*t.loadAverage + (1-keep)*float64(t.load(now))
	t.loadAveragedAt = now
}

// load is the number of requests that all instances have open at the target.
func (t *targetHealth) load(now time.Duration) uint32 {
	var total uint32
	for _, view := range t.instances {
		if now-view.reportedAt < instanceLoadMaxAge {
			total += view.inFlight
		}
	}
	return total
}

func (s *serviceHealth) setState(name string, t *targetHealth, to peerpb.TargetState, now time.Duration) {
	if t.state == to {
		return
	}
	from := t.state
	t.state, t.since, t.suspectedCause = to, now, causeNone
	s.sequence++
	switch {
	case to == ejected:
		event.TargetEjected.Log(s.log).Str("service", s.name).Str("target", name).Stringer("cause", t.cause).Send()
	case to == draining:
		event.TargetDraining.Log(s.log).Str("service", s.name).Str("target", name).Send()
	case to == active && ejectedOrTrial(from):
		t.returnedAt, t.everReturned = now, true
		event.TargetReturned.Log(s.log).Str("service", s.name).Str("target", name).Send()
	}
}

// dropOutdated drops targets that are not configured and instances that are silent.
func (s *serviceHealth) dropOutdated(now time.Duration, svc config.Service) {
	for name, t := range s.targets {
		if _, ok := svc.Targets[name]; !ok {
			delete(s.targets, name)
			continue
		}
		for from, view := range t.instances {
			if now-view.reportedAt > longWindow {
				delete(t.instances, from)
			}
		}
	}
	for from, reportedAt := range s.reporters {
		if now-reportedAt > longWindow {
			delete(s.reporters, from)
		}
	}
}

// verdict returns the state of all configured targets, or nil during warm-up.
func (s *serviceHealth) verdict(now time.Duration, evaluator string, svc config.Service) *peerpb.Verdict {
	if !s.everReported || now-s.firstReportAt < minObservationTime {
		return nil
	}
	v := &peerpb.Verdict{Service: s.name, Evaluator: evaluator, Sequence: s.sequence}
	for name := range svc.Targets {
		tv := &peerpb.TargetVerdict{Target: name, State: active}
		if t := s.targets[name]; t != nil {
			tv.State, tv.Load = t.state, uint32(math.Round(t.loadAverage))
		}
		v.Targets = append(v.Targets, tv)
	}
	return v
}
