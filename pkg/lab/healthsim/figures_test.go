package healthsim

import (
	"flag"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/matryer/is"
)

var (
	seeds     = flag.Int("seeds", 1, "number of seeds of each scenario")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	baseline  = flag.Bool("baseline", false, "also measure the baseline policy")
)

func measureScenario(policy Policy, scenario Scenario) Result {
	var r Result
	for seed := range *seeds {
		r.Add(Run(policy, scenario, *firstSeed+uint64(seed)))
	}
	return r
}

func logResult(t *testing.T, name string, r Result) {
	ms := func(values []time.Duration, q float64) int64 { return Quantile(values, q).Milliseconds() }
	fast, careful := r.DetectionTimes[config.ProfileFast], r.DetectionTimes[config.ProfileCareful]
	t.Logf("%s: fast p50/p99/max %d/%d/%d ms, careful %d/%d/%d ms, missed %d; false ejections %d (%.1f target-seconds); "+
		"minimum of slots in use %.1f%%, samples below the floor %d; failed %.3f%%, shed %.3f%% of %d; latency p50/p99 %d/%d ms", name,
		ms(fast, 0.5), ms(fast, 0.99), ms(fast, 1), ms(careful, 0.5), ms(careful, 0.99), ms(careful, 1), r.MissedDetections,
		r.FalseEjections, r.FalseTargetSeconds, r.MinInUsePercent, r.SamplesBelowFloor,
		100*float64(r.Failed)/float64(r.Requests), 100*float64(r.Shed)/float64(r.Requests), r.Requests,
		ms(r.Latencies, 0.5), ms(r.Latencies, 0.99))
}

// Guards the objectives of the design page: the p99 of the detection times is
// within 2 s with the fast profile, no target is ejected by mistake when all
// targets are alike, and ejections never leave less than the floor.
func TestObjectives(t *testing.T) {
	for _, scenario := range Scenarios() {
		t.Run(string(scenario), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			if *baseline {
				logResult(t, "baseline", measureScenario(BaselinePolicy, scenario))
			}
			r := measureScenario(FleetPolicy, scenario)
			logResult(t, "fleet   ", r)
			is.Equal(r.SamplesBelowFloor, 0)
			switch scenario {
			case Healthy, AllSlowOverloaded, AllSlowWithinCapacity:
				is.Equal(r.FalseEjections, 0)
			case GrayStall:
				is.True(Quantile(r.DetectionTimes[config.ProfileFast], 0.99) <= 2*time.Second)
			}
		})
	}
}
