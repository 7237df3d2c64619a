package balance

import (
	"github.com/arbutuslink/arbutuslink/pkg/health"
)

// Dump is the state of a balancer for /dump.
type Dump struct {
	Services map[string][]TargetDump `json:"services"`
	// RetryTokens is the number of retries that each route's budget allows.
	RetryTokens map[string]float64 `json:"retry_tokens"`
}

// TargetDump is the state of one target at this instance.
type TargetDump struct {
	Target      string  `json:"target"`
	State       string  `json:"state"`
	Evacuated   bool    `json:"evacuated,omitempty"`
	InFlight    int     `json:"in_flight"`
	Connections int     `json:"connections"`
	Weight      float64 `json:"weight"`
	Score       float64 `json:"score"`
}

// Dump returns the state of all services.
func (b *Balancer) Dump() Dump {
	now := b.clock.SinceBoot()
	dump := Dump{Services: map[string][]TargetDump{}, RetryTokens: map[string]float64{}}
	for name, s := range b.current().services {
		s.mu.Lock()
		for _, t := range s.targets {
			dump.Services[name] = append(dump.Services[name], TargetDump{
				Target: t.name, State: health.StateName(t.standing.State), Evacuated: t.evacuated, InFlight: t.inFlight,
				Connections: t.connectionLimit, Weight: t.weight(now), Score: t.score(now),
			})
		}
		s.mu.Unlock()
	}
	b.budgets.mu.RLock()
	defer b.budgets.mu.RUnlock()
	for route, r := range b.budgets.routes {
		r.mu.Lock()
		dump.RetryTokens[route] = r.tokens
		r.mu.Unlock()
	}
	return dump
}
