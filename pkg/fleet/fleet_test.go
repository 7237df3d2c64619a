package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// testFleet is a fleet in virtual time on one goroutine.
type testFleet struct {
	clock     *clock.Manual
	instances map[string]*testInstance
	// drop reports whether datagrams from one address to another are lost.
	drop func(from, to string) bool
	// onDeliver is called with each datagram that arrives; it may be nil.
	onDeliver func(from, to *testInstance, data []byte)
}

type testInstance struct {
	*Fleet
	testFleet *testFleet
	down      bool
	ready     bool
	rate      float64
	// lost says that the instance has no path to targets, connectedAt when it last had one.
	lost        bool
	connectedAt time.Duration
	// asks says that the instance asks others for paths; onAsked, if not nil, answers.
	asks    bool
	onAsked func(address string)
}

// Send delivers the datagram synchronously.
func (n *testInstance) Send(address string, data []byte) {
	to := n.testFleet.instances[address]
	if to != nil && !to.down && !n.down && !n.testFleet.drop(n.Self.GossipAddress, address) {
		if n.testFleet.onDeliver != nil {
			n.testFleet.onDeliver(n, to, data)
		}
		to.Receive(data)
	}
}

func (tf *testFleet) Join(context.Context, Member) error  { return nil }
func (tf *testFleet) Leave(context.Context, Member) error { return nil }
func (tf *testFleet) ReadRoster(context.Context) (RosterUpdate, error) {
	var u RosterUpdate
	for _, n := range tf.instances {
		u.Entries = append(u.Entries, RosterEntry{Member: n.Self})
	}
	return u, nil
}

func (tf *testFleet) AwaitRoster(context.Context, RosterCursor, time.Duration) (RosterUpdate, error) {
	return RosterUpdate{}, nil
}

var nop = zerolog.Nop()

func (tf *testFleet) add(name, zone string, incarnation uint64) *testInstance {
	n := &testInstance{testFleet: tf, ready: true}
	store := &clock.Remote{}
	store.Observe(1, tf.clock.SinceBoot()+time.Minute, tf.clock.SinceBoot(), tf.clock.SinceBoot())
	n.Fleet = New(Options{
		Self: Member{
			Instance: name, Incarnation: incarnation, Zone: zone, CallerAddress: "c-" + name, GossipAddress: name, Capacity: capacity,
		},
		Clock: tf.clock, Roster: tf, Transport: n, Rate: func() float64 { return n.rate }, Ready: func() bool { return n.ready }, Log: &nop,
		PathsLost: func() bool { return n.lost }, ConnectedAt: func() time.Duration { return n.connectedAt },
		AsksForPaths: func() bool { return n.asks }, OnAsked: func(address string) {
			if n.onAsked != nil {
				n.onAsked(address)
			}
		},
		StoreClock: store,
	})
	tf.instances[name] = n
	return n
}

// capacity is the requests per second that each instance of a testFleet carries.
const capacity = 40

// newTestFleet starts size instances in each of the zones a and b.
func newTestFleet(size int) *testFleet {
	tf := &testFleet{clock: clock.NewManual(time.Unix(0, 0)), instances: map[string]*testInstance{}, drop: func(string, string) bool { return false }}
	tf.clock.Advance(time.Hour)
	for _, zone := range []string{"a", "b"} {
		for i := range size {
			tf.add(fmt.Sprintf("%s%02d", zone, i), zone, 1)
		}
	}
	var joins sync.WaitGroup
	for _, n := range tf.instances {
		joins.Go(func() { n.join(context.Background()) })
	}
	waitJoined(tf, &joins)
	return tf
}

// waitJoined advances the clock until all joins have ended.
func waitJoined(tf *testFleet, joins *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		joins.Wait()
		close(done)
	}()
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Millisecond):
			tf.clock.Advance(onlyMemberWait / 10)
		}
	}
}

func (tf *testFleet) run(d time.Duration) {
	for end := tf.clock.SinceBoot() + d; tf.clock.SinceBoot() < end; {
		tf.clock.Advance(checkInterval)
		for _, n := range tf.instances {
			if !n.down {
				n.step()
			}
		}
	}
}

func (tf *testFleet) serving(zone string) []string {
	var names []string
	for name, n := range tf.instances {
		if !n.down && n.Self.Zone == zone && n.View().Serving {
			names = append(names, name)
		}
	}
	return names
}

// Guards against instances that disagree on who serves, and against addresses of
// standbys being given to callers.
func TestFewServe(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	for _, zone := range []string{"a", "b"} {
		is.Equal(len(tf.serving(zone)), minServing)
	}
	for _, n := range tf.instances {
		if !n.View().Serving {
			continue
		}
		is.Equal(len(n.View().Peers), 2*minServing)
		is.Equal(len(n.View().Addresses("a")), minServing)
	}
	for name, n := range tf.instances {
		is.Equal(len(n.View().Addresses(n.Self.Zone)), minServing) // standbys give the same addresses
		_ = name
	}
}

// Guards against a zone that is left with too few serving instances after a loss,
// and against all standbys taking over at once.
func TestStandbyTakesOver(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	lost := tf.serving("a")[0]
	tf.instances[lost].down = true
	tf.run(unresponsiveTimeout + 4*promotionStep + 2*checkInterval)
	is.Equal(len(tf.serving("a")), minServing)
	for _, n := range tf.instances {
		if n.Self.Zone == "a" && !n.down {
			for _, address := range n.View().Addresses("a") {
				is.True(address != "c-"+lost) // the dead instance is no longer listed
			}
		}
	}
	// The instance comes back with a new incarnation and serves again.
	back := tf.add(lost, "a", 2)
	var joins sync.WaitGroup
	joins.Go(func() { back.join(context.Background()) })
	waitJoined(tf, &joins)
	tf.run(3 * time.Second)
	is.Equal(len(tf.serving("a")), minServing)
}

// Guards against callers without a serving instance after most instances are lost
// at once.
func TestLossOfMost(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	kept := 0
	for _, n := range tf.instances {
		if kept < 2 && n.Self.Zone == "a" && !n.View().Serving {
			kept++
			continue
		}
		n.down = true
	}
	tf.run(4 * time.Second)
	is.Equal(len(tf.serving("a")), 2)
}

// Guards against a leaving instance whose address is still given to callers, and
// against a gap until a standby serves.
func TestLeave(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	name := tf.serving("a")[0]
	tf.instances[name].AnnounceLeave()
	tf.run(4*promotionStep + 2*checkInterval)
	is.Equal(len(tf.serving("a")), minServing)
	is.True(!tf.instances[name].View().Serving)
}

// Guards against giving callers the address of an instance that is not prepared.
func TestCalledBeforeReady(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(3)
	for _, n := range tf.instances {
		n.ready = false
	}
	tf.run(3 * time.Second)
	for _, n := range tf.instances {
		is.True(n.View().Called && !n.View().Serving)
		is.Equal(len(n.View().Peers), 0)
		n.ready = true
	}
	tf.run(time.Second)
	is.Equal(len(tf.serving("a")), 3)
}

// Guards against an isolated instance that gives callers only addresses that it
// cannot reach itself.
func TestIsolatedStandbyNamesItself(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	var alone *testInstance
	for _, n := range tf.instances {
		if !n.View().Serving {
			alone = n
			break
		}
	}
	tf.drop = func(from, to string) bool { return from == alone.Self.GossipAddress || to == alone.Self.GossipAddress }
	tf.run(4 * time.Second)
	is.Equal(alone.View().Addresses(alone.Self.Zone), []string{alone.Self.CallerAddress})
	tf.drop = func(string, string) bool { return false }
	tf.run(8 * time.Second)
	is.True(!alone.View().Serving) // it stops serving once it receives heartbeats again
	is.Equal(len(tf.serving(alone.Self.Zone)), minServing)
}

// Guards against a zone whose serving instances are overloaded while standbys are idle.
func TestMoreServeUnderLoad(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	for _, n := range tf.instances {
		n.rate = capacity * 2
	}
	tf.run(4 * time.Second)
	is.True(len(tf.serving("a")) > minServing)
}

// Guards against small instances that get more requests than they can carry: on a
// deployment of unequal instances, callers spread evenly over large and small ones.
func TestWantedByCapacity(t *testing.T) {
	for _, c := range []struct {
		name       string
		capacities []uint32
		size       int
		rate       float64
		want       int
	}{
		{"idle", []uint32{200, 200, 50, 50, 50}, 12, 0, 3},
		{"the small one carries a third", []uint32{200, 200, 50, 50, 50}, 12, 150, 3},
		{"a third is too much for it", []uint32{200, 200, 50, 50, 50}, 12, 151, 4},
		{"large ones alone", []uint32{200, 200, 200, 50, 50}, 12, 600, 3},
		{"more than all carry", []uint32{200, 200, 50, 50, 50}, 12, 1000, 5},
		{"a share of many", []uint32{50, 50, 50, 50, 50}, 30, 0, 5},
		{"a share of very many", []uint32{50, 50, 50, 50, 50, 50, 50, 50}, 140, 0, 5},
		{"fewer live than wanted", []uint32{50}, 12, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			var alive []*memberState
			for _, capacity := range c.capacities {
				alive = append(alive, &memberState{Member: Member{Capacity: capacity}})
			}
			is.New(t).Equal(wantedServing(alive, c.size, c.rate), c.want)
		})
	}
}

// Guards against an instance that repeatedly starts and stops serving while the
// load is near the point at which one more instance is needed: in a randomized
// fault search, callers reached instances that were no longer ready.
func TestLoadNearTheLimit(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	changes := map[string]uint64{}
	for i := range 40 {
		for _, n := range tf.instances {
			n.rate = 0
			if n.View().Serving {
				// Below and above what minServing instances carry.
				n.rate = float64(minServing*capacity-5+10*(i%2)) / float64(len(tf.serving(n.Self.Zone)))
			}
		}
		tf.run(500 * time.Millisecond)
		if i == 10 {
			for name, n := range tf.instances {
				changes[name] = n.View().Version
			}
		}
	}
	for name, n := range tf.instances {
		is.Equal(n.View().Version, changes[name])
	}
}

// Guards against a restarted instance that the others ignore because its time of
// day has jumped back, so that its incarnation is lower than before.
func TestRestartAfterClockStep(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	name := tf.serving("a")[0]
	tf.instances[name].down = true
	tf.run(3 * time.Second)
	back := tf.add(name, "a", 0)
	var joins sync.WaitGroup
	joins.Go(func() { back.join(context.Background()) })
	waitJoined(tf, &joins)
	tf.run(3 * time.Second)
	is.True(back.View().Serving)
	for _, other := range tf.serving("a") {
		is.True(slices.ContainsFunc(tf.instances[other].View().Peers, func(m Member) bool { return m.Instance == name }))
	}
}

// Guards against a delayed heartbeat of an earlier process of an instance that takes the
// place of what the running one says.
func TestDelayedHeartbeatOfAnEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(1).instances["a00"].Fleet
	send := func(incarnation uint64, address string) {
		f.recordHeartbeat(&peerpb.Heartbeat{Instance: "a01", Incarnation: incarnation, Zone: "a", Serving: true, CallerAddress: address})
	}
	send(7, "running")
	send(6, "ended")
	is.Equal(f.members["a01"].CallerAddress, "running")
	send(8, "restarted")
	is.Equal(f.members["a01"].CallerAddress, "restarted")
}

// Guards against callers that have to wait after the loss of all instances: if the
// roster has rows of earlier processes, an instance may serve at once.
func TestStartWait(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(3).instances["a00"].Fleet
	is.Equal(f.startWait(6), time.Duration(0))
	is.Equal(f.startWait(1), onlyMemberWait)
	f.FirstStart = true
	is.Equal(f.startWait(6), firstStartWait) // other instances may not have written their rows yet
}

// Guards against malformed datagrams that crash or stop an instance.
func TestUnreadableDatagrams(t *testing.T) {
	tf := newTestFleet(3)
	for _, data := range [][]byte{nil, {0xff}, []byte("GET / HTTP/1.1\r\n\r\n"), {0x0a, 0xff, 0xff, 0xff, 0xff, 0x0f}} {
		tf.instances["a00"].Receive(data)
	}
	tf.run(time.Second)
	is.New(t).True(tf.instances["a00"].View().Serving)
}
