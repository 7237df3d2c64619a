package config

import (
	"sort"
	"strings"
	"time"
)

// Snapshot is a configuration version in the form that the data path looks up.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	Version int64
	Config  *Config

	routes []compiledRoute
}

type compiledRoute struct {
	id      string
	route   Route
	methods map[string]bool
	teams   map[string]bool
}

// RouteMatch is the route of a request.
type RouteMatch struct {
	ID    string
	Route Route

	teams map[string]bool
}

// NewSnapshot compiles a validated configuration.
func NewSnapshot(version int64, c *Config) *Snapshot {
	s := &Snapshot{Version: version, Config: c}
	for id, r := range c.Routes {
		s.routes = append(s.routes, compiledRoute{id: id, route: r, methods: toSet(r.Methods), teams: toSet(r.Teams)})
	}
	// The longest prefix wins; among equal prefixes a route with methods is more specific.
	sort.Slice(s.routes, func(i, j int) bool {
		a, b := s.routes[i], s.routes[j]
		if len(a.route.PathPrefix) != len(b.route.PathPrefix) {
			return len(a.route.PathPrefix) > len(b.route.PathPrefix)
		}
		return a.id < b.id
	})
	return s
}

func toSet(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}

// Match finds the route of a request by the longest path prefix. A prefix
// matches whole path segments only.
func (s *Snapshot) Match(method, path string) (RouteMatch, bool) {
	for i := range s.routes {
		r := &s.routes[i]
		if !matchesPrefix(path, r.route.PathPrefix) {
			continue
		}
		if len(r.methods) > 0 && !r.methods[method] {
			continue
		}
		return RouteMatch{ID: r.id, Route: r.route, teams: r.teams}, true
	}
	return RouteMatch{}, false
}

func matchesPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}

// Open tells whether the route admits the team.
func (m RouteMatch) Open(team string) bool { return m.Route.OpenToAll || m.teams[team] }

// BatchActive tells whether the contract of the team's batch runs at the time
// now, given that this clock may be wrong by at most clockError.
func (s *Snapshot) BatchActive(team string, now time.Time, clockError time.Duration) bool {
	batch, ok := s.Config.Batches[s.Config.Teams[team].Batch]
	return ok && now.Add(clockError).Before(batch.Expires)
}
