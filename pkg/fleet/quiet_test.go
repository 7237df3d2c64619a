package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against instances that own targets although hardly any requests come to them,
// against instances that disagree on the owners, and against changes at each small
// change of the rates.
func TestInstancesWithFewRequestsOwnNoTargets(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	names := tf.serving("a")
	slices.Sort(names)
	owners := func() []string {
		var first []string
		for _, n := range tf.instances {
			var names []string
			for _, m := range n.View().Owners("a") {
				names = append(names, m.Instance)
			}
			if n.View().Serving && first == nil {
				first = names
			}
			if n.View().Serving {
				is.Equal(names, first)
			}
		}
		return first
	}
	rates := func(quiet float64) {
		for i, name := range names {
			tf.instances[name].rate = 20
			if i == 0 {
				tf.instances[name].rate = quiet
			}
		}
	}
	is.Equal(owners(), names)
	for _, step := range []struct {
		rate   float64
		quiet  bool
		reason string
	}{
		{2, true, "few requests"},
		{4, true, "more, but not yet enough"},
		{12, false, "enough"},
		{4, false, "fewer, but not few"},
		{0, true, "none"},
	} {
		rates(step.rate)
		tf.run(3 * time.Second)
		is.Equal(len(owners()) == len(names)-1, step.quiet) // step.reason
	}
	rates(20)
	tf.run(3 * time.Second)
	rates(0)
	tf.run(quietDelay - time.Second)
	rates(20)
	is.Equal(owners(), names) // for a moment without requests
	for _, name := range names {
		tf.instances[name].rate = 0
	}
	tf.run(3 * time.Second)
	is.Equal(owners(), names) // without requests, all own targets
}

// newBusyFleet returns a fleet, and the names of the serving instances of zone a, which have
// callers.
func newBusyFleet() (tf *testFleet, names []string) {
	tf = newTestFleet(12)
	tf.run(3 * time.Second)
	names = tf.serving("a")
	for _, name := range names {
		tf.instances[name].rate = 20
	}
	return tf, names
}

// Guards against one that is quiet while its callers stay, or busy after they have left.
func TestInstanceWithoutPathsIsBusyWhileItsCallersStay(t *testing.T) {
	is := is.New(t)
	tf, names := newBusyFleet()
	lost := tf.instances[names[0]]
	lost.lost = true
	busy := func() bool {
		return slices.ContainsFunc(tf.instances[names[1]].View().Busy("a"), func(m Member) bool { return m.Instance == names[0] })
	}
	tf.run(3 * time.Second)
	is.True(busy())
	is.True(!slices.ContainsFunc(tf.instances[names[1]].View().Owners("a"), func(m Member) bool { return m.Instance == names[0] }))
	for _, name := range tf.serving("a") {
		tf.instances[name].rate = 20
	}
	lost.rate = 5 // below ownerShare, above quietShare
	tf.run(time.Second)
	is.True(!busy())
}

// Guards against an instance that takes targets over before callers know it.
func TestInstanceThatBeginsToServeIsQuiet(t *testing.T) {
	is := is.New(t)
	tf, names := newBusyFleet()
	tf.run(time.Second)
	stopped := tf.instances[names[0]]
	stopped.down = true
	tf.run(3 * time.Second)
	began := 0
	for _, name := range tf.serving("a") {
		if n := tf.instances[name]; !slices.Contains(names, name) {
			began++
			is.True(n.View().Quiet[name])
		}
	}
	is.Equal(began, 1)
}
