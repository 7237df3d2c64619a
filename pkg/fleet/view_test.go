package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a standby that goes through all members with each heartbeat from another zone,
// which come more rarely, and counts their senders as serving and as silent by turns.
func TestStandbyViewIsSteady(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(6 * time.Second)
	var standby, other *testInstance
	for _, n := range tf.instances {
		switch {
		case n.View().Serving && n.Self.Zone == "b":
			other = n
		case !n.View().Serving && n.Self.Zone == "a":
			standby = n
		}
	}
	shares, peers := standby.View().SharesVersion, len(standby.View().Peers)
	is.Equal(peers, 2*minServing)
	for range 40 {
		tf.run(checkInterval)
		is.Equal(len(standby.View().Silent), 0)
	}
	is.Equal(standby.View().SharesVersion, shares)
	tf.clock.Advance(slowInterval)
	view := standby.View()
	standby.Receive(other.encode(other.heartbeat(IdentityOnly)))
	is.True(standby.View() == view)
	// A serving instance that is lost is missed after three intervals.
	other.down = true
	tf.run(otherZoneUnresponsiveTimeout + slowInterval)
	is.Equal(len(standby.View().Peers), peers)
	is.Equal(len(standby.View().Silent), 1)
}

// Guards against an order of rank that outlives a change of a member's capacity or zone.
func TestRankFollowsCapacityAndZone(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(6 * time.Second)
	to := tf.instances[tf.serving("a")[0]]
	ranked := func() []*memberState {
		to.mu.Lock()
		defer to.mu.Unlock()
		members := to.zoneMembers()
		is.True(slices.IsSortedFunc(members, compareRank))
		return members
	}
	last := ranked()[10].Instance
	from := tf.instances[last]
	tell := func(zone string, capacity uint32) {
		h := from.heartbeat(SameZonePeers)
		h.Zone, h.Capacity = zone, capacity
		to.Receive(to.encode(h))
	}
	tell("a", 100*capacity)
	is.Equal(ranked()[0].Instance, last)
	tell("a", 1)
	ranked()
	tell("b", 1)
	is.Equal(len(ranked()), 10)
	tell("a", 1)
	is.Equal(len(ranked()), 11)
}
