package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against a delay that is taken from the clocks of two machines, whose origins differ,
// and against one that counts for a sender that has started again or whose clock drifts.
func TestTransitDelay(t *testing.T) {
	is := is.New(t)
	sent := func(incarnation uint64, at time.Duration) *peerpb.Heartbeat {
		return &peerpb.Heartbeat{Incarnation: incarnation, SentMs: uint64(at.Milliseconds())}
	}
	var tr transit
	is.Equal(tr.delay(&peerpb.Heartbeat{Incarnation: 1}, time.Hour), time.Duration(0)) // an earlier release
	is.Equal(tr.delay(sent(1, 5*time.Second), time.Hour), time.Duration(0))
	is.Equal(tr.delay(sent(1, 6*time.Second), time.Hour+4*time.Second), 3*time.Second)
	is.Equal(tr.delay(sent(1, 8*time.Second), time.Hour+2900*time.Millisecond), time.Duration(0)) // faster than the first
	is.Equal(tr.delay(sent(1, 9*time.Second), time.Hour+4*time.Second), 100*time.Millisecond)
	is.Equal(tr.delay(sent(2, time.Second), time.Hour+5*time.Second), time.Duration(0))
	// A clock that gains 50 ms in a minute does not add up to a delay.
	for n := range 30 {
		at := time.Duration(n) * time.Minute / 2
		is.True(tr.delay(sent(3, time.Second+at), 2*time.Hour+at+at*50/60000) <= 150*time.Millisecond)
	}
}

// Guards against log lines that grow with the square of the number of instances when many of
// them start or stop.
func TestServingChangesAreLoggedOnceASecond(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	f := tf.instances[tf.serving("a")[0]].Fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.SinceBoot()
	f.servingLoggedAt = now
	for range 50 {
		for _, k := range f.members {
			k.serving = !k.serving
		}
		f.updateView(now)
	}
	is.True(f.servingUnlogged >= 50)
	f.updateView(now + servingLogInterval)
	is.Equal(f.servingUnlogged, 0)
}

// confirmation is a StateExchanger that keeps the last age of a configuration that it was told.
type confirmation struct{ age time.Duration }

func (*confirmation) Fill(h *peerpb.Heartbeat, _ Audience) { h.ConfigAgeMs = 100 }
func (c *confirmation) Merge(_ string, h *peerpb.Heartbeat) {
	c.age = time.Duration(h.ConfigAgeMs) * time.Millisecond
}

// Guards against a heartbeat that has waited in a link or a socket and confirms the
// configuration at a time at which its sender had not been asked.
func TestDelayedHeartbeatConfirmsOldConfig(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	names := tf.serving("a")
	from, to := tf.instances[names[0]], tf.instances[names[1]]
	told := &confirmation{}
	from.StateExchangers, to.StateExchangers = []StateExchanger{told}, []StateExchanger{told}
	to.Receive(from.encode(from.heartbeat(SameZonePeers)))
	is.Equal(told.age, 100*time.Millisecond)
	waiting := from.encode(from.heartbeat(SameZonePeers))
	tf.clock.Advance(4 * time.Second)
	to.Receive(waiting)
	is.Equal(told.age, 4100*time.Millisecond)
}

// Guards against an instance that starts, reads heartbeats that have waited in its socket, and takes an old configuration for the newest.
func TestFirstHeartbeatThatWaitedConfirmsOldConfig(t *testing.T) {
	is := is.New(t)
	tf := newTestFleet(12)
	tf.run(3 * time.Second)
	from := tf.instances[tf.serving("a")[0]]
	told := &confirmation{}
	from.StateExchangers = []StateExchanger{told}
	waiting := from.encode(from.heartbeat(SameZonePeers))
	tf.clock.Advance(4 * time.Second)
	started := tf.add("a99", "a", 1)
	started.StateExchangers = []StateExchanger{told}
	started.Receive(waiting)
	is.True(told.age >= 4100*time.Millisecond)
}

// Guards against a heartbeat that instances of the last release cannot read.
func TestLastReleaseReadsDelayedHeartbeat(t *testing.T) {
	is := is.New(t)
	file := protodesc.ToFileDescriptorProto((&peerpb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile())
	for _, m := range file.MessageType {
		if m.GetName() == "Heartbeat" {
			m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetName() == "sent_ms" })
		}
	}
	last, err := protodesc.NewFile(file, nil)
	is.NoErr(err)
	data, err := proto.Marshal(&peerpb.Heartbeat{Instance: "e1", Serving: true, ConfigVersion: 3, ConfigAgeMs: 70, SentMs: 5000})
	is.NoErr(err)
	read := dynamicpb.NewMessage(last.Messages().ByName("Heartbeat"))
	is.NoErr(proto.Unmarshal(data, read))
	is.Equal(read.Get(read.Descriptor().Fields().ByName("config_age_ms")).Uint(), uint64(70))
	// What the last release sends counts with the ages in it.
	is.Equal((&transit{}).delay(&peerpb.Heartbeat{ConfigAgeMs: 70}, time.Hour), time.Duration(0))
}
