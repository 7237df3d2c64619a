package experiment

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// bucket is a token bucket in whole nanoseconds: a token costs cost, and at
// most burst tokens are kept.
type bucket struct {
	cost, kept, most int64
	last             time.Time
}

func newBucket(rate, burst int, start time.Time) *bucket {
	cost := int64(time.Second) / int64(rate)
	return &bucket{cost: cost, kept: int64(burst) * cost, most: int64(burst) * cost, last: start}
}

func (b *bucket) take(at time.Time) bool {
	b.kept, b.last = min(b.most, b.kept+int64(at.Sub(b.last))), at
	if b.kept < b.cost {
		return false
	}
	b.kept -= b.cost
	return true
}

// Rates that divide a second exactly.
var rates = rapid.SampledFrom([]int{1, 2, 5, 10, 50, 100, 500})

func drawTimes(t *rapid.T, start time.Time) []time.Time {
	gaps := rapid.SliceOfN(rapid.IntRange(0, 300), 1, 60).Draw(t, "gaps in ms")
	times := make([]time.Time, len(gaps))
	for i, gap := range gaps {
		start = start.Add(time.Duration(gap) * time.Millisecond)
		times[i] = start
	}
	return times
}

func ms(t *rapid.T, most int, name string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
}

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a report of over-limit admissions on requests that one bucket
// admitted at some moment inside their windows.
func TestOverLimitAcceptsWhatABucketAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rates.Draw(t, "rate"), rapid.IntRange(1, 10).Draw(t, "burst")
		b := newBucket(rate, burst, origin)
		var windows []window
		for _, at := range drawTimes(t, origin) {
			if b.take(at) {
				windows = append(windows, window{at.Add(-ms(t, 500, "before")), at.Add(ms(t, 500, "after"))})
			}
		}
		if got := overLimit(windows, float64(rate), burst); got != 0 {
			t.Fatalf("%d of %d requests are over the limit", got, len(windows))
		}
	})
}

// Guards against over-limit admissions that go unseen: with known moments of
// admission the check must agree with the bucket.
func TestOverLimitFindsWhatABucketRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rates.Draw(t, "rate"), rapid.IntRange(1, 10).Draw(t, "burst")
		b := newBucket(rate, burst, origin)
		var windows []window
		var refused int64
		for _, at := range drawTimes(t, origin) {
			windows = append(windows, window{at, at})
			if !b.take(at) {
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
			if b.take(at) {
				want++
			}
		}
		shuffled := rapid.Permutation(sent).Draw(t, "order")
		if got := entitled(shuffled, config.Team{RatePerSecond: float64(rate), Burst: burst}); got != want {
			t.Fatalf("entitled to %d requests, want %d", got, want)
		}
	})
}

// Guards against counting by serving requests as early as possible: a request
// that can wait then takes the token of one that cannot.
func TestOverLimitDoesNotSpendTokensTooEarly(t *testing.T) {
	is := is.New(t)
	at := func(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }
	is.Equal(overLimit([]window{{at(0), at(10_000)}, {at(500), at(500)}}, 1, 1), int64(0))
	is.Equal(overLimit(nil, 1, 1), int64(0))
}
