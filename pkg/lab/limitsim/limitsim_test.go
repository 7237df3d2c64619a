package limitsim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/limit"
)

var requests = flag.Int("requests", 1000, "number of requests per simulated case")

func baseCase(rate float64, burst, maxIssuers int) Case {
	p := limit.DefaultParams(2 * time.Second)
	p.MaxIssuers = maxIssuers
	return Case{
		Rate: rate, Burst: burst, Load: 0.9, Skew: 0.8, Instances: 48, Requests: *requests,
		OneWayDelay: 1500 * time.Microsecond, Seed: 1, Params: p,
	}
}

var teams = []struct {
	rate  float64
	burst int
}{{10, 5}, {10, 20}, {50, 5}, {50, 20}, {500, 5}, {500, 20}, {1000, 1000}}

// Guards against a loan policy that admits more requests than the team's limits
// allow in any of the cases. With -v it logs the figures for comparing values of
// k, the maximum number of issuers (limit.Params.MaxIssuers).
func TestFigures(t *testing.T) {
	for _, crash := range []bool{false, true} {
		for _, limits := range teams {
			for _, k := range []int{1, 2, 4, 8, 16} {
				t.Run(fmt.Sprintf("crash=%v/rate=%v/burst=%d/k=%d", crash, limits.rate, limits.burst, k), func(t *testing.T) {
					t.Parallel()
					c := baseCase(limits.rate, limits.burst, k)
					c.Crash = crash
					r := Run(c)
					t.Log(r)
					if r.OverLimit > 0 {
						t.Errorf("%d admissions exceed the limit", r.OverLimit)
					}
				})
			}
		}
	}
}

// Guards against a loan policy that refuses requests within the team's rate.
// Teams with a rate of 10/s miss the objective and are left out; see
// docs/decisions/rate-limits.md.
func TestFalseRefusals(t *testing.T) {
	for _, limits := range teams {
		for _, skew := range []float64{0, 0.8} {
			if limits.rate < 50 {
				continue
			}
			c := baseCase(limits.rate, limits.burst, 16)
			c.Skew, c.Requests = skew, 4000
			if r := Run(c); r.FalseRefusalPercent() > 0.1 || r.OverLimit > 0 {
				t.Errorf("rate %v burst %d skew %v: %v", limits.rate, limits.burst, skew, r)
			}
		}
	}
}

// Guards against admitting less than the rate of a team that sends five times its
// rate, because its tokens are held by borrowers that cannot use them.
func TestOverload(t *testing.T) {
	for _, limits := range teams[2:6] {
		for _, skew := range []float64{0, 0.8} {
			t.Run(fmt.Sprintf("rate=%v/burst=%d/skew=%v", limits.rate, limits.burst, skew), func(t *testing.T) {
				t.Parallel()
				c := baseCase(limits.rate, limits.burst, 16)
				c.Load, c.Skew, c.Requests = 5, skew, 8000
				const want = 0.95
				r := Run(c)
				ratio := float64(r.Requests-r.FleetRefused) / float64(r.Requests-r.CentralRefused)
				t.Logf("ratio of admitted requests to those of the central bucket: %.3f", ratio)
				if ratio < want || r.OverLimit > 0 {
					t.Error(r)
				}
			})
		}
	}
}

// deploymentTeams have a burst of about the tokens of half a second, like the
// teams of the simulated deployments.
var deploymentTeams = []struct {
	rate  float64
	burst int
}{{20, 10}, {22, 11}, {37, 18}, {44, 22}, {60, 30}, {100, 50}, {221, 110}, {500, 250}, {1000, 500}}

// Guards against a loan policy with which requests wait although the team has
// tokens, because other instances hold them. The p99 of the waits of evenly spread
// requests may exceed that of a queue at one central bucket by 2 ms.
func TestWaits(t *testing.T) {
	for _, limits := range deploymentTeams {
		for _, skew := range []float64{0, 0.8} {
			t.Run(fmt.Sprintf("rate=%v/burst=%d/skew=%v", limits.rate, limits.burst, skew), func(t *testing.T) {
				t.Parallel()
				c := baseCase(limits.rate, limits.burst, 16)
				c.Skew, c.Steered, c.Requests = skew, true, max(*requests, 8000)
				r := Run(c)
				t.Logf("rate %v burst %d skew %v: %v", limits.rate, limits.burst, skew, r)
				allowed := r.CentralWait.P99 + 2*time.Millisecond
				if skew == 0 && r.Wait.P99 > allowed {
					t.Errorf("p99 of the wait %v, allowed %v", r.Wait.P99, allowed)
				}
				const allowedFalse = 0.1
				if r.FalseRefusalPercent() > allowedFalse || r.OverLimit > 0 {
					t.Errorf("%.3f%% refused falsely, %d over the limit", r.FalseRefusalPercent(), r.OverLimit)
				}
			})
		}
	}
}
