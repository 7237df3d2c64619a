package soak

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

// operatorConfig is the configuration that the soak writes to the store as an
// operator would.
type operatorConfig struct {
	version int
	// keys are the valid keys of each team, the newest last.
	keys map[string][]string
	// rates are the limit of each team in requests per second; the burst is equal.
	rates map[string]int
	// moved is true if the moving route leads to the second service.
	moved bool
}

// configChange is one change of the configuration: a withdrawn key, a moved route or
// another limit.
type configChange struct {
	submittedAt time.Time
	// key is the withdrawn key; empty for other changes.
	key string
	// moved is the new value of operatorConfig.moved, valid if movedSet is true.
	moved, movedSet bool
	// team is the team whose limit changes; empty for other changes.
	team string
	// rate is the new limit of team.
	rate int
}

// Path prefixes of the routes. The safe route takes GET requests, the others POST
// requests; the moving route changes its service. The nested route is idempotent and leads to
// the second service.
const (
	safeRoute   = "/safe/"
	unsafeRoute = "/unsafe/"
	movingRoute = "/moving/"
	nestedRoute = "/unsafe/nested/"
	hostName    = "shop.example"
)

// teams are the teams of the callers. Each sends about 65 requests per second.
var teams = []string{"red", "blue", "green"}

// lateTeam is the team of late callers; it has no limit and one key, which stays.
const (
	lateTeam = "late"
	lateKey  = lateTeam + "-1"
)

// initialRate is the rate and the burst of a team at the start. It is lower than the
// rate at which the team sends, so that the checks detect a limit that is not
// enforced. minRate is the lowest rate and burst that a fault sets.
const (
	initialRate = 45
	minRate     = 15
)

// newOperatorConfig returns the configuration at the start.
func newOperatorConfig() operatorConfig {
	o := operatorConfig{keys: map[string][]string{}, rates: map[string]int{}}
	for _, t := range teams {
		o.keys[t] = []string{t + "-1", t + "-2"}
		o.rates[t] = initialRate
	}
	o.keys[lateTeam] = []string{lateKey}
	return o
}

// submitConfig writes the next version of the configuration to the store. The caller
// holds mu or is the only goroutine. c describes the change and is recorded; it is
// nil for the first version.
func (tb *testbed) submitConfig(c *configChange) {
	tb.config.version += 1 + tb.config.version%3
	tb.store.Put("op", "config", tb.config.document())
	if c != nil {
		c.submittedAt = time.Now()
		tb.changes = append(tb.changes, *c)
	}
}

// document returns the configuration as the store holds it.
func (o *operatorConfig) document() []byte {
	var tenants []map[string]any
	for _, t := range append(slices.Clone(teams), lateTeam) {
		tenants = append(tenants, map[string]any{"name": t, "api_keys": o.keys[t], "rate_per_s": o.rates[t], "burst": o.rates[t]})
	}
	rule := func(prefix, kind, service string, priority int) map[string]any {
		return map[string]any{
			"name": prefix, "kind": kind, "latency_target": "400ms", "priority": priority, "match": map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeout": "2s", "attempts": 3},
		}
	}
	moving := serviceA
	if o.moved {
		moving = serviceB
	}
	document := map[string]any{
		"version": fmt.Sprintf("r%d", o.version), "tenants": tenants,
		"listeners": []any{map[string]any{"hostname": hostName, "rules": []any{
			rule(safeRoute, "safe", serviceA, 1), rule(unsafeRoute, "unsafe", serviceA, 0), rule(movingRoute, "unsafe", moving, 0),
			rule(nestedRoute, "safe", serviceB, 1),
		}}},
		"clusters": []any{
			map[string]any{"name": serviceA, "health_path": "/health"}, map[string]any{"name": serviceB, "health_path": "/health"},
		},
	}
	data, err := json.Marshal(document)
	if err != nil {
		panic(err) // cannot happen: only maps of strings and numbers
	}
	return data
}

// beginStoreFaults replaces the faults of the store and records the begin of the
// interval. end records its end and clears the faults once no store fault is active.
func (tb *testbed) beginStoreFaults(f storesim.Faults) (end func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := len(tb.storeFaultSpans)
	tb.storeFaultSpans = append(tb.storeFaultSpans, span{from: time.Now()})
	tb.activeStoreFaults++
	tb.store.SetFaults(f)
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.storeFaultSpans[n].to = time.Now()
		tb.activeStoreFaults--
		if tb.activeStoreFaults == 0 {
			tb.store.SetFaults(storesim.Faults{})
		}
	}
}
