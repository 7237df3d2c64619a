package limit

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// testSettlingTime is the fence time and the lender's TTL, each with clock
// drift.
const testSettlingTime = testFence + testFence/driftDivisor + testLenderTTL + testLenderTTL/driftDivisor

// step makes one random change and advances the time by a random duration.
func (w *world) step() {
	n := w.nodes[w.draw(len(w.nodes))]
	settled := w.latest().delivered != 0
	switch w.draw(11) {
	case 0:
		if settled && len(w.nodes) < 6 {
			w.join()
		}
	case 1:
		if settled && len(w.latest().members.Members) > 2 {
			w.setMembers(nil, []string{w.latest().members.Members[w.draw(len(w.latest().members.Members))].Incarnation})
		}
	case 2:
		if settled {
			w.setConfig(config.Team{RatePerSecond: float64(1 + w.draw(200)), Burst: 1 + w.draw(12)})
		}
	case 3:
		w.deliver()
	case 4:
		n.paused = true
	case 5:
		n.partitioned = true
	case 6:
		if len(w.nodes) > 3 && w.draw(3) == 0 {
			w.nodes = slices.DeleteFunc(w.nodes, func(o *node) bool { return o == n })
		}
	case 7:
		n.noRequests = !n.noRequests
	case 8, 9:
		noRequests := w.draw(2) == 0
		for _, o := range w.nodes {
			o.noRequests = noRequests
		}
	}
	for _, o := range w.nodes {
		o.paused = o.paused && w.draw(4) != 0
		o.partitioned = o.partitioned && w.draw(4) != 0
		if !o.paused && !o.partitioned && w.draw(2) == 0 {
			w.apply(o)
		}
	}
	longest := 40 * time.Millisecond
	if w.draw(3) == 0 {
		longest = 400 * time.Millisecond
	}
	w.advance(time.Duration(w.draw(int(longest))))
}

// Guards against more admissions than rate*T + burst in any window of length T
// over all instances, for random sequences of membership and limit changes,
// crashes, pauses, partitions, lost and late answers, and repeated returns of
// loans.
func TestAdmissionsStayWithinRateAndBurst(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		steps := rapid.IntRange(20, 200).Draw(t, "steps")
		random := rand.New(rand.NewPCG(seed, 1))
		w := newWorld(random.IntN, testSettlingTime, disabled{})
		for range steps {
			w.step()
			if w.violated {
				t.Fatalf("over-limit admission at %v", w.now)
			}
		}
		admitted += w.admitted
	})
	t.Logf("%d admissions", admitted)
	is.New(t).True(admitted > 1000) // the runs admit requests at all
}

// Guards against runs with too little load to break the limits: with any one
// rule switched off, the same runs must show an over-limit admission.
func TestEachMechanismIsNeeded(t *testing.T) {
	cases := map[string]disabled{
		"a loan lowers the lender's ceiling":             {ceiling: true},
		"the excess over a lower ceiling is dropped":     {excessDrop: true},
		"the borrower counts from when it asked":         {ttlFromRequest: true},
		"a loan is closed once":                          {closeOnce: true},
		"only a fresh instance issues":                   {viewValid: true},
		"older versions count until a newer has settled": {olderVersions: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(300) {
				w := newWorld(rand.New(rand.NewPCG(seed, 2)).IntN, testSettlingTime, c)
				for range 120 {
					if w.step(); w.violated {
						return
					}
				}
			}
			t.Fatal("no over-limit admission without this mechanism")
		})
	}
}
