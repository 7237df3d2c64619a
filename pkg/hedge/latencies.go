package hedge

import (
	"math/bits"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the largest latency that is told apart, in units of 1 ms; the longest
	// timeout of a route is 10 min, but responses beyond a minute are not hedged.
	maxRecorded = 60_000
	// significantDigits gives latencies to within 1%.
	significantDigits = 2
	// halfLife is the age at which a latency counts half. Targets fail or are slow for about
	// 9 s at a time, and demand varies over 11 to 15 s: one such phase must not decide alone, and
	// must be forgotten soon after it.
	halfLife = 10 * time.Second
	// sampleCount is the count of one new latency, so that it can be halved several times.
	sampleCount = 16
	// minSamples is the number of recent latencies of a route without which it gets no hedges:
	// a quantile of 0.98 rests on one latency then.
	minSamples = 50
	// minWinRatio is the probability from which a hedge is worth its work: it is as likely
	// to respond first as the attempt that has begun.
	minWinRatio = 0.5
	// minQuantile and maxQuantile bound the ages at which hedges may be due, as quantiles of
	// the latency. quantileSteps is the number of ages that are compared on each side of the one
	// that the limit gives.
	minQuantile, maxQuantile = 0.5, 0.995
	quantileSteps            = 16
	// canceledFactor times its age is the assumed latency of a cancelled attempt. Without these
	// attempts the long latencies are missing: 2.5% of the requests exceeded the age for 3%. With
	// the age alone it was 2.4%, as hedges then seem to gain nothing; with twice the age, 3.3%.
	canceledFactor = 2
	// timeStep is the step in which the times up to a retry and the deadline count: delays
	// are kept for each. A hedge that is sent shorter before a retry saves too little.
	timeStep = 50 * time.Millisecond
	// maxDelays bounds the delays that are kept; timeouts of callers may all differ.
	maxDelays = 64
	// recomputeInterval is how long a delay is used. Its computation takes 32 us (BenchmarkDelay).
	recomputeInterval = time.Second
	// classBits and classCount divide responses by size: up to 4 KiB, 64 KiB, 1 MiB, and above.
	classBits, firstClassBits = 4, 12
	classCount                = 4
)

// sizeClass returns the class of a response's size.
func sizeClass(bytes int64) int {
	above := bits.Len64(uint64(max(bytes, 1)-1)) - firstClassBits
	return min(max(0, (above+classBits-1)/classBits), classCount-1)
}

// latencies is the distribution of the latencies of one route by size of the response.
type latencies struct {
	classes   [classCount]*hdrhistogram.Histogram
	decayedAt time.Duration
	// delays holds the computed delays; computedAt is the time of the oldest.
	delays     map[delayKey]time.Duration
	computedAt time.Duration
	// usual is the median latency.
	usual time.Duration
}

func newLatencies(now time.Duration) *latencies {
	return &latencies{decayedAt: now, delays: map[delayKey]time.Duration{}, computedAt: -recomputeInterval}
}

func (l *latencies) observe(latency time.Duration, bytes int64, now time.Duration) {
	l.decay(now)
	class := sizeClass(bytes)
	if l.classes[class] == nil {
		l.classes[class] = hdrhistogram.New(1, maxRecorded, significantDigits)
	}
	_ = l.classes[class].RecordValues(min(max(latency.Milliseconds(), 1), maxRecorded), sampleCount)
}

// decay halves the counts for each half-life that has passed.
func (l *latencies) decay(now time.Duration) {
	halvings := int((now - l.decayedAt) / halfLife)
	if halvings <= 0 {
		return
	}
	l.decayedAt += time.Duration(halvings) * halfLife
	for i, h := range l.classes {
		if h == nil {
			continue
		}
		state := h.Export()
		for j := range state.Counts {
			state.Counts[j] >>= min(halvings, 62)
		}
		l.classes[i] = hdrhistogram.Import(state)
	}
}

// delayKey is what a computed delay depends on besides the latencies: the permitted percentage,
// and the time up to a retry and up to the deadline in units of timeStep, rounded down.
type delayKey struct {
	percent       float64
	retryIn, left time.Duration
}

// delay returns the age from which on a hedge is due, or 0 if none is worth its work.
func (l *latencies) delay(percent float64, retryIn, left, now time.Duration) time.Duration {
	if now-l.computedAt >= recomputeInterval || len(l.delays) >= maxDelays {
		l.decay(now)
		clear(l.delays)
		l.computedAt = now
	}
	key := delayKey{percent, retryIn / timeStep, left / timeStep}
	delay, known := l.delays[key]
	if !known {
		delay = l.compute(percent, key.retryIn*timeStep, key.left*timeStep)
		l.delays[key] = delay
	}
	return delay
}

// compute finds the age of an attempt from which on a hedge is due. It also updates usual.
func (l *latencies) compute(percent float64, retryIn, left time.Duration) time.Duration {
	var classes []distribution
	total := int64(0)
	for _, h := range l.classes {
		if h != nil && h.TotalCount() > 0 {
			classes = append(classes, newDistribution(h))
			total += h.TotalCount()
		}
	}
	if total < minSamples*sampleCount {
		return 0
	}
	all := merge(classes)
	l.usual = time.Duration(all.quantile(0.5)) * time.Millisecond
	latest := min(retryIn-timeStep, left-l.usual)
	permitted := 1 - percent/100
	// Hedges at ages that the permitted percentage of the requests exceeds reach all of those.
	// If more requests are slow than may be hedged, such ages are too late, and hedges at
	// an earlier one reach a part of them. Ages beyond maxQuantile are too rare to matter, and half
	// of the requests respond before the median.
	for _, end := range []float64{max(permitted, maxQuantile), minQuantile} {
		for i := range quantileSteps + 1 {
			age := all.quantile(permitted + (end-permitted)*float64(i)/quantileSteps)
			if delay := time.Duration(age) * time.Millisecond; delay <= latest && winRatio(classes, age) >= minWinRatio {
				return delay
			}
		}
	}
	return 0
}

// distribution is a histogram as ascending values with the counts up to and including each.
type distribution struct {
	values []int64
	upTo   []int64
}

func newDistribution(h *hdrhistogram.Histogram) distribution {
	var d distribution
	sum := int64(0)
	for _, bar := range h.Distribution() {
		if bar.Count > 0 {
			sum += bar.Count
			d.values, d.upTo = append(d.values, bar.To), append(d.upTo, sum)
		}
	}
	return d
}

// merge returns the distribution over all classes.
func merge(classes []distribution) distribution {
	if len(classes) == 1 {
		return classes[0]
	}
	counts := map[int64]int64{}
	for _, c := range classes {
		for i, v := range c.values {
			counts[v] += c.count(i)
		}
	}
	var d distribution
	for v := range counts {
		d.values = append(d.values, v)
	}
	sort.Slice(d.values, func(i, j int) bool { return d.values[i] < d.values[j] })
	sum := int64(0)
	for _, v := range d.values {
		sum += counts[v]
		d.upTo = append(d.upTo, sum)
	}
	return d
}

func (d *distribution) total() int64 { return d.upTo[len(d.upTo)-1] }

func (d *distribution) count(i int) int64 {
	if i == 0 {
		return d.upTo[0]
	}
	return d.upTo[i] - d.upTo[i-1]
}

// quantile returns the smallest value that the fraction q does not exceed.
func (d *distribution) quantile(q float64) int64 {
	rank := int64(q * float64(d.total()))
	i := sort.Search(len(d.upTo), func(i int) bool { return d.upTo[i] >= rank })
	return d.values[min(i, len(d.values)-1)]
}

// ratioUpTo returns the fraction of the latencies up to value.
func (d *distribution) ratioUpTo(value int64) float64 {
	i := sort.Search(len(d.values), func(i int) bool { return d.values[i] > value })
	if i == 0 {
		return 0
	}
	return float64(d.upTo[i-1]) / float64(d.total())
}

// winRatio returns the probability that a hedge sent at an age responds before the first
// attempt does. The size of the response is not known yet, but that the attempt has reached
// the age makes the classes with long latencies more likely, in which a hedge takes long, too.
func winRatio(classes []distribution, age int64) float64 {
	surviving, wins := 0.0, 0.0
	for _, c := range classes {
		for i := sort.Search(len(c.values), func(i int) bool { return c.values[i] > age }); i < len(c.values); i++ {
			n := float64(c.count(i))
			surviving += n
			wins += n * c.ratioUpTo(c.values[i]-age)
		}
	}
	if surviving == 0 {
		return 0
	}
	return wins / surviving
}
