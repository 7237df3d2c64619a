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

// Short names for the states of the protocol.
const (
	active   = peerpb.TargetState_TARGET_STATE_ACTIVE
	ejected  = peerpb.TargetState_TARGET_STATE_EJECTED
	trial    = peerpb.TargetState_TARGET_STATE_TRIAL
	draining = peerpb.TargetState_TARGET_STATE_DRAINING
	cold     = peerpb.TargetState_TARGET_STATE_COLD
)

const (
	// instanceLoadMaxAge is the age of an instance's report from which its open
	// requests no longer count in a target's load.
	instanceLoadMaxAge = time.Second
	// drainTTL is the time for which a target stays draining after the last drain
	// signal. minProbeRun consecutive "ok" probes shorten it to localDrainTTL, not to
	// zero, because the health path lags behind the response header.
	drainTTL = 30 * time.Second
	// minObservationTime is the time for which an evaluator collects reports before
	// it returns verdicts. A new first evaluator would otherwise make every ejected
	// target active again.
	minObservationTime = 2 * time.Second
	// loadTimeConstant is the time constant of the moving average of a target's
	// load. An unaveraged load would be older than the duration of a request by the
	// time it reaches the instances, which would all move to the same targets.
	loadTimeConstant = time.Second
)

// ejectionCause is the reason to eject a target. The values are in ascending order
// of severity.
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
func (c ejectionCause) String() string { return causeNames[c] }

// instanceReport is what the evaluator keeps of one instance's reports about one
// target.
type instanceReport struct {
	reportedAt time.Duration
	// inFlight is the number of requests that the instance has open.
	inFlight uint32
	// failureAt is the time of the newest report with failures.
	failureAt time.Duration
}

// targetHealth is the state of one target at an evaluator.
type targetHealth struct {
	window window
	// instances is keyed by the incarnation of the reporting instance.
	instances map[string]*instanceReport
	state     peerpb.TargetState
	// since is the time of the last change of state.
	since time.Duration
	// cause is the cause of the last ejection, or of one that the floor prevented.
	cause ejectionCause
	// suspectedSince is the time since which the target has failed or been slow
	// without interruption; suspectedCause is the newest cause.
	suspectedCause ejectionCause
	suspectedSince time.Duration
	// backOffLevel is the number of doublings of the back-off before the next trial.
	backOffLevel int
	// returnedAt is the time of the last return from an ejection. It is valid when
	// everReturned is true.
	returnedAt   time.Duration
	everReturned bool
	// floorHeld is set while the floor keeps the target in use despite a fault.
	floorHeld bool
	// drainSignalAt is the time of the newest reported drain signal. It is valid when
	// drainSignaled is true.
	drainSignaled bool
	drainSignalAt time.Duration
	probe         probeState
	slots         int
	// loadAverage is the moving average of load; it was updated at loadAveragedAt.
	loadAverage    float64
	loadAveragedAt time.Duration
	// evacuated says that the target's zone is evacuated, as of the last evaluation.
	evacuated bool
}

// serviceHealth holds the observations of one service and decides the states of its
// targets. It is given the time instead of reading a clock, and its methods expect
// the caller to hold mu.
type serviceHealth struct {
	// standings caches the verdict in the form that the dispatcher reads. It was
	// built at standingsAt.
	standings   *Standings
	standingsAt time.Duration

	mu      sync.Mutex
	name    string
	log     *zerolog.Logger
	profile func(config.Service) Profile
	targets map[string]*targetHealth
	// reporters holds the time of the newest report of each instance, keyed by
	// incarnation.
	reporters map[string]time.Duration
	// firstReportAt is valid when everReported is true.
	firstReportAt time.Duration
	everReported  bool
	lastReportAt  time.Duration
	evaluatedAt   time.Duration
	// sequence counts the changes of target states.
	sequence uint64
}

func newServiceHealth(name string, profile func(config.Service) Profile, log *zerolog.Logger) *serviceHealth {
	return &serviceHealth{
		name: name, log: log, profile: profile,
		targets: map[string]*targetHealth{}, reporters: map[string]time.Duration{},
	}
}

// target returns the state of a target and creates it when it is missing.
func (s *serviceHealth) target(name string, now time.Duration) *targetHealth {
	t := s.targets[name]
	if t == nil {
		t = &targetHealth{instances: map[string]*instanceReport{}, state: active, since: now}
		s.targets[name] = t
	}
	return t
}

// state returns the state of a target. Unknown targets are active.
func (s *serviceHealth) state(name string) peerpb.TargetState {
	if t := s.targets[name]; t != nil {
		return t.state
	}
	return active
}

// observe merges the report of the instance with the incarnation from.
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
		instance := t.instances[from]
		if instance == nil {
			instance = &instanceReport{failureAt: -longWindow}
			t.instances[from] = instance
		}
		instance.reportedAt, instance.inFlight = now, c.InFlight
		if counts.failures() > 0 {
			instance.failureAt = now
		}
		if c.Draining {
			t.drainSignaled, t.drainSignalAt = true, now
		}
		if c.Cold {
			t.probe.markCold(now)
		}
	}
}

// failingInstances counts the instances that reported failures in the last span.
func (t *targetHealth) failingInstances(now, span time.Duration) int {
	n := 0
	for _, instance := range t.instances {
		if now-instance.failureAt < span {
			n++
		}
	}
	return n
}

// isDraining reports whether the target announced that it is leaving, in its latest
// answer to a probe or by a drain signal that is still valid.
func (t *targetHealth) isDraining(now time.Duration) bool {
	if t.probe.draining {
		return true
	}
	ttl := drainTTL
	if t.probe.consecutiveOK >= minProbeRun {
		ttl = localDrainTTL
	}
	return t.drainSignaled && now-t.drainSignalAt < ttl
}

// updateLoadAverage updates the exponential moving average of load.
func (t *targetHealth) updateLoadAverage(now time.Duration) {
	keep := math.Exp(-(now - t.loadAveragedAt).Seconds() / loadTimeConstant.Seconds())
	t.loadAverage = keep*t.loadAverage + (1-keep)*float64(t.load(now))
	t.loadAveragedAt = now
}

// load returns the number of requests that all instances have open at the target.
func (t *targetHealth) load(now time.Duration) uint32 {
	var total uint32
	for _, instance := range t.instances {
		if now-instance.reportedAt < instanceLoadMaxAge {
			total += instance.inFlight
		}
	}
	return total
}

// setState changes the state of a target and logs ejections, drains and returns.
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
	case to == draining && !t.evacuated: // event 518 tells of an evacuated zone
		event.TargetDraining.Log(s.log).Str("service", s.name).Str("target", name).Send()
	case to == active && ejectedOrTrial(from):
		t.returnedAt, t.everReturned = now, true
		event.TargetReturned.Log(s.log).Str("service", s.name).Str("target", name).Send()
	}
}

// dropOutdated drops targets that are not configured and instances that have not
// reported for longWindow.
func (s *serviceHealth) dropOutdated(now time.Duration, svc config.Service) {
	for name, t := range s.targets {
		if _, ok := svc.Targets[name]; !ok {
			delete(s.targets, name)
			continue
		}
		for from, instance := range t.instances {
			if now-instance.reportedAt > longWindow {
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

// verdict returns the state of all configured targets, or nil before
// minObservationTime has passed since the first report.
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
