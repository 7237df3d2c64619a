package health

import (
	"sort"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// EvaluatorDump is the state of an evaluator in the response of /dump.
type EvaluatorDump struct {
	Services []ServiceDump `json:"services"`
}

// ServiceDump is the state of one service at an evaluator.
type ServiceDump struct {
	Service   string       `json:"service"`
	Sequence  uint64       `json:"sequence"`
	Reporters int          `json:"reporters"`
	Targets   []TargetDump `json:"targets"`
}

// TargetDump is the state of one target at an evaluator. Answers, Errors, Stalls and Sheds
// cover the last 10 s.
type TargetDump struct {
	Target string `json:"target"`
	State  string `json:"state"`
	// SinceMS is the time since the last change of state.
	SinceMS   int64  `json:"since_ms"`
	Cause     string `json:"cause"`
	FloorHeld bool   `json:"floor_held"`
	Load      uint32 `json:"load"`
	Answers   int    `json:"answers"`
	Errors    int    `json:"errors"`
	Stalls    int    `json:"stalls"`
	Sheds     int    `json:"sheds"`
	// BadProbes counts the latest probes that failed without a success between them.
	BadProbes int `json:"bad_probes"`
}

// Dump returns the state of all services, sorted by name.
func (e *Evaluator) Dump() EvaluatorDump {
	now := e.clock.SinceBoot()
	dump := EvaluatorDump{Services: []ServiceDump{}}
	for _, s := range e.all() {
		s.mu.Lock()
		d := ServiceDump{Service: s.name, Sequence: s.sequence, Reporters: len(s.reporters), Targets: []TargetDump{}}
		for name, t := range s.targets {
			sum := t.window.sum(now, longWindow, 0)
			d.Targets = append(d.Targets, TargetDump{
				Target: name, State: StateName(t.state), SinceMS: (now - t.since).Milliseconds(),
				Cause: t.cause.String(), FloorHeld: t.floorHeld, Load: t.load(now),
				Answers: sum.answers, Errors: sum.errors, Stalls: sum.stalls, Sheds: sum.sheds,
				BadProbes: t.probe.consecutiveFailures,
			})
		}
		s.mu.Unlock()
		sort.Slice(d.Targets, func(i, j int) bool { return d.Targets[i].Target < d.Targets[j].Target })
		dump.Services = append(dump.Services, d)
	}
	sort.Slice(dump.Services, func(i, j int) bool { return dump.Services[i].Service < dump.Services[j].Service })
	return dump
}

// FollowerDump is the state of a follower in the response of /dump.
type FollowerDump struct {
	Services map[string]FollowedDump `json:"services"`
}

// FollowedDump is the state of one service at a follower.
type FollowedDump struct {
	// Evaluator is the incarnation of the evaluator whose verdict is applied. It is empty
	// when the states come from the instance's own observations.
	Evaluator string `json:"evaluator"`
	// Targets holds the name of each target's state.
	Targets map[string]string `json:"targets"`
}

// Dump returns the standings of all services.
func (f *Follower) Dump() FollowerDump {
	dump := FollowerDump{Services: map[string]FollowedDump{}}
	for name, followed := range *f.services.Load() {
		s := followed.standings.Load()
		if s == nil {
			continue
		}
		d := FollowedDump{Evaluator: s.Evaluator, Targets: map[string]string{}}
		for target, standing := range s.Targets {
			d.Targets[target] = StateName(standing.State)
		}
		dump.Services[name] = d
	}
	return dump
}

// StateName returns the name of a state for dumps and logs.
func StateName(s peerpb.TargetState) string {
	switch s {
	case active:
		return "active"
	case ejected:
		return "ejected"
	case trial:
		return "trial"
	case draining:
		return "draining"
	case cold:
		return "cold"
	default:
		return "unspecified"
	}
}
