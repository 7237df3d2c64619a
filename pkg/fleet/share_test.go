package fleet

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

// shareOf returns the fixed share of an instance after a step.
func shareOf(n *testInstance) float64 {
	n.step()
	return n.View().FixedShare
}

// Guards against shares that add up to more than the constant, and against shares of silent
// instances that others take over while these may still spend them.
func TestFixedShares(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(9)
	sum, first := 0.0, 0.0
	before := map[string]float64{}
	for name, n := range tf.instances {
		before[name] = shareOf(n)
		sum += before[name]
		first = max(first, before[name])
	}
	is.True(math.Abs(sum-fixedShareMargin) < 1e-9)
	is.True(math.Abs(first-fixedShareMargin*firstRanksPart/2/minServing) < 1e-9) // two zones
	for name, n := range tf.instances {
		n.down = name < "b"
	}
	tf.clock.Advance(time.Minute)
	for name, n := range tf.instances {
		if !n.down {
			is.Equal(shareOf(n), before[name])
		}
	}
}

// Guards against an instance that takes the whole constant because it knows no other one
// while the roster cannot be read.
func TestNoFixedShareWithoutRoster(t *testing.T) {
	is := is.New(t)
	tf := &testFleet{clock: clock.NewManual(time.Unix(0, 0)), instances: map[string]*testInstance{}, drop: func(string, string) bool { return false }}
	n := tf.add("a00", "a", 1)
	is.Equal(shareOf(n), 0.0)
	members := tf.members()
	n.contactListed(members)
	is.Equal(shareOf(n), fixedShareMargin)
}
