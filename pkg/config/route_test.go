package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/document"
)

// splitSample returns a configuration with a route for one host that divides its
// requests between two services, and a route for all hosts.
func splitSample() *Config {
	c := Empty()
	c.Batches["b"] = Batch{Share: 1, Expires: time.Unix(4_000_000_000, 0)}
	c.Teams["t"] = Team{Batch: "b", RatePerSecond: 1, Burst: 1}
	c.Keys["other"] = Key{Team: "t", SHA256: KeyDigest("issued elsewhere")}
	c.Services["s1"] = Service{Profile: ProfileFast, HealthPath: "/", ProbeIntervalMS: 1000}
	c.Services["s2"] = c.Services["s1"]
	c.Routes["all"] = Route{PathPrefix: "/a", Service: "s1", OpenToAll: true, TimeoutMS: 1, MaxAttempts: 1}
	c.Routes["one"] = Route{
		Host: "one.example", PathPrefix: "/a", OpenToAll: true, TimeoutMS: 1, MaxAttempts: 1,
		Split: []WeightedService{{Service: "s1", Weight: 3}, {Service: "s2", Weight: 1}},
	}
	return c
}

// Guards against a host getting the routes of another host, and against a route
// for all hosts taking precedence over a route for the request's host.
func TestHosts(t *testing.T) {
	is := is.New(t)
	c := splitSample()
	is.NoErr(c.Validate()) // the same prefix on two hosts does not overlap
	s := NewSnapshot(1, c)
	match, ok := s.Match("one.example", "GET", "/a/1")
	is.True(ok)
	is.Equal(match.ID, "one")
	match, ok = s.Match("two.example", "GET", "/a/1")
	is.True(ok)
	is.Equal(match.ID, "all")
}

// Guards against requests not being divided in proportion to the weights.
func TestChoose(t *testing.T) {
	is := is.New(t)
	route := splitSample().Routes["one"]
	counts := map[string]int{}
	for i := range 1000 {
		counts[route.ChooseService(float64(i)/1000)]++
	}
	is.Equal(counts, map[string]int{"s1": 750, "s2": 250})
	is.True(route.UsesService("s2") && !route.UsesService("s3"))
}

// Guards against a key that was issued elsewhere being rejected, and against a
// prefix or the digest of such a key being accepted.
func TestKeysIssuedElsewhere(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, splitSample())
	_, team, ok := s.Authenticate("issued elsewhere")
	is.True(ok)
	is.Equal(team, "t")
	for _, key := range []string{"", "issued", "issued elsewhere ", KeyDigest("issued elsewhere")} {
		_, _, ok = s.Authenticate(key)
		is.True(!ok)
	}
}

// Guards against invalid values of optional route fields and of a team's
// priority being accepted.
func TestInvalidRouteFields(t *testing.T) {
	negative := -1
	cases := map[string]func(*Config){
		"$.routes.all.priority":      func(c *Config) { edit(c, func(r *Route) { r.Priority = -1 }) },
		"$.routes.all.objective_ms":  func(c *Config) { edit(c, func(r *Route) { r.ObjectiveMS = -1 }) },
		"$.routes.all.max_redirects": func(c *Config) { edit(c, func(r *Route) { r.MaxRedirects = 10 }) },
		"$.routes.all.split":         func(c *Config) { edit(c, func(r *Route) { r.Split = []WeightedService{{Service: "s9", Weight: 1}} }) },
		"$.teams.t.priority": func(c *Config) {
			c.Teams["t"] = Team{Batch: "b", Burst: 1, Priority: &negative}
		},
	}
	for percent, idempotent := range map[float64]bool{-1: true, 20.5: true, 3: false} {
		cases[fmt.Sprintf("$.routes.all.hedge_percent#%v", percent)] = func(c *Config) {
			edit(c, func(r *Route) { r.HedgePercent, r.Idempotent = percent, idempotent })
		}
	}
	for path, change := range cases {
		t.Run(path, func(t *testing.T) {
			path, _, _ := strings.Cut(path, "#")
			is := is.New(t)
			c := splitSample()
			change(c)
			var invalid *document.InvalidError
			is.True(errors.As(c.Validate(), &invalid))
			is.Equal(len(invalid.Fields), 1)
			is.Equal(invalid.Fields[0].Path, path)
		})
	}
}

func edit(c *Config, change func(*Route)) {
	r := c.Routes["all"]
	change(&r)
	c.Routes["all"] = r
}
