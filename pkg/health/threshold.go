package health

import "time"

const (
	// The threshold is stallP95Factor times the 95th percentile of the service's
	// latencies, within minStallThreshold and maxStallThreshold. It follows the
	// percentile so that a shared slowdown does not turn every request into a stall.
	stallP95Factor    = 3
	stallPercentile   = 0.95
	minStallThreshold = 250 * time.Millisecond
	maxStallThreshold = 2 * time.Second
	// initialStallThreshold applies until minStallSamples latencies are known.
	initialStallThreshold = time.Second
	minStallSamples       = 20
	// stallDecayPerReport is the factor applied to the histogram with every report.
	// It gives a half-life of about 9 s.
	stallDecayPerReport = 0.98
)

// stallThreshold derives the time after which an open request counts as stalled from
// the latencies of the whole service at this instance.
type stallThreshold struct {
	// buckets is a histogram in which older latencies have a lower weight. total is
	// the sum of its buckets.
	buckets [latencyBuckets]float64
	total   float64
}

func (t *stallThreshold) observe(latency time.Duration) {
	t.buckets[latencyBucket(latency)]++
	t.total++
}

func (t *stallThreshold) decay() {
	t.total *= stallDecayPerReport
	for i := range t.buckets {
		t.buckets[i] *= stallDecayPerReport
	}
}

// current returns the threshold. It interpolates the percentile within its bucket.
func (t *stallThreshold) current() time.Duration {
	if t.total < minStallSamples {
		return initialStallThreshold
	}
	remaining := t.total * stallPercentile
	for i, n := range t.buckets {
		if remaining > n {
			remaining -= n
			continue
		}
		low, width := 0.0, 1.0
		if i > 0 {
			low = float64(int64(1) << (i - 1))
			width = low
		}
		p95 := time.Duration((low + width*remaining/n) * float64(time.Millisecond))
		return min(max(stallP95Factor*p95, minStallThreshold), maxStallThreshold)
	}
	return maxStallThreshold
}
