package usage

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// drawLoad draws a fleet, a demand and failures.
func drawLoad(t *rapid.T) load {
	l := load{
		rate:        rapid.SampledFrom([]float64{3, 8, 20, 45, 76, 150, 300}).Draw(t, "rate"),
		instances:   rapid.IntRange(1, 40).Draw(t, "instances"),
		zones:       rapid.IntRange(1, 4).Draw(t, "zones"),
		utilization: 0.62,
		swing:       rapid.SampledFrom([]float64{0, 0.15, 0.55}).Draw(t, "swing"),
		clump:       rapid.SampledFrom([]float64{1, 1, 2, 4}).Draw(t, "clump"),
		hot:         rapid.SampledFrom([]float64{0, 0.5, 0.8}).Draw(t, "hot"),
		moves:       rapid.SampledFrom([]time.Duration{0, 2 * time.Second, 5 * time.Second}).Draw(t, "moves"),
		loss:        rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "loss"),
		firstStart:  rapid.Bool().Draw(t, "first start"),
		duration:    20 * time.Second,
		seed:        rapid.Uint64().Draw(t, "seed"),
	}
	l.burst = max(1, l.rate)
	if rapid.Bool().Draw(t, "overload") {
		// Five times the rate, at the mean of the swing.
		l.factor, l.swing = 5/l.utilization, 0
		l.factorAt = seconds(t, "overload at", 0, 12)
		l.factorFor = seconds(t, "overload for", 2, 12)
	}
	drawFailure(t, &l)
	return l
}

func seconds(t *rapid.T, name string, from, to int) time.Duration {
	return time.Duration(rapid.IntRange(from*4, to*4).Draw(t, name)) * time.Second / 4
}

// drawFailure draws what happens to the fleet.
func drawFailure(t *rapid.T, l *load) {
	// An instance cannot know of others of which it has never heard.
	at := seconds(t, "failure at", 3, 12)
	end := at + seconds(t, "failure for", 1, 12)
	during := func(now time.Duration) bool { return now >= at && now < end }
	some := rapid.IntRange(0, l.instances).Draw(t, "instances that fail")
	zones := max(1, l.zones)
	switch rapid.SampledFrom([]string{"none", "cut", "zones cut", "isolated", "restart", "join", "standby", "swap"}).Draw(t, "failure") {
	case "cut":
		l.side = func(i int, now time.Duration) int { return number(during(now) && i < some) }
	case "zones cut":
		l.side = func(i int, now time.Duration) int { return number(during(now)) * (i % zones) }
	case "isolated":
		l.side = func(i int, now time.Duration) int { return number(during(now)) * i }
	case "restart":
		l.running = func(_ int, now time.Duration) bool { return now < at || now >= at+500*time.Millisecond }
	case "join":
		l.running = func(i int, now time.Duration) bool { return i == 0 || i >= some || now >= at }
	case "standby":
		l.serves = func(i int, now time.Duration) bool { return i == 0 || i >= some || !during(now) }
	case "swap":
		l.serves = func(i int, now time.Duration) bool { return l.instances == 1 || (now < at) == (i%2 == 0) }
	}
}

func number(b bool) int {
	if b {
		return 1
	}
	return 0
}

// toOld leaves of a count what a build of the last release sends.
func toOld(use *peerpb.TeamUse) { use.Demand, use.Share = 0, 0 }

// Guards against a team that gets more than the bound of the platform, whatever its demand,
// its spread over the instances, and the failures of instances and links.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if o := simulate(drawLoad(t)); o.most > o.allowed {
			t.Fatal(o)
		}
	})
}

// Guards against a fleet of builds of two releases that gets more than the bound: the last
// release reports no demand and divides the rate evenly.
func TestBoundHoldsBesideOldBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLoad(t)
		count := rapid.IntRange(0, l.instances).Draw(t, "old builds")
		l.old = func(i int) bool { return i < count }
		if o := simulate(l); o.most > o.allowed {
			t.Fatal(o)
		}
	})
}

// Guards against a fleet whose instances start at once with a whole burst each: 318 requests
// of a team were admitted in 5 s where 317 are allowed.
func TestStartOfAllKeepsLimit(t *testing.T) {
	for _, rate := range []float64{3, 12, 45, 300} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%g/%d", rate, seed), func(t *testing.T) {
				l := load{
					rate: rate, burst: rate, instances: 41, zones: 4, utilization: 6.5, clump: 2, loss: 0.2, firstStart: true,
					duration: 8 * time.Second, seed: seed,
				}
				if o := simulate(l); o.most > o.allowed {
					t.Error(o)
				}
			})
		}
	}
}

// Guards against teams within their rate that are refused because demand is uneven or moves.
// The demand swings by 55% around 62% of the rate, and the requests arrive one by one.
func TestTeamsWithinRateAreServed(t *testing.T) {
	for _, rate := range []float64{3, 12, 45, 76, 300} {
		for _, instances := range []int{10, 20} {
			for _, d := range []struct {
				name  string
				hot   float64
				moves time.Duration
			}{{"even", 0, 0}, {"one has most", 0.8, 0}, {"moving", 0.8, 3 * time.Second}} {
				t.Run(fmt.Sprintf("%g/%d/%s", rate, instances, d.name), func(t *testing.T) {
					sum := outcome{}
					for seed := range uint64(4) {
						o := simulate(load{
							rate: rate, burst: rate, instances: instances, zones: 4, utilization: 0.62, swing: 0.55, hot: d.hot, moves: d.moves,
							loss: 0.02, firstStart: true, warmUp: 2 * time.Second, duration: 40 * time.Second, seed: seed,
						})
						sum.central += o.central
						sum.wrong += o.wrong
					}
					if sum.wrongPercent() > allowedWrongPercent {
						t.Errorf("%d of %d refused wrongly (%.3f%%)", sum.wrong, sum.central, sum.wrongPercent())
					}
				})
			}
		}
	}
}

// allowedWrongPercent is the goal for the requests within rate and burst that are refused on a
// calm day.
const allowedWrongPercent = 0.1
