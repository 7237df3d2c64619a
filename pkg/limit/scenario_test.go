package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// last makes the simulated fleet deterministic: no traffic of its own, nothing lost.
func last(n int) int { return n - 1 }

// burst lets n ask for count tokens at once.
func (w *world) burst(n *node, count int) {
	for range count {
		t := n.pool.Take(w.now, w.now+time.Second)
		t.Decided = func() { w.count(t) }
	}
	w.serve(n)
}

// change accepts a version, delivers it at once, and applies it everywhere
// except at the given instances.
func (w *world) change(accept func(), except ...*node) {
	accept()
	lag := map[*node]bool{}
	for _, n := range except {
		lag[n] = true
	}
	w.deliver()
	for _, n := range w.nodes {
		if !lag[n] {
			w.apply(n)
		}
	}
}

func (w *world) issuers() []*node {
	var issuers []*node
	for _, m := range w.params.Issuers(w.latest().members, testTeam, w.latest().team) {
		issuers = append(issuers, w.find(m.Incarnation))
	}
	return issuers
}

func (w *world) remove(n *node) func() { return func() { w.setMembers(nil, []string{n.id}) } }

func (w *world) limits(rate float64, burst int) func() {
	return func() { w.setConfig(config.Team{RatePerSecond: rate, Burst: burst}) }
}

// A former issuer that lags spends with a fresh fence while its successor grows.
func laggingFormerIssuer(w *world) {
	w.change(w.limits(400, 2))
	w.advance(time.Second)
	a := w.issuers()[0]
	w.change(w.remove(a), a)
	for range 100 {
		w.advance(5 * time.Millisecond)
		for _, n := range w.nodes {
			w.burst(n, 1)
		}
	}
}

// The burst is spent right before a new issuer starts.
func successorAfterBurst(w *world) {
	w.change(w.limits(5, 6))
	w.advance(5 * time.Second)
	before := w.issuers()
	w.burst(before[0], 3)
	w.burst(before[1], 3)
	w.change(w.remove(before[0]))
	w.advance(testHold + 50*time.Millisecond)
	for _, n := range w.issuers() {
		if n != before[1] {
			w.burst(n, 3)
		}
	}
}

// A loan of a former issuer is spent right before it expires.
func loanOfFormerIssuer(w *world) {
	w.change(w.limits(100, 6))
	w.advance(time.Second)
	before := w.issuers()
	a, b := before[0], before[1]
	w.setMembers(nil, []string{a.id})
	var successor, x *node
	for _, n := range w.nodes {
		switch {
		case n == a || n == b:
		case slices.Contains(w.issuers(), n):
			successor = n
		default:
			x = n
		}
	}
	w.change(func() {}, a, x)
	w.advance(testFence - 10*time.Millisecond)
	x.pool.rotation = 1 // a is asked first
	w.burst(x, 6)
	x.paused = true
	w.advance(12*time.Millisecond + 80*time.Millisecond)
	w.apply(x)
	x.contact, x.paused = w.now, false
	w.burst(b, 3)
	w.burst(successor, 3)
	w.advance(time.Millisecond)
}

// An issuer misses versions in which another instance had its place.
func missedMemberships(w *world) {
	w.advance(time.Second)
	a := w.issuers()[0]
	a.paused = true
	holds := func() bool {
		i := w.issuers()
		return i[0] == a || i[1] == a
	}
	var successor *node
	for holds() {
		w.change(w.join, a)
		successor = w.nodes[len(w.nodes)-1]
	}
	w.advance(time.Second)
	w.change(w.remove(successor), a, successor)
	w.change(w.limits(50, 6), a, successor)
	a.paused = false
	w.apply(a)
	a.contact = w.now
	for _, n := range w.nodes {
		w.burst(n, 3)
	}
	w.advance(time.Millisecond)
}

// An issuer misses a version with a lower burst.
func missedLimits(w *world) {
	w.change(w.limits(5, 12))
	w.advance(5 * time.Second)
	a := w.issuers()[0]
	w.burst(a, 1)
	w.advance(5 * time.Second)
	a.paused = true
	w.change(w.limits(5, 2), a)
	w.advance(time.Second)
	w.change(w.limits(5, 12), a)
	a.paused = false
	w.apply(a)
	a.contact = w.now
	w.burst(a, 6)
}

// Guards against over-limit admissions in sequences too rare for random runs;
// each must show one when its mechanism is switched off.
func TestRareSequences(t *testing.T) {
	cases := map[string]struct {
		run      func(*world)
		hold     time.Duration
		disabled disabled
	}{
		"growth waits for the fence":                     {laggingFormerIssuer, testLife, disabled{}},
		"a new issuer starts empty":                      {successorAfterBurst, testHold, disabled{empty: true}},
		"growth waits for the loans":                     {loanOfFormerIssuer, testFence + testFence/drift, disabled{}},
		"versions that were not seen count as no weight": {missedMemberships, testHold, disabled{gap: true}},
		"unseen limits count as no weight":               {missedLimits, testHold, disabled{gap: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(last, testHold, disabled{})
			c.run(w)
			is.True(!w.violated)
			is.True(w.admitted > 0)
			w = newWorld(last, c.hold, c.disabled)
			c.run(w)
			is.True(w.violated)
		})
	}
}
