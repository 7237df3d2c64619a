package health

import (
	"math"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	bucketWidth = 250 * time.Millisecond
	bucketCount = int64(longWindow / bucketWidth)
)

// tally sums observations of one target.
type tally struct {
	answers, errors, stalls, sheds int
	// Sums over the answers of the binary logarithm of the latency in ms.
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

// total leaves shed answers out: they tell of load, not of a fault.
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

// window keeps the tallies of the last longWindow in buckets of bucketWidth.
type window struct {
	buckets [bucketCount]tally
	epochs  [bucketCount]int64
}

func (w *window) add(now time.Duration, t tally) {
	epoch := int64(now/bucketWidth) + 1
	i := epoch % bucketCount
	if w.epochs[i] != epoch {
		w.epochs[i], w.buckets[i] = epoch, tally{}
	}
	w.buckets[i].add(t)
}

// sum adds up the buckets of the last span, but none from before since.
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

// evidence is the negative natural logarithm of the Chernoff bound on the
// probability that a target with failure share p fails bad times or more out
// of total. It is 0 when the failures do not exceed the share.
func evidence(bad, total int, p float64) float64 {
	if total == 0 {
		return 0
	}
	share := float64(bad) / float64(total)
	if share <= p {
		return 0
	}
	nats := share * math.Log(share/p)
	if share < 1 {
		nats += (1 - share) * math.Log((1-share)/(1-p))
	}
	return float64(total) * nats
}
