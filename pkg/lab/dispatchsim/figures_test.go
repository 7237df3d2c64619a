package dispatchsim

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	seeds     = flag.Int("seeds", 1, "number of seeds of each scenario")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	compare   = flag.Bool("compare", false, "measure all policies in all scenarios")
)

func measure(policy Policy, scenario Scenario) Result {
	var r Result
	for seed := range *seeds {
		r.Add(Run(policy, scenario, *firstSeed+uint64(seed)))
	}
	return r
}

func logResult(t *testing.T, policy Policy, scenario Scenario, r *Result) {
	ms := func(values []time.Duration, q float64) float64 { return Quantile(values, q).Seconds() * 1000 }
	percent := func(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }
	team, fraction := r.WorstTeam(scenario)
	t.Logf("%-18s %-22s shed %.3f%% refused %.3f%% (by target %.3f%%) failed %.3f%%; wait in target queue p50/p90/p99 %.1f/%.1f/%.1f; "+
		"added delay p50/p99 %.2f/%.2f; latency p50/p99 %.0f/%.0f; worst team %s %.1f%%; calls/request %.2f, late calls %.3f%%; requests %d",
		scenario.Name, policy, percent(r.Sheds, r.Writes), percent(r.Refused, r.Requests), percent(r.FinalSheds, r.Requests),
		percent(r.Failed, r.Requests), ms(r.QueueWaits, 0.5), ms(r.QueueWaits, 0.9), ms(r.QueueWaits, 0.99), ms(r.AddedDelays, 0.5), ms(r.AddedDelays, 0.99),
		ms(r.Latencies, 0.5), ms(r.Latencies, 0.99), team, 100*fraction, float64(r.Calls)/float64(r.Requests),
		percent(r.LateCalls, r.Calls), r.Requests)
	if scenario.Crash || scenario.Freeze > 0 {
		t.Logf("%-18s %-22s after the fault: refused %d, failed %d of %d; added delay p50/p99/max %.2f/%.2f/%.2f", scenario.Name,
			policy, r.FaultWindow.Refused, r.FaultWindow.Failed, r.FaultWindow.Requests, ms(r.FaultWindow.AddedDelays, 0.5), ms(r.FaultWindow.AddedDelays, 0.99), ms(r.FaultWindow.AddedDelays, 1))
	}
}

// Logs the figures of all policies. It takes about 10 s per seed.
func TestCompare(t *testing.T) {
	if !*compare {
		t.Skip("needs -compare")
	}
	for _, scenario := range Scenarios() {
		for _, policy := range Policies() {
			t.Run(scenario.Name+"/"+string(policy), func(t *testing.T) {
				t.Parallel()
				r := measure(policy, scenario)
				logResult(t, policy, scenario, &r)
			})
		}
	}
}

// Guards the reason for reservations, which is to avoid refusals while slots are
// free: at 60% load, at most 0.1% of the requests are refused.
func TestReservationsAvoidRefusals(t *testing.T) {
	is := is.New(t)
	scenario := Scenario{Name: "load-60", Load: 0.6}
	r := measure(ReserveAll, scenario)
	logResult(t, ReserveAll, scenario, &r)
	is.True(r.Requests > 10_000)
	is.True(1000*r.Refused <= r.Requests)
}

// Guards against requests that fail, or are delayed by more than 6 ms, because
// their dispatcher has crashed.
func TestCrashCostsBoundedWaits(t *testing.T) {
	is := is.New(t)
	scenario := Scenario{Name: "load-60-crash", Load: 0.6, Crash: true}
	r := measure(ReserveAll, scenario)
	logResult(t, ReserveAll, scenario, &r)
	is.True(r.FaultWindow.Requests > 500)
	is.Equal(r.Failed, 0)
	is.True(Quantile(r.FaultWindow.AddedDelays, 1) <= 6*time.Millisecond)
}
