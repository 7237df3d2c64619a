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
	second := tf.serving("a")
	is.Equal(len(second), minServing)
	for _, name := range first {
		is.True(!slices.Contains(second, name))
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
	is.Equal(len(tf.serving("a")), 0)
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
	expected := len(serving)
	if slices.Contains(serving, "a00") {
		expected--
	}
	is.Equal(len(self.Connecting(now-100*time.Millisecond)), expected)
	is.Equal(len(self.Connecting(now+100*time.Millisecond)), 0)
	for _, name := range serving {
		if name != "a00" {
			tf.instances[name].down = true
		}
	}
	tf.run(2 * otherZoneUnresponsiveTimeout)
	for _, m := range self.Connecting(now - 100*time.Millisecond) {
		is.True(!slices.Contains(serving, m.Instance))
	}
}
