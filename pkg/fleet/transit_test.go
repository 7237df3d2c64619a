package fleet

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against a delay that is taken from the clocks of two machines, whose origins differ, and
// against a heartbeat that confirms a configuration though nobody can tell how long it was under way.
func TestTransitTime(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	remote := func(era int64, ahead time.Duration) *clock.Remote {
		r := &clock.Remote{}
		r.Observe(era, now+ahead, now-time.Millisecond, now+time.Millisecond)
		return r
	}
	sent := func(store *clock.Remote, at time.Duration) *peerpb.Heartbeat {
		h := &peerpb.Heartbeat{ConfigAgeMs: 70}
		stamp(h, store, at)
		return h
	}
	// The receiver's own clock is two hours ahead of that of the sender.
	sender, receiver := remote(1, 5*time.Hour), remote(1, 3*time.Hour)
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 4 * time.Second} {
		got, known := transitTime(sent(sender, now), receiver, now+2*time.Hour+delay)
		is.True(known)
		is.True(delay <= got && got <= delay+3*time.Millisecond)
	}
	unknown := map[string]struct {
		h     *peerpb.Heartbeat
		store *clock.Remote
	}{
		"sender of the last release":             {&peerpb.Heartbeat{ConfigAgeMs: 70}, receiver},
		"sender that has not read the store":     {sent(&clock.Remote{}, now), receiver},
		"sender without a store's clock":         {sent(nil, now), receiver},
		"receiver that has not read the store":   {sent(sender, now), &clock.Remote{}},
		"receiver without a store's clock":       {sent(sender, now), nil},
		"sender has read the store in era 1":     {sent(sender, now), remote(2, 3*time.Hour)},
		"sender has read the store in a new era": {sent(remote(2, 5*time.Hour), now), receiver},
	}
	for name, c := range unknown {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			delay, known := transitTime(c.h, c.store, now+2*time.Hour)
			is.True(!known)
			c.h.Listing = &peerpb.Listing{AgeMs: 30}
			addDelay(c.h, delay, known)
			is.Equal(c.h.Listing.AgeMs, uint32(30))
			is.True(c.h.ConfigAgeMs >= uint32(maxAddedDelay.Milliseconds()))
		})
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
	is.True(told.age >= 100*time.Millisecond && told.age <= 110*time.Millisecond)
	waiting := from.encode(from.heartbeat(SameZonePeers))
	tf.clock.Advance(4 * time.Second)
	to.Receive(waiting)
	is.True(told.age >= 4100*time.Millisecond && told.age <= 4110*time.Millisecond)
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
	is.True(told.age >= 4100*time.Millisecond && told.age <= 4110*time.Millisecond)
}

// Guards against a heartbeat that instances of the last release cannot read.
func TestLastReleaseReadsDelayedHeartbeat(t *testing.T) {
	is := is.New(t)
	file := protodesc.ToFileDescriptorProto((&peerpb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile())
	for _, m := range file.MessageType {
		if m.GetName() == "Heartbeat" {
			m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return strings.HasPrefix(f.GetName(), "sent_") })
		}
	}
	last, err := protodesc.NewFile(file, nil)
	is.NoErr(err)
	data, err := proto.Marshal(&peerpb.Heartbeat{Instance: "e1", Serving: true, ConfigVersion: 3, ConfigAgeMs: 70, SentMs: 5000, SentEra: 2})
	is.NoErr(err)
	read := dynamicpb.NewMessage(last.Messages().ByName("Heartbeat"))
	is.NoErr(proto.Unmarshal(data, read))
	is.Equal(read.Get(read.Descriptor().Fields().ByName("config_age_ms")).Uint(), uint64(70))
	is.True(len(read.GetUnknown()) > 0)
}
