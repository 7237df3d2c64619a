package experiment

import (
	"math"
	"slices"
	"sort"
	"time"
)

// roundingTolerance absorbs the rounding errors of floating-point sums, in tokens
// or requests.
const roundingTolerance = 1e-6

// overLimit counts requests that exceed the limit no matter when inside their
// windows they were admitted. It relies on the invariant of a token bucket: in
// any interval of length T at most rate*T + burst requests are admitted. A
// request certainly belongs to every interval that contains its whole window.
//
// Windows are added in the order of their ends. A window that breaks the
// invariant for some interval up to its end is counted and removed again. A
// count above 0 therefore proves that the limit was exceeded.
func overLimit(windows []window, rate float64, burst int) int64 {
	if len(windows) == 0 {
		return 0
	}
	sort.Slice(windows, func(i, j int) bool { return windows[i].until.Before(windows[j].until) })
	starts := make([]time.Time, len(windows))
	for i, w := range windows {
		starts[i] = w.from
	}
	slices.SortFunc(starts, time.Time.Compare)
	origin := starts[0]
	intervals := newMaxTree(len(starts))
	for i, start := range starts {
		intervals.add(i, i, rate*start.Sub(origin).Seconds())
	}
	var exceeded int64
	for _, w := range windows {
		// The intervals that begin at or before the window's start contain it.
		last := sort.Search(len(starts), func(i int) bool { return starts[i].After(w.from) }) - 1
		intervals.add(0, last, 1)
		if intervals.max(0, last) > rate*w.until.Sub(origin).Seconds()+float64(burst)+roundingTolerance {
			intervals.add(0, last, -1)
			exceeded++
		}
	}
	return exceeded
}

// maxTree is a segment tree of numbers with two operations on an index range:
// add an amount to all its elements, and find its maximum.
type maxTree struct {
	size int
	// maximum is the maximum of a node's range without the additions to its
	// ancestors. rangeAdded is the part of it that was added to the whole range.
	maximum, rangeAdded []float64
}

func newMaxTree(n int) *maxTree {
	size := 1
	for size < n {
		size *= 2
	}
	return &maxTree{size: size, maximum: make([]float64, 2*size), rangeAdded: make([]float64, 2*size)}
}

func (t *maxTree) add(from, to int, amount float64) { t.addAt(1, 0, t.size-1, from, to, amount) }

func (t *maxTree) addAt(node, low, high, from, to int, amount float64) {
	if to < low || high < from {
		return
	}
	if from <= low && high <= to {
		t.maximum[node] += amount
		t.rangeAdded[node] += amount
		return
	}
	middle := (low + high) / 2
	t.addAt(2*node, low, middle, from, to, amount)
	t.addAt(2*node+1, middle+1, high, from, to, amount)
	t.maximum[node] = t.rangeAdded[node] + max(t.maximum[2*node], t.maximum[2*node+1])
}

func (t *maxTree) max(from, to int) float64 { return t.maxAt(1, 0, t.size-1, from, to) }

func (t *maxTree) maxAt(node, low, high, from, to int) float64 {
	if to < low || high < from {
		return math.Inf(-1)
	}
	if from <= low && high <= to {
		return t.maximum[node]
	}
	middle := (low + high) / 2
	return t.rangeAdded[node] + max(t.maxAt(2*node, low, middle, from, to), t.maxAt(2*node+1, middle+1, high, from, to))
}
