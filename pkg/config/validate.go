package config

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/arbutuslink/arbutuslink/pkg/document"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
)

// Limits of configured values.
const (
	maxRatePerSecond   = 1e6
	maxBurst           = 1_000_000
	maxSlots           = 10_000
	maxConnections     = 100_000
	maxTimeoutMS       = 600_000
	minProbeIntervalMS = 100
	maxProbeIntervalMS = 60_000
	// MaxWarmupMS is the longest time in ms for which targets may be cold after their start.
	MaxWarmupMS      = 3_600_000
	maxAttemptsLimit = 10
	maxPriority      = 1000
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,63}$`)

// idAllowed describes idPattern in errors.
const idAllowed = "1 to 64 of a-z, 0-9, _ and -, not starting with _ or -"

// Parse decodes and validates a whole document. Errors: *SyntaxError for
// malformed JSON, *InvalidError for unknown members or invalid values.
func Parse(data []byte) (*Config, error) {
	c, ok := decodeCanonical(data)
	if !ok {
		c = Empty()
		if err := document.Decode(data, c); err != nil {
			return nil, err
		}
		c.normalize()
	}
	if err := c.Validate(); err != nil {
		return nil, err
	}
	return c, nil
}

// decodeCanonical decodes a document that is exactly what Encode returns, as
// stored documents are; it returns false for any other. A canonical document has
// no unknown members and no values of a wrong type, so the strict check of its
// shape can be skipped. That check takes longer than decoding, and every
// instance parses each version.
func decodeCanonical(data []byte) (*Config, bool) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil || c.hasNullMap() {
		return nil, false
	}
	encoded, err := c.Encode()
	return c, err == nil && bytes.Equal(encoded, data)
}

// hasNullMap reports whether a map is absent or null. Encode writes such a map
// as null, so that comparing with its output does not reveal a null one.
func (c *Config) hasNullMap() bool {
	if c.Batches == nil || c.Teams == nil || c.Keys == nil || c.Services == nil || c.Routes == nil {
		return true
	}
	for _, s := range c.Services {
		if s.Targets == nil {
			return true
		}
	}
	return false
}

// normalize replaces sections that a patch has removed with empty ones.
func (c *Config) normalize() {
	empty := Empty()
	if c.Batches == nil {
		c.Batches = empty.Batches
	}
	if c.Teams == nil {
		c.Teams = empty.Teams
	}
	if c.Keys == nil {
		c.Keys = empty.Keys
	}
	if c.Services == nil {
		c.Services = empty.Services
	}
	if c.Routes == nil {
		c.Routes = empty.Routes
	}
}

type validator struct{ document.Checker }

// check records an invalid member of the value at path unless ok. It builds the
// path of the member only for an invalid one, because a large document has many
// members.
func (v *validator) check(ok bool, path, member string, value any, allowed string) {
	if !ok {
		v.Check(false, path+member, value, allowed)
	}
}

// checkID checks the id of an entry and returns the path of the entry.
func (v *validator) checkID(section, id string) string {
	path := "$." + section + "." + id
	v.Check(idPattern.MatchString(id), path, id, idAllowed)
	return path
}

// Validate checks every value and every reference. The error is an
// *InvalidError that lists all invalid values in a stable order.
func (c *Config) Validate() error {
	v := &validator{}
	for id, b := range c.Batches {
		path := v.checkID("batches", id)
		v.check(b.Share > 0 && b.Share <= 1e6, path, ".share", b.Share, "more than 0, at most 1000000")
		v.check(!b.Expires.IsZero(), path, ".expires", b.Expires, "a time in RFC 3339 form")
	}
	for id, t := range c.Teams {
		c.validateTeam(v, v.checkID("teams", id), t)
	}
	for id, k := range c.Keys {
		c.validateKey(v, v.checkID("keys", id), k)
	}
	for id, s := range c.Services {
		validateService(v, v.checkID("services", id), s)
	}
	for id, r := range c.Routes {
		c.validateRoute(v, v.checkID("routes", id), r)
	}
	for zone := range c.EvacuatedZones {
		v.checkID("evacuated_zones", zone)
	}
	c.validateRouteOverlap(v)
	return v.Err()
}

func (c *Config) validateTeam(v *validator, path string, t Team) {
	_, ok := c.Batches[t.Batch]
	v.check(ok, path, ".batch", t.Batch, "the id of a batch")
	v.check(t.RatePerSecond >= 0 && t.RatePerSecond <= maxRatePerSecond, path, ".rate_per_second", t.RatePerSecond, "0 to 1000000")
	v.check(t.Priority == nil || (*t.Priority >= 0 && *t.Priority <= maxPriority), path, ".priority", t.Priority, "0 to 1000, or absent")
	v.check(t.Burst >= 1 && t.Burst <= maxBurst, path, ".burst", t.Burst, "1 to 1000000")
}

func (c *Config) validateKey(v *validator, path string, k Key) {
	_, ok := c.Teams[k.Team]
	v.check(ok, path, ".team", k.Team, "the id of a team")
	raw, err := hex.DecodeString(k.SHA256)
	ok = err == nil && len(raw) == 32 && strings.ToLower(k.SHA256) == k.SHA256
	v.check(ok, path, ".sha256", "the given value", "64 lower-case hex digits")
}

func validateService(v *validator, path string, s Service) {
	v.check(s.FloorPercent >= 0 && s.FloorPercent <= 100, path, ".floor_percent", s.FloorPercent, "0 to 100")
	v.check(s.Profile == ProfileCareful || s.Profile == ProfileFast, path, ".profile", s.Profile, "careful or fast")
	v.check(strings.HasPrefix(s.HealthPath, "/"), path, ".health_path", s.HealthPath, "a path that starts with /")
	// Only arbutus-edge limits cold targets, and its configuration is not validated here.
	v.check(s.WarmupMS == 0, path, ".warmup_ms", s.WarmupMS, "nothing; instances of arbutus-entry do not limit cold targets")
	v.check(s.WarmupPerSecond == 0, path, ".warmup_per_second", s.WarmupPerSecond, "nothing; instances of arbutus-entry do not limit cold targets")
	v.check(s.ProbeIntervalMS >= minProbeIntervalMS && s.ProbeIntervalMS <= maxProbeIntervalMS,
		path, ".probe_interval_ms", s.ProbeIntervalMS, "100 to 60000")
	for id, t := range s.Targets {
		targetPath := path + ".targets." + id
		v.Check(idPattern.MatchString(id), targetPath, id, idAllowed)
		_, err := netip.ParseAddrPort(t.Address)
		v.check(err == nil, targetPath, ".address", t.Address, "an IP address and port, such as 10.0.0.1:8080")
		v.check(idPattern.MatchString(t.Zone), targetPath, ".zone", t.Zone, idAllowed)
		v.check(t.Slots >= 1 && t.Slots <= maxSlots, targetPath, ".slots", t.Slots, "1 to 10000")
		v.check(t.MaxConnections >= 1 && t.MaxConnections <= maxConnections, targetPath, ".max_connections", t.MaxConnections, "1 to 100000")
	}
}

func (c *Config) validateRoute(v *validator, path string, r Route) {
	v.check(strings.HasPrefix(r.PathPrefix, "/") && !strings.HasPrefix(r.PathPrefix, "/.arbutus"),
		path, ".path_prefix", r.PathPrefix, "a path that starts with / and not with /.arbutus")
	for _, m := range r.Methods {
		v.check(m != "" && strings.ToUpper(m) == m, path, ".methods", m, "upper-case HTTP methods")
	}
	_, ok := c.Services[r.Service]
	v.check(ok || len(r.Split) > 0, path, ".service", r.Service, "the id of a service")
	for _, share := range r.Split {
		_, ok := c.Services[share.Service]
		v.check(ok && share.Weight >= 0, path, ".split", share, "ids of services with weights of at least 0")
	}
	for _, t := range r.Teams {
		_, ok := c.Teams[t]
		v.check(ok, path, ".teams", t, "ids of teams")
	}
	v.check(!r.OpenToAll || len(r.Teams) == 0, path, ".teams", r.Teams, "no teams when open_to_all is true")
	v.check(r.TimeoutMS >= 1 && r.TimeoutMS <= maxTimeoutMS, path, ".timeout_ms", r.TimeoutMS, "1 to 600000")
	v.check(r.MaxAttempts >= 1 && r.MaxAttempts <= maxAttemptsLimit, path, ".max_attempts", r.MaxAttempts, "1 to 10")
	v.check(r.Idempotent || r.MaxAttempts == 1, path, ".max_attempts", r.MaxAttempts, "1 on a route that is not idempotent")
	v.check(r.HedgePercent >= 0 && r.HedgePercent <= hedge.MaxPercent, path, ".hedge_percent", r.HedgePercent, fmt.Sprintf("0 to %d", hedge.MaxPercent))
	v.check(r.HedgePercent == 0 || r.Idempotent, path, ".hedge_percent", r.HedgePercent, "0 on a route that is not idempotent")
	v.check(r.Priority >= 0 && r.Priority <= maxPriority, path, ".priority", r.Priority, "0 to 1000")
	v.check(r.ObjectiveMS >= 0 && r.ObjectiveMS <= maxTimeoutMS, path, ".objective_ms", r.ObjectiveMS, "0 to 600000")
	v.check(r.MaxRedirects >= 0 && r.MaxRedirects < maxAttemptsLimit && (r.MaxRedirects == 0 || !r.Idempotent),
		path, ".max_redirects", r.MaxRedirects, "0 to 9, 0 on an idempotent route")
	v.check(!r.Deduplicate || !r.Idempotent, path, ".deduplicate", r.Deduplicate, "false on an idempotent route")
}

// validateRouteOverlap rejects two routes with the same host and path prefix that
// match the same request, because their methods overlap.
func (c *Config) validateRouteOverlap(v *validator) {
	ids := make([]string, 0, len(c.Routes))
	for id := range c.Routes {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	byPrefix := map[string][]string{}
	for _, id := range ids {
		r := c.Routes[id]
		prefix := r.Host + strings.TrimSuffix(r.PathPrefix, "/")
		for _, other := range byPrefix[prefix] {
			v.Check(!methodsOverlap(r.Methods, c.Routes[other].Methods), "$.routes."+id+".path_prefix", r.PathPrefix,
				"a prefix and methods that differ from route "+other)
		}
		byPrefix[prefix] = append(byPrefix[prefix], id)
	}
}

func methodsOverlap(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}
