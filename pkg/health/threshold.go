package health

import "time"

const (
	// The threshold follows the 95th percentile of the service, so that a
	// shared slowdown does not turn every request into a stall.
	stallFactor     = 3
	stallPercentile = 0.95
	minStall        = 250 * time.Millisecond
	maxStall        = 2 * time.Second
	// initialStall applies until minStallSamples latencies are known.
	initialStall    = time.Second
	minStallSamples = 20
	// stallDecay per report gives a half-life of about 9 s.
	stallDecay = 0.98
)

// stallThreshold derives the time after which an open request counts as
// stalled from the latencies of the whole service at this instance.
type stallThreshold struct {
	buckets [latencyBuckets]float64
	total   float64
}

func (t *stallThreshold) observe(latency time.Duration) {
	t.buckets[latencyBucket(latency)]++
	t.total++
}

func (t *stallThreshold) decay() {
	t.total *= stallDecay
	for i := range t.buckets {
		t.buckets[i] *= stallDecay
	}
}

func (t *stallThreshold) current() time.Duration {
	if t.total < minStallSamples {
		return initialStall
	}
	rest := t.total * stallPercentile
	for i, n := range t.buckets {
		if rest > n {
			rest -= n
			continue
		}
		low, width := 0.0, 1.0
		if i > 0 {
			low = float64(int64(1) << (i - 1))
			width = low
		}
		p95 := time.Duration((low + width*rest/n) * float64(time.Millisecond))
		return min(max(stallFactor*p95, minStall), maxStall)
	}
	return maxStall
}
