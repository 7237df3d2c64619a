package config

import (
	"sort"
	"strings"
	"time"
)

// Snapshot is a configuration version with lookup tables for the data path.
// It is immutable and safe for concurrent use.
type Snapshot struct {
	Version int64
	Config  *Config

	// hosts maps a host to its routes; routes for all hosts have the key "".
	hosts map[string]routeTable
	// keyIDs maps the digest of a key to its id.
	keyIDs map[string]string
}

// routeTable maps a path prefix to its routes; those restricted to some methods
// come first.
type routeTable map[string][]compiledRoute

// compiledRoute is a route with its methods and teams as sets.
type compiledRoute struct {
	id      string
	route   Route
	methods map[string]bool
	teams   map[string]bool
}

// RouteMatch is the route that was found for a request.
type RouteMatch struct {
	ID    string
	Route Route

	teams map[string]bool
}

// NewSnapshot builds the lookup tables of a validated configuration.
func NewSnapshot(version int64, c *Config) *Snapshot {
	c = c.withEvacuations()
	s := &Snapshot{
		Version: version, Config: c, hosts: map[string]routeTable{}, keyIDs: make(map[string]string, len(c.Keys)),
	}
	for id, k := range c.Keys {
		s.keyIDs[k.SHA256] = id
	}
	for id, r := range c.Routes {
		host := strings.ToLower(r.Host)
		table := s.hosts[host]
		if table == nil {
			table = routeTable{}
			s.hosts[host] = table
		}
		table[r.PathPrefix] = append(table[r.PathPrefix], compiledRoute{id: id, route: r, methods: toSet(r.Methods), teams: toSet(r.Teams)})
	}
	for _, table := range s.hosts {
		for _, group := range table {
			sortRoutes(group)
		}
	}
	return s
}

// sortRoutes sorts routes with the same prefix: those restricted to some methods
// come first, then by id.
func sortRoutes(group []compiledRoute) {
	sort.Slice(group, func(i, j int) bool {
		a, b := len(group[i].methods) > 0, len(group[j].methods) > 0
		if a != b {
			return a
		}
		return group[i].id < group[j].id
	})
}

func toSet(values []string) map[string]bool {
	set := make(map[string]bool, len(values))
	for _, v := range values {
		set[v] = true
	}
	return set
}

// Match finds the route of a request by the longest path prefix among the
// routes of its host, then among those for all hosts. The prefix must begin the
// path, with its last slash if it has one, and matches whole path segments only.
// The lookup time grows with the number of segments of the path, not with the
// number of routes.
//
// Hosts are compared without regard to case (RFC 9110, 4.2.3). The routes of a host that
// names the port of the request come before those of the host without a port.
func (s *Snapshot) Match(host, method, path string) (RouteMatch, bool) {
	host = strings.ToLower(host)
	for _, name := range [...]string{host, withoutPort(host), ""} {
		if match, ok := s.hosts[name].match(method, path); ok {
			return match, true
		}
	}
	return RouteMatch{}, false
}

// withoutPort returns the host of a Host header without its port. A host with several colons
// outside brackets is not a valid one and is returned as it is.
func withoutPort(host string) string {
	i := strings.LastIndexByte(host, ':')
	if i < 0 || strings.IndexByte(host[i:], ']') >= 0 || (host[0] != '[' && strings.IndexByte(host, ':') != i) {
		return host
	}
	return host[:i]
}

func (t routeTable) match(method, path string) (RouteMatch, bool) {
	for prefix := path; prefix != ""; prefix = shorterPrefix(prefix) {
		for i := range t[prefix] {
			r := &t[prefix][i]
			if len(r.methods) == 0 || r.methods[method] {
				return RouteMatch{ID: r.id, Route: r.route, teams: r.teams}, true
			}
		}
	}
	return RouteMatch{}, false
}

// shorterPrefix returns the longest proper prefix that ends before or after a
// slash: /a/b, /a/, /a, / and the empty string follow /a/b/.
func shorterPrefix(prefix string) string {
	if shorter, ok := strings.CutSuffix(prefix, "/"); ok {
		return shorter
	}
	return prefix[:strings.LastIndexByte(prefix, '/')+1]
}

// Admits reports whether the route admits the team.
func (m RouteMatch) Admits(team string) bool { return m.Route.OpenToAll || m.teams[team] }

// BatchActive reports whether the contract of the team's batch has not expired
// at the time now, even if the clock that gave now is slow by clockError.
func (s *Snapshot) BatchActive(team string, now time.Time, clockError time.Duration) bool {
	batch, ok := s.Config.Batches[s.Config.Teams[team].Batch]
	return ok && now.Add(clockError).Before(batch.Expires)
}
