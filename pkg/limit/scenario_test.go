package limit

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// highestDraw is a draw function that makes the simulated fleet deterministic:
// nodes make no requests of their own and no message is lost.
func highestDraw(n int) int { return n - 1 }

// takeTokens makes count requests at n at the same time.
func (w *world) takeTokens(n *node, count int) {
	for range count {
		t := n.pool.Take(w.now, w.now+time.Second)
		t.OnDecided = func() { w.count(t) }
	}
	w.serve(n)
}

// change accepts a version, delivers it immediately, and applies it at all nodes
// but the given ones.
func (w *world) change(accept func(), except ...*node) {
	accept()
	lagging := map[*node]bool{}
	for _, n := range except {
		lagging[n] = true
	}
	w.deliver()
	for _, n := range w.nodes {
		if !lagging[n] {
			w.apply(n)
		}
	}
}

// issuers returns the nodes that issue the team's tokens under the newest
// version.
func (w *world) issuers() []*node {
	var issuers []*node
	for _, m := range w.params.Issuers(w.latest().members, testTeam, w.latest().team) {
		issuers = append(issuers, w.find(m.Incarnation))
	}
	return issuers
}

// remove returns an accept function for change that removes n.
func (w *world) remove(n *node) func() { return func() { w.setMembers(nil, []string{n.id}) } }

// setLimits returns an accept function for change that sets the team's limits.
func (w *world) setLimits(rate float64, burst int) func() {
	return func() { w.setConfig(config.Team{RatePerSecond: rate, Burst: burst}) }
}

// A former issuer that has not applied its removal spends while its fence is
// still valid and the share of its successor grows.
func laggingFormerIssuer(w *world) {
	w.change(w.setLimits(400, 2))
	w.advance(time.Second)
	a := w.issuers()[0]
	w.change(w.remove(a), a)
	for range 100 {
		w.advance(5 * time.Millisecond)
		for _, n := range w.nodes {
			w.takeTokens(n, 1)
		}
	}
}

// The burst is spent immediately before a new issuer starts.
func successorAfterBurst(w *world) {
	w.change(w.setLimits(5, 6))
	w.advance(5 * time.Second)
	before := w.issuers()
	w.takeTokens(before[0], 3)
	w.takeTokens(before[1], 3)
	w.change(w.remove(before[0]))
	w.advance(testSettlingTime + 50*time.Millisecond)
	for _, n := range w.issuers() {
		if n != before[1] {
			w.takeTokens(n, 3)
		}
	}
}

// A loan of a former issuer is spent immediately before it expires.
func loanOfFormerIssuer(w *world) {
	w.change(w.setLimits(100, 6))
	w.advance(time.Second)
	before := w.issuers()
	a, b := before[0], before[1]
	w.setMembers(nil, []string{a.id})
	var successor, borrower *node
	for _, n := range w.nodes {
		switch {
		case n == a || n == b:
		case slices.Contains(w.issuers(), n):
			successor = n
		default:
			borrower = n
		}
	}
	w.change(func() {}, a, borrower)
	w.advance(testFence - 10*time.Millisecond)
	borrower.pool.lastIssuerIndex = 1 // a is asked first
	w.takeTokens(borrower, 6)
	borrower.paused = true
	w.advance(12*time.Millisecond + 80*time.Millisecond)
	w.apply(borrower)
	borrower.fenceRenewedAt, borrower.paused = w.now, false
	w.takeTokens(b, 3)
	w.takeTokens(successor, 3)
	w.advance(time.Millisecond)
}

// An issuer misses memberships in which another instance issued in its place.
func missedMemberships(w *world) {
	w.advance(time.Second)
	a := w.issuers()[0]
	a.paused = true
	isIssuer := func() bool {
		i := w.issuers()
		return i[0] == a || i[1] == a
	}
	var successor *node
	for isIssuer() {
		w.change(w.join, a)
		successor = w.nodes[len(w.nodes)-1]
	}
	w.advance(time.Second)
	w.change(w.remove(successor), a, successor)
	w.change(w.setLimits(50, 6), a, successor)
	a.paused = false
	w.apply(a)
	a.fenceRenewedAt = w.now
	for _, n := range w.nodes {
		w.takeTokens(n, 3)
	}
	w.advance(time.Millisecond)
}

// An issuer misses a configuration with a lower burst.
func missedLimits(w *world) {
	w.change(w.setLimits(5, 12))
	w.advance(5 * time.Second)
	a := w.issuers()[0]
	w.takeTokens(a, 1)
	w.advance(5 * time.Second)
	a.paused = true
	w.change(w.setLimits(5, 2), a)
	w.advance(time.Second)
	w.change(w.setLimits(5, 12), a)
	a.paused = false
	w.apply(a)
	a.fenceRenewedAt = w.now
	w.takeTokens(a, 6)
}

// Guards against over-limit admissions in sequences that are too rare for random
// runs. Each sequence must show one when its rule is switched off or the
// settling time is too short.
func TestRareSequences(t *testing.T) {
	cases := map[string]struct {
		run          func(*world)
		settlingTime time.Duration
		disabled     disabled
	}{
		"growth waits for the fence":                     {laggingFormerIssuer, testLenderTTL, disabled{}},
		"a new issuer starts empty":                      {successorAfterBurst, testSettlingTime, disabled{emptyStart: true}},
		"growth waits for the loans":                     {loanOfFormerIssuer, testFence + testFence/driftDivisor, disabled{}},
		"versions that were not seen count as no weight": {missedMemberships, testSettlingTime, disabled{gap: true}},
		"unseen limits count as no weight":               {missedLimits, testSettlingTime, disabled{gap: true}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(highestDraw, testSettlingTime, disabled{})
			c.run(w)
			is.True(!w.violated)
			is.True(w.admitted > 0)
			w = newWorld(highestDraw, c.settlingTime, c.disabled)
			c.run(w)
			is.True(w.violated)
		})
	}
}
