package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// marker is a StateExchanger that marks the heartbeats which carry state.
type marker struct{}

func (marker) Fill(h *peerpb.Heartbeat, _ Audience) { h.ConfigVersion = 1 }
func (marker) Merge(string, *peerpb.Heartbeat)      {}

// Guards against sending state to instances that do not need it: the list of
// targets in heartbeats to the standbys of other zones was half of all bytes
// between zones.
func TestOtherZoneStandbysGetOnlyIdentity(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	for _, n := range tf.instances {
		n.StateExchangers = []StateExchanger{marker{}}
	}
	tf.run(3 * time.Second)
	seen := map[string]int{}
	tf.onDeliver = func(from, to *testInstance, data []byte) {
		h := &peerpb.Heartbeat{}
		is.NoErr(proto.Unmarshal(data, h))
		otherZoneStandby := from.Self.Zone != to.Self.Zone && !to.View().Serving
		switch {
		case otherZoneStandby && h.ConfigVersion != 0:
			seen["state to standbys of other zones"]++
		case !otherZoneStandby && from.View().Serving && h.ConfigVersion == 0:
			seen["no state to other members"]++
		default:
			seen["right"]++
		}
	}
	tf.run(4 * time.Second)
	is.True(seen["right"] > 100)
	is.Equal(len(seen), 1)
}

// Guards against a change being passed on by each serving instance to all other
// serving instances, which have it already.
func TestRelayedChangeGoesToStandbysOnly(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	sender := tf.instances[tf.serving("a")[0]]
	count := func(scope pushScope) (peers, standbys int) {
		tf.onDeliver = func(from, to *testInstance, _ []byte) {
			switch {
			case from != sender:
			case to.View().Serving:
				peers++
			default:
				standbys++
			}
		}
		sender.stepWithPush(scope)
		tf.onDeliver = nil
		return peers, standbys
	}
	sender.stepWithPush(alsoPeers) // no heartbeat is due right after this
	peers, standbys := count(onlyDue)
	is.Equal([]int{peers, standbys}, []int{0, 0})
	peers, standbys = count(alsoStandbys)
	is.Equal([]int{peers, standbys}, []int{0, 12 - minServing})
	peers, standbys = count(alsoPeers)
	is.Equal([]int{peers, standbys}, []int{2*minServing - 1, 12 - minServing})
}

type panicking struct{ marker }

func (panicking) Merge(string, *peerpb.Heartbeat) { panic("unforeseen") }

// Guards against one datagram whose handling panics ending the process.
func TestPanicEndsOneDatagram(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(2)
	for _, n := range tf.instances {
		n.StateExchangers = []StateExchanger{panicking{}}
	}
	tf.run(3 * time.Second)
	for _, n := range tf.instances {
		is.Equal(len(n.View().Peers), 4) // membership is recorded before the state
	}
}
