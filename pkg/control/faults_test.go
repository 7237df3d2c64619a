package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/matryer/is"
)

// faults injects random one-way cuts, partitions, freezes, kills with restarts
// and outages of the platform, one or two at a time. noPlatform holds the
// addresses of the instances that cannot reach the platform.
type faults struct {
	*sim
	nodes      []*node
	noPlatform map[string]bool
	restarts   int
}

func (f *faults) inject() {
	n := f.nodes[f.random.IntN(len(f.nodes))]
	duration := time.Second + f.delay(8*time.Second)
	switch f.random.IntN(6) {
	case 0, 1:
		f.isolate(f.nodes[:1+f.random.IntN(3)], f.random.IntN(2) == 0, duration)
	case 2:
		n.frozenUntil = f.clock.SinceBoot() + duration
	case 3:
		f.restart(n)
	case 4:
		f.noPlatform[n.address] = true
		f.later(duration, func() { delete(f.noPlatform, n.address) })
	case 5:
		for _, o := range f.nodes {
			f.noPlatform[o.address] = true
		}
		f.later(duration, func() { clear(f.noPlatform) })
	}
	f.random.Shuffle(len(f.nodes), func(i, j int) { f.nodes[i], f.nodes[j] = f.nodes[j], f.nodes[i] })
}

// later runs a function after the delay, whatever the state of the nodes.
func (f *faults) later(delay time.Duration, run func()) { f.at(delay, &node{}, run) }

// isolate cuts the connections to a group for the duration: with oneWay only
// those into it, otherwise both directions and those to the platform.
func (f *faults) isolate(group []*node, oneWay bool, duration time.Duration) {
	isolated := map[string]bool{}
	set := func(cut bool) {
		for address := range isolated {
			for _, o := range f.nodes {
				if !isolated[o.address] {
					f.cuts[[2]string{o.address, address}] = cut
					f.cuts[[2]string{address, o.address}] = cut && !oneWay
				}
			}
			f.noPlatform[address] = cut && !oneWay
		}
	}
	for _, n := range group {
		isolated[n.address] = true
	}
	set(true)
	f.later(duration, func() { set(false) })
}

// restart kills a node and starts another process in its place at a new
// address.
func (f *faults) restart(n *node) {
	n.dead = true
	f.restarts++
	replacement := f.start(fmt.Sprintf("10.0.9.%d:1", f.restarts), n.self.Zone, f.nodes[0].address)
	for i, o := range f.nodes {
		if o == n {
			f.nodes[i] = replacement
		}
	}
	f.updateList()
}

// updateList updates the platform's instance list after a random delay.
func (f *faults) updateList() {
	var listed []platform.InstanceListEntry
	for _, n := range f.nodes {
		listed = append(listed, listedOf(n))
	}
	f.later(f.delay(3*time.Second), func() { f.platform.listed = listed })
}

// Guards against combinations of faults under which an instance acts on a
// configuration older than one reported in force, and against a fleet that does
// not recover once the faults end.
func TestRandomFaults(t *testing.T) {
	seeds := uint64(30)
	if testing.Short() {
		// With the race detector, 30 seeds take 32 s; the loop under test has one goroutine.
		seeds = 5
	}
	for seed := range seeds {
		is := is.New(t)
		s := newSim(t, seed)
		f := &faults{sim: s, nodes: s.fleet(5 + int(seed%3)), noPlatform: map[string]bool{}}
		f.updateList()
		s.platform.fault = func(string, bool) bool { return f.noPlatform[s.platform.caller] || s.random.IntN(20) == 0 }
		s.failOnStaleConfig()
		for range 30 {
			f.inject()
			for range 3 {
				s.run(s.delay(1500 * time.Millisecond))
				n := f.nodes[s.random.IntN(len(f.nodes))]
				s.propose(n, n.applied.row.ConfigVersion, addKey("k1"), func(error) {})
			}
		}
		s.run(10 * time.Second)
		clear(s.cuts)
		clear(f.noPlatform)
		s.until(40*time.Second, fmt.Sprintf("seed %d recovered", seed), func() bool { return joined(f.nodes) })
		is.True(f.nodes[0].applied.row.ConfigVersion > 0)
	}
}
