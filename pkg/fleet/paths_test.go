package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers being sent to instances without a path to targets, against too few
// instances that take their place, and against an instance that does not serve again.
func TestInstancesWithoutPathsAreReplaced(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	first := tf.serving("a")
	is.Equal(len(first), minServing)
	for _, name := range first {
		tf.instances[name].lost = true
	}
	tf.run(4 * time.Second)
	view := tf.instances["b00"].View()
	is.Equal(len(view.InZone("a")), 2*minServing) // those without paths stay peers
	owners := view.Owners("a")
	is.Equal(len(owners), minServing)
	for _, m := range owners {
		is.True(!slices.Contains(first, m.Instance))
	}
	addresses := tf.instances["b00"].View().Addresses("a")
	for _, name := range first {
		is.True(!slices.Contains(addresses, "c-"+name))
		tf.instances[name].lost = false
	}
	tf.run(4 * time.Second)
	is.Equal(len(tf.serving("a")), minServing)
	for _, name := range first {
		is.True(slices.Contains(tf.serving("a"), name))
	}
}

// Guards against callers of a zone without any path who find no address.
func TestZoneWithoutPathsUsesOthers(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(6)
	tf.run(3 * time.Second)
	for _, n := range tf.instances {
		n.lost = n.Self.Zone == "a"
	}
	tf.run(10 * time.Second)
	is.Equal(len(tf.instances["b00"].View().Owners("a")), 0)
	for _, n := range tf.instances {
		for _, address := range n.View().Addresses("a") {
			is.Equal(address[:3], "c-b")
		}
	}
}

// Guards against detours through instances that have not reached a target lately, have left
// or are gone.
func TestConnectingInstances(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(6)
	tf.run(3 * time.Second)
	self, now := tf.instances["a00"], tf.clock.SinceBoot()
	is.Equal(len(self.Connecting(now-time.Second)), 0)
	serving := append(tf.serving("a"), tf.serving("b")...)
	for _, n := range tf.instances {
		n.connectedAt = now
	}
	tf.run(time.Second)
	connecting := self.Connecting(now - 100*time.Millisecond)
	for _, name := range serving {
		is.True(name == "a00" || slices.ContainsFunc(connecting, func(m Member) bool { return m.Instance == name }))
	}
	is.Equal(len(self.Connecting(now+100*time.Millisecond)), 0)
	for _, name := range serving {
		if name != "a00" {
			tf.instances[name].down = true
		}
	}
	tf.run(2 * otherZoneUnresponsiveTimeout)
	is.True(len(self.Connecting(now-100*time.Millisecond)) < len(connecting))
	for _, m := range self.Connecting(now - 100*time.Millisecond) {
		is.True(!slices.Contains(serving, m.Instance))
	}
}

// Guards against instances that serve, have all lost their paths, and hear of no other one
// that has any.
func TestStandbysAreAskedForPaths(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(8)
	tf.run(3 * time.Second)
	serving := tf.serving("a")
	asks := tf.instances[serving[0]]
	asks.asks = true
	for _, n := range tf.instances {
		n.onAsked = func(address string) {
			if !slices.Contains(serving, n.Self.Instance) {
				n.connectedAt = tf.clock.SinceBoot()
				n.Greet(address)
			}
		}
	}
	since := tf.clock.SinceBoot()
	is.Equal(len(asks.Connecting(since)), 0)
	asks.stepWithPush(alsoPeers)
	is.True(len(asks.Connecting(since)) >= 8-minServing)
}
