package limitsim

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/limit"
)

var requests = flag.Int("requests", 4000, "requests per case of the figures")

func baseCase(rate float64, burst, k int) Case {
	p := limit.DefaultParams(2 * time.Second)
	p.K = k
	return Case{
		Rate: rate, Burst: burst, Load: 0.9, Skew: 0.8, Instances: 48, Requests: *requests,
		OneWay: 1500 * time.Microsecond, Seed: 1, Params: p,
	}
}

var teams = []struct {
	rate  float64
	burst int
}{{10, 5}, {10, 20}, {50, 5}, {50, 20}, {500, 5}, {500, 20}, {1000, 1000}}

// Guards against a change of the loan policy that admits too much in any case;
// with -v it prints the figures from which k was chosen.
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
						t.Errorf("%d admissions over the limit", r.OverLimit)
					}
				})
			}
		}
	}
}
