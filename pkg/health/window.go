package health

import (
	"math"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// bucketWidth and bucketCount are the resolution and the size of a window.
const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = int64(longWindow / bucketWidth)
)

// tally sums the observations of one target.
type tally struct {
	answers, errors, stalls, sheds int
	// The sums, over the answers, of the binary logarithm of the latency in ms and of
	// its square.
	latencyLog2Sum, latencyLog2Squares float64
}

func (t *tally) add(o tally) {
	t.answers += o.answers
	t.errors += o.errors
	t.stalls += o.stalls
	t.sheds += o.sheds
	t.latencyLog2Sum += o.latencyLog2Sum
	t.latencyLog2Squares += o.latencyLog2Squares
}

func (t tally) failures() int { return t.errors + t.stalls }

// total counts the requests that say whether the target works. It leaves out shed
// ones, which are caused by load instead of a fault.
func (t tally) total() int { return t.answers + t.failures() }

func (t tally) failureRatio() float64 {
	if t.total() == 0 {
		return 0
	}
	return float64(t.failures()) / float64(t.total())
}

func (t tally) meanLatencyLog2() float64 { return t.latencyLog2Sum / float64(max(t.answers, 1)) }

func (t tally) latencyLog2Variance() float64 {
	mean := t.meanLatencyLog2()
	return max(t.latencyLog2Squares/float64(max(t.answers, 1))-mean*mean, 0)
}

// tallyOf converts the counts of a report. It estimates the logarithms of the
// latencies from the histogram.
func tallyOf(c *peerpb.TargetCounts) tally {
	t := tally{answers: int(c.Answers), errors: int(c.Errors), stalls: int(c.Stalls), sheds: int(c.Sheds)}
	for i, n := range c.Latency {
		// The middle of bucket i, [2^(i-1), 2^i) ms, on the logarithmic scale.
		middle := float64(i) - 0.5
		t.latencyLog2Sum += float64(n) * middle
		t.latencyLog2Squares += float64(n) * middle * middle
	}
	return t
}

// window keeps the tallies of the last longWindow in a ring of buckets of bucketWidth.
type window struct {
	buckets [bucketCount]tally
	// epochs holds the number of the interval, counted from 1 at boot, that each
	// bucket covers; 0 is an unused bucket.
	epochs [bucketCount]int64
}

func (w *window) add(now time.Duration, t tally) {
	epoch := int64(now/bucketWidth) + 1
	i := epoch % bucketCount
	if w.epochs[i] != epoch {
		w.epochs[i], w.buckets[i] = epoch, tally{}
	}
	w.buckets[i].add(t)
}

// sum adds up the buckets of the last span, without those from before since.
func (w *window) sum(now, span, since time.Duration) tally {
	last := int64(now/bucketWidth) + 1
	first := max(last-int64(span/bucketWidth)+1, int64(since/bucketWidth)+1)
	var total tally
	for i, epoch := range w.epochs {
		if epoch >= first && epoch <= last {
			total.add(w.buckets[i])
		}
	}
	return total
}

// evidence returns the negative natural logarithm of the Chernoff bound on the
// probability that a target with failure ratio p fails at least the given number of
// times out of total. It is 0 when the ratio of failures to total does not exceed p.
func evidence(failures, total int, p float64) float64 {
	if total == 0 {
		return 0
	}
	ratio := float64(failures) / float64(total)
	if ratio <= p {
		return 0
	}
	nats := ratio * math.Log(ratio/p)
	if ratio < 1 {
		nats += (1 - ratio) * math.Log((1-ratio)/(1-p))
	}
	return float64(total) * nats
}
