package hedge

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// plenty is a Budget that never runs out.
type plenty struct{}

func (plenty) TakeHedge(time.Duration) bool { return true }

// none is a Budget without a hedge to spare.
type none struct{}

func (none) TakeHedge(time.Duration) bool { return false }

// usual returns a latency around 290 ms, of which one in fifty takes 3 to 7 times as long, as
// the deployments show.
func usual(random *rand.Rand) time.Duration {
	latency := 200 + 180*random.Float64()
	if random.Float64() < 0.02 {
		latency *= 3 + 4*random.Float64()
	}
	return time.Duration(latency * float64(time.Millisecond))
}

func newTestDecider(count int, latency func(*rand.Rand) time.Duration, bytes int64) *Decider {
	random := rand.New(rand.NewPCG(1, 2))
	d := NewDecider()
	for range count {
		d.Observe("r", latency(random), bytes, 0)
	}
	return d
}

// Guards against a hedge for most requests, and against one after the time at which it helps.
func TestDelayFollowsTheDistribution(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(2000, usual, 100)
	delay := d.Delay("r", 3, time.Minute, 1200*time.Millisecond, time.Second)
	is.True(delay >= 360*time.Millisecond && delay <= 500*time.Millisecond)
	is.Equal(d.Delay("r", 3, time.Minute, delay+100*time.Millisecond, time.Second), time.Duration(0)) // too late to help
	is.Equal(d.Delay("r", 0, time.Minute, time.Minute, time.Second), time.Duration(0))                // off
	is.Equal(d.Delay("other", 3, time.Minute, time.Minute, time.Second), time.Duration(0))            // nothing known
	is.Equal(newTestDecider(minSamples-1, usual, 100).Delay("r", 20, time.Minute, time.Minute, time.Second), time.Duration(0))
}

// Guards against a hedge that comes when the request gets a retry anyway, or too late for the
// deadline: at an earlier age it reaches a part of the slow requests.
func TestHedgeComesBeforeTheRetry(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(2000, func(r *rand.Rand) time.Duration {
		return time.Duration(150/math.Pow(1-r.Float64(), 1/1.9)) * time.Millisecond
	}, 100)
	late := d.Delay("r", 3, time.Minute, time.Minute, time.Second)
	is.True(late > 800*time.Millisecond)
	early := d.Delay("r", 3, 600*time.Millisecond, time.Minute, time.Second)
	is.True(early > 300*time.Millisecond && early <= 550*time.Millisecond)
	early = d.Delay("r", 3, time.Minute, 700*time.Millisecond, time.Second)
	is.True(early > 300*time.Millisecond && early <= 500*time.Millisecond)
}

// Guards against hedges of requests that take long because of what they ask for: the second
// target would take as long.
func TestLargeResponsesAreNotHedgedForTheirSize(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(1000, func(r *rand.Rand) time.Duration { return time.Duration(90+20*r.Float64()) * time.Millisecond }, 1000)
	random := rand.New(rand.NewPCG(3, 4))
	for range 50 {
		d.Observe("r", time.Duration(900+200*random.Float64())*time.Millisecond, 1<<20, 0)
	}
	is.Equal(d.Delay("r", 3, time.Minute, time.Minute, time.Second), time.Duration(0))
	for range 150 {
		d.Observe("r", time.Duration(900+200*random.Float64())*time.Millisecond, 1000, 0)
	}
	is.True(d.Delay("r", 3, time.Minute, time.Minute, 2*time.Second) > 0) // now most slow ones are slow by chance
}

// Guards against an age at which hedges are due that the permitted percentage of the requests does
// not exceed: the attempts that hedges replace are cancelled, and would be missing among the
// long latencies.
func TestCancelledAttemptsStayInTheDistribution(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(500, usual, 100)
	random := rand.New(rand.NewPCG(5, 6))
	now, due, slow, hedged := time.Second, 0, 0, 0
	const requests = 5000
	for range requests {
		now += 20 * time.Millisecond
		delay := d.Delay("r", 3, time.Minute, 10*time.Second, now)
		first, second := usual(random), delay+usual(random)
		isDue := delay > 0 && first > delay
		if isDue {
			due++
		}
		if first > 600*time.Millisecond {
			slow++
			if isDue && second < first {
				hedged++
			}
		}
		if isDue && second < first {
			d.ObserveCanceled("r", second, 100, now)
			continue
		}
		d.Observe("r", first, 100, now)
	}
	is.True(slow > 50 && hedged >= slow*8/10)
	// 3%, with the error of a quantile of some 700 latencies
	is.True(due >= requests*27/1000 && due <= requests*40/1000)
}

// Guards against latencies of a slow phase that decide for minutes.
func TestLatenciesDecay(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(2000, func(r *rand.Rand) time.Duration { return 10 * usual(r) }, 100)
	random := rand.New(rand.NewPCG(7, 8))
	for i := range 3000 {
		d.Observe("r", usual(random), 100, time.Duration(i)*40*time.Millisecond)
	}
	is.True(d.Delay("r", 3, time.Minute, time.Minute, 2*time.Minute) < time.Second)
	is.Equal(d.Delay("r", 3, time.Minute, time.Minute, time.Hour), time.Duration(0)) // forgotten
}

// Guards against more hedges over a fleet than the limit permits, while no instance hears of
// another one, instances restart, and the limit changes.
func TestLimitHoldsOverTheFleet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deciders := make([]*Decider, rapid.IntRange(1, 40).Draw(t, "instances"))
		for i := range deciders {
			deciders[i] = NewDecider()
		}
		allowed, sent := 0.0, 0.0
		percent := rapid.SampledFrom([]float64{0.1, 1, 3, 20}).Draw(t, "percent")
		for range rapid.IntRange(1, 3000).Draw(t, "requests") {
			// One instance may have most of the demand.
			i := rapid.SampledFrom([]int{0, 0, 0, rapid.IntRange(0, len(deciders)-1).Draw(t, "other")}).Draw(t, "instance")
			deciders[i].Arrived("s", percent)
			allowed += percent / 100
			for sent <= allowed+1e-6 && deciders[i].Take("s", plenty{}, 0) == Allowed {
				sent++
			}
			switch rapid.IntRange(0, 200).Draw(t, "change") {
			case 0:
				deciders[i] = NewDecider()
			case 1:
				percent = rapid.SampledFrom([]float64{0, 0.1, 1, 3, 20}).Draw(t, "percent")
			}
			if sent > allowed+1e-6 {
				t.Fatalf("%v hedges sent, %v allowed", sent, allowed)
			}
		}
	})
}

// Guards against hedges while something else needs the capacity or the retries, and against
// an allowance that a refused hedge uses up.
func TestAsk(t *testing.T) {
	is := is.New(t)
	d := newTestDecider(200, usual, 100)
	d.Arrived("s", 3)
	q := Question{Key: "s", Route: "r", Left: time.Second}
	d.Delay("r", 3, time.Minute, time.Second, time.Second)
	is.Equal(d.Ask(q, time.Second), NoAllowance)
	for range 200 {
		d.Arrived("s", 3)
	}
	is.Equal(d.Ask(q, time.Second), Allowed)
	for _, tc := range []struct {
		load Load
		left time.Duration
		want Refusal
	}{
		{Load{Waiting: 1}, time.Second, Shortage},
		{Load{Utilization: 0.9}, time.Second, Busy},
		{Load{SlowRatio: 0.8}, time.Second, AllSlow},
		{Load{}, 100 * time.Millisecond, TooLate},
	} {
		is.Equal(d.Ask(Question{"s", "r", tc.left, tc.load}, time.Second), tc.want)
	}
	is.Equal(d.Take("s", none{}, time.Second), NoRetry)
	for range int(maxSaved) {
		is.Equal(d.Take("s", plenty{}, time.Second), Allowed)
	}
	is.Equal(d.Take("s", plenty{}, time.Second), NoAllowance)
	d.Shortage(10 * time.Second)
	is.Equal(d.Ask(q, 10*time.Second+Hold-1), Shortage)
	is.Equal(d.Ask(q, 10*time.Second+Hold), NoAllowance)
	d.Ended(true, time.Second)
	state := d.State()
	is.Equal(state.Sent, int64(maxSaved))
	is.Equal(state.Won, int64(1))
	is.Equal(state.WastedSeconds, 1.0)
	is.Equal(state.Refused["no_retry"], int64(1))
}

// Guards against the limit of another route or service.
func TestLimits(t *testing.T) {
	is := is.New(t)
	l := &Limits{Percent: 1, Routes: map[string]float64{"/a": 2, "/a/b": 0, "shop": 3}}
	for _, tc := range []struct {
		prefix, service, key string
		percent              float64
	}{
		{"/a/c", "shop", "/a", 2},
		{"/a/b/", "shop", "/a/b", 0},
		{"/a", "shop", "/a", 2},
		{"/ab", "shop", "shop", 3},
		{"/c", "shop", "shop", 3},
		{"/c", "other", "other", 1},
	} {
		key, percent := l.Find(tc.prefix, tc.service)
		is.Equal(key, tc.key)
		is.Equal(percent, tc.percent)
	}
	is.True((*Limits)(nil).Off() && (&Limits{Routes: map[string]float64{"/a": 0}}).Off())
	is.True(!l.Off() && !(&Limits{Routes: map[string]float64{"/a": 1}}).Off())
}

// Guards against sizes beyond the classes.
func TestSizeClass(t *testing.T) {
	is := is.New(t)
	for bytes, want := range map[int64]int{0: 0, 4 << 10: 0, 4<<10 + 1: 1, 64 << 10: 1, 64<<10 + 1: 2, 1 << 20: 2, 1<<20 + 1: 3, 1 << 40: 3} {
		is.Equal(sizeClass(bytes), want)
	}
}

// Measures the computation of a delay, during which the caller's lock is held.
func BenchmarkDelay(b *testing.B) {
	d := newTestDecider(5000, usual, 100)
	for range b.N {
		d.routes["r"].compute(3, time.Minute, time.Minute)
	}
}
