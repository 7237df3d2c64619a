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
	// instanceStale drops an instance's requests in flight from the shared load.
	instanceStale = time.Second
	// drainMemory keeps a target draining after the last signal. Probes that
	// say "ok" shorten this to localDrainFor, not to zero, because the health
	// path lags behind the header.
	drainMemory = 30 * time.Second
	// warmUp is the time that an evaluator observes before it gives verdicts.
	// A new first evaluator would otherwise return every ejected target.
	warmUp = 2 * time.Second
	// loadMemory is the time constant of the shared load. The load of the moment
	// is older than a request takes when it reaches the instances, and they
	// would all move to the same targets.
	loadMemory = time.Second
)

// reason orders the causes of an ejection by severity.
type reason int

const (
	reasonNone reason = iota
	reasonSlow
	reasonProbe
	reasonErrors
	reasonStalls
)

var reasonNames = [...]string{"none", "slow", "probe", "errors", "stalls"}

// String returns the name that logs and dumps use.
func (r reason) String() string { return reasonNames[r] }

type instanceView struct {
	at       time.Duration
	inFlight uint32
	badAt    time.Duration
}

type targetHealth struct {
	window    window
	instances map[string]*instanceView
	state     peerpb.TargetState
	since     time.Duration
	cause     reason
	// suspectSince is the time since which failures or slowness hold without a break.
	suspect      reason
	suspectSince time.Duration
	level        int
	returnedAt   time.Duration
	everReturned bool
	floorHeld    bool
	drainSeen    bool
	drainAt      time.Duration
	probe        probeState
	slots        int
	loadAverage  float64
	loadAt       time.Duration
}

// serviceHealth is the pure core of the evaluator for one service. It takes
// the time as an argument; its mutex is held by the exported methods of Evaluator.
type serviceHealth struct {
	// standings is the form of the verdict that the dispatcher reads.
	standings   *Standings
	standingsAt time.Duration

	mu        sync.Mutex
	name      string
	log       *zerolog.Logger
	profile   func(config.Service) Profile
	targets   map[string]*targetHealth
	reporters map[string]time.Duration
	firstSeen time.Duration
	seen      bool
	lastSeen  time.Duration
	evaluated time.Duration
	sequence  uint64
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
		t = &targetHealth{instances: map[string]*instanceView{}, state: active, since: now}
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
	if !s.seen {
		s.seen, s.firstSeen = true, now
	}
	s.lastSeen = now
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
			view = &instanceView{badAt: -longWindow}
			t.instances[from] = view
		}
		view.at, view.inFlight = now, c.InFlight
		if counts.bad() > 0 {
			view.badAt = now
		}
		if c.Draining {
			t.drainSeen, t.drainAt = true, now
		}
		if c.Cold {
			t.probe.sawCold(now)
		}
	}
}

// badInstances counts the instances that saw failures in the last span.
func (t *targetHealth) badInstances(now, span time.Duration) int {
	n := 0
	for _, view := range t.instances {
		if now-view.badAt < span {
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
	memory := drainMemory
	if t.probe.goodRun >= minBadProbes {
		memory = localDrainFor
	}
	return t.drainSeen && now-t.drainAt < memory
}

// averageLoad updates the moving average of load.
func (t *targetHealth) averageLoad(now time.Duration) {
	keep := math.Exp(-(now - t.loadAt).Seconds() / loadMemory.Seconds())
	t.loadAverage = keep*t.loadAverage + (1-keep)*float64(t.load(now))
	t.loadAt = now
}

// load is the number of requests that all instances have open at the target.
func (t *targetHealth) load(now time.Duration) uint32 {
	var total uint32
	for _, view := range t.instances {
		if now-view.at < instanceStale {
			total += view.inFlight
		}
	}
	return total
}

func (s *serviceHealth) move(name string, t *targetHealth, to peerpb.TargetState, now time.Duration) {
	if t.state == to {
		return
	}
	from := t.state
	t.state, t.since, t.suspect = to, now, reasonNone
	s.sequence++
	switch {
	case to == ejected:
		event.TargetEjected.Log(s.log).Str("service", s.name).Str("target", name).Stringer("cause", t.cause).Send()
	case to == draining:
		event.TargetDraining.Log(s.log).Str("service", s.name).Str("target", name).Send()
	case to == active && withheld(from):
		t.returnedAt, t.everReturned = now, true
		event.TargetReturned.Log(s.log).Str("service", s.name).Str("target", name).Send()
	}
}

// forget drops targets that are not configured and instances that are silent.
func (s *serviceHealth) forget(now time.Duration, svc config.Service) {
	for name, t := range s.targets {
		if _, ok := svc.Targets[name]; !ok {
			delete(s.targets, name)
			continue
		}
		for from, view := range t.instances {
			if now-view.at > longWindow {
				delete(t.instances, from)
			}
		}
	}
	for from, at := range s.reporters {
		if now-at > longWindow {
			delete(s.reporters, from)
		}
	}
}

// verdict returns the state of all configured targets, or nil during warm-up.
func (s *serviceHealth) verdict(now time.Duration, evaluator string, svc config.Service) *peerpb.Verdict {
	if !s.seen || now-s.firstSeen < warmUp {
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
