package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// bucket is a token bucket that counts in whole nanoseconds and so has no
// rounding errors: a token costs tokenCost, and maxBalance is the cost of burst
// tokens.
type bucket struct {
	tokenCost, balance, maxBalance int64
	last                           time.Time
}

func newBucket(rate, burst int, start time.Time) *bucket {
	tokenCost := int64(time.Second) / int64(rate)
	return &bucket{tokenCost: tokenCost, balance: int64(burst) * tokenCost, maxBalance: int64(burst) * tokenCost, last: start}
}

func (b *bucket) admit(at time.Time) bool {
	b.balance, b.last = min(b.maxBalance, b.balance+int64(at.Sub(b.last))), at
	if b.balance < b.tokenCost {
		return false
	}
	b.balance -= b.tokenCost
	return true
}

// rates are token rates per second that divide a second exactly.
var rates = rapid.SampledFrom([]int{1, 2, 5, 10, 50, 100, 500})

// drawTimes draws ascending times from start.
func drawTimes(t *rapid.T, start time.Time) []time.Time {
	gaps := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 60).Draw(t, "gaps in ms")
	times := make([]time.Time, len(gaps))
	for i, gap := range gaps {
		start = start.Add(time.Duration(gap) * time.Millisecond)
		times[i] = start
	}
	return times
}

func drawMilliseconds(t *rapid.T, maxMS int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, maxMS).Draw(t, name)) * time.Millisecond
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against counting requests as over the limit although a bucket admitted
// them at some time inside their windows.
func TestOverLimitAcceptsWhatABucketAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rates.Draw(t, "rate"), rapid.IntRange(1, 10).Draw(t, "burst")
		b := newBucket(rate, burst, origin)
		var windows []window
		for _, at := range drawTimes(t, origin) {
			if b.admit(at) {
				windows = append(windows, window{at.Add(-drawMilliseconds(t, 500, "before")), at.Add(drawMilliseconds(t, 500, "after"))})
			}
		}
		if got := overLimit(windows, float64(rate), burst); got != 0 {
			t.Fatalf("%d of %d requests are over the limit", got, len(windows))
		}
	})
}

// Guards against undetected over-limit admissions: when the times of admission
// are known exactly, the check must agree with the bucket.
func TestOverLimitFindsWhatABucketRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rates.Draw(t, "rate"), rapid.IntRange(1, 10).Draw(t, "burst")
		b := newBucket(rate, burst, origin)
		var windows []window
		var refused int64
		for _, at := range drawTimes(t, origin) {
			windows = append(windows, window{at, at})
			if !b.admit(at) {
				refused++
			}
		}
		if got := overLimit(windows, float64(rate), burst); got != refused {
			t.Fatalf("%d requests are over the limit, want %d", got, refused)
		}
	})
}

// Guards against entitlements that differ from a single bucket's admissions.
func TestEntitledAgreesWithABucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rates.Draw(t, "rate"), rapid.IntRange(1, 10).Draw(t, "burst")
		sent := drawTimes(t, origin)
		b := newBucket(rate, burst, sent[0])
		var want int64
		for _, at := range sent {
			if b.admit(at) {
				want++
			}
		}
		shuffled := rapid.Permutation(sent).Draw(t, "order")
		if got := countEntitled(shuffled, config.Team{RatePerSecond: float64(rate), Burst: burst}); got != want {
			t.Fatalf("entitled to %d requests, want %d", got, want)
		}
	})
}

// Guards against an algorithm that admits each request as early as possible: a
// request with a long window then takes the token of one with a short window.
func TestOverLimitDoesNotSpendTokensTooEarly(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	is.Equal(overLimit([]window{{at(0), at(10_000)}, {at(500), at(500)}}, 1, 1), int64(0))
	is.Equal(overLimit(nil, 1, 1), int64(0))
}
