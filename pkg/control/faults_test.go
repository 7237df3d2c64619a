package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/matryer/is"
)

// faults injects random one-way cuts, partitions, freezes, kills with restarts
// and outages of the platform, one or two at a time.
type faults struct {
	*sim
	nodes  []*node
	silent map[string]bool
	next   int
}

func (f *faults) inject() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	lasting := time.Second + f.delay(8*time.Second)
	switch f.random.IntN(6) {
	case 0, 1:
		f.isolate(f.nodes[:1+f.random.IntN(3)], f.random.IntN(2) == 0, lasting)
	case 2:
		n.frozenUntil = f.clock.SinceBoot() + lasting
	case 3:
		f.restart(n)
	case 4:
		f.silent[n.address] = true
		f.later(lasting, func() { delete(f.silent, n.address) })
	case 5:
		for _, o := range f.nodes {
			f.silent[o.address] = true
		}
		f.later(lasting, func() { clear(f.silent) })
	}
	f.random.Shuffle(len(f.nodes), func(i, j int) { f.nodes[i], f.nodes[j] = f.nodes[j], f.nodes[i] })
}

// later runs f outside of any node.
func (f *faults) later(delay time.Duration, run func()) { f.at(delay, &node{}, run) }

// isolate cuts a group off in one or both directions, and from the platform.
func (f *faults) isolate(group []*node, oneWay bool, lasting time.Duration) {
	inside := map[string]bool{}
	set := func(cut bool) {
		for address := range inside {
			for _, o := range f.nodes {
				if !inside[o.address] {
					f.cuts[[2]string{o.address, address}] = cut
					f.cuts[[2]string{address, o.address}] = cut && !oneWay
				}
			}
			f.silent[address] = cut && !oneWay
		}
	}
	for _, n := range group {
		inside[n.address] = true
	}
	set(true)
	f.later(lasting, func() { set(false) })
}

func (f *faults) restart(n *node) {
	n.dead = true
	f.next++
	fresh := f.start(fmt.Sprintf("10.0.9.%d:1", f.next), n.self.Zone, f.nodes[0].address)
	for i, o := range f.nodes {
		if o == n {
			f.nodes[i] = fresh
		}
	}
	f.list()
}

func (f *faults) list() {
	var listed []platform.Listed
	for _, n := range f.nodes {
		listed = append(listed, listedOf(n))
	}
	f.later(f.delay(3*time.Second), func() { f.platform.listed = listed })
}

// Guards against combinations of faults under which an instance acts on a
// configuration older than one reported in force, and against a fleet that
// does not recover once the faults end.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		// With the race detector, 30 seeds take 32 s; the loop under test has one goroutine.
		seeds = 5
	}
	for seed := range seeds {
		is := is.New(t)
		s := newSim(t, seed)
		f := &faults{sim: s, nodes: s.fleet(5 + int(seed%3)), silent: map[string]bool{}}
		f.list()
		s.platform.fault = func(string, bool) bool { return f.silent[s.platform.caller] || s.random.IntN(20) == 0 }
		s.watchInForce()
		for range 30 {
			f.inject()
			for range 3 {
				s.run(s.delay(1500 * time.Millisecond))
				n := f.nodes[s.random.IntN(len(f.nodes))]
				s.propose(n, n.cur.row.ConfigVersion, addKey("k1"), func(error) {})
			}
		}
		s.run(10 * time.Second)
		clear(s.cuts)
		clear(f.silent)
		s.until(40*time.Second, fmt.Sprintf("seed %d recovered", seed), func() bool { return joined(f.nodes) })
		is.True(f.nodes[0].cur.row.ConfigVersion > 0)
	}
}
