package follow

import (
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"

	"github.com/arbutuslink/arbutuslink/pkg/evacuation"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// evacuatedUpdate is configUpdate for a store with evacuated zones.
func evacuatedUpdate(v int64, zones ...string) Update {
	u := configUpdate(v)
	u.Evacuations.Evacuated = zones
	return u
}

// told is a heartbeat of a serving instance with configuration 3.
func told(era, version int64, zones ...string) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, EvacuatedZones: &peerpb.EvacuatedZones{StoreEra: era, StoreVersion: version, Zones: zones}}
}

// Guards against an order that takes effect at the listers only, and against one that stays
// in force at an instance after it was withdrawn, or comes back with an old heartbeat.
func TestEvacuationIsFollowed(t *testing.T) {
	is := is.New(t)
	f := startFollower(t, evacuatedUpdate(3, "a"), Update{Cursor: Cursor{Version: 9}, Evacuations: evacuation.Change{
		Version: evacuation.Version{Number: 9}, Evacuated: []string{"b"}, Restored: []string{"a"},
	}})
	eventually(t, "the change was not applied", func() bool { return f.Evacuated("b") && !f.Evacuated("a") })
	h := &peerpb.Heartbeat{}
	f.Fill(h, fleet.Standbys)

	g, _, _ := newStandby(unreachablePeers{})
	g.Merge("e1", told(0, 3, "a"))
	is.True(g.Evacuated("a")) // at once, before any configuration is copied
	g.Merge("e2", h)
	is.True(!g.Evacuated("a") && g.Evacuated("b"))
	g.Merge("e1", told(0, 3, "a"))
	is.True(!g.Evacuated("a") && g.Evacuated("b"))
	// An answer of the store that is late is older than what another instance has read.
	f.Merge("e2", told(0, 20, "c"))
	f.apply(evacuatedUpdate(12, "d"), fromStore)
	is.True(f.Evacuated("c") && !f.Evacuated("d"))
	// What a restored store says is authoritative, though its versions are lower.
	g.Merge("e3", told(1, 2, "a"))
	is.True(g.Evacuated("a") && !g.Evacuated("b"))
	g.Merge("e2", h)
	is.True(g.Evacuated("a") && !g.Evacuated("b"))
}

// Guards against an order that is missed because the document beside it is invalid, or
// because it came with a part of the changes only.
func TestEvacuationWithRejectedConfig(t *testing.T) {
	is := is.New(t)
	update := evacuatedUpdate(3, "a")
	update.Config, update.Rejected = nil, errors.New("odd")
	f := startFollower(t, update)
	eventually(t, "the order was not applied", func() bool { return f.Evacuated("a") })
	is.True(!f.MayServe())
}

// Guards against an instance that serves before it knows the evacuated zones, and against
// one that never serves because the store turns it away and all others are of an earlier
// release, which says nothing of evacuations.
func TestUnknownEvacuations(t *testing.T) {
	is := is.New(t)
	old := &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, GossipAddress: "10.0.0.1:7360"}
	f, s, c := newStandby(&peerConfig{version: 3}, errors.New("turned away"), evacuatedUpdate(3, "a"))
	f.Merge("e1", old)
	eventually(t, "the copy did not finish", f.copySources.Idle)
	is.Equal(f.View().Config.Version, int64(3))
	is.Equal(s.reads, 1) // the store is asked, as the copy does not tell
	is.True(!f.MayServe())
	c.Advance(unknownEvacuationsWait)
	is.True(f.MayServe() && !f.Evacuated("a"))
	// The same heartbeat confirms nothing: the store is read when the configuration ages.
	f.Merge("e1", old)
	f.EnsureMaxAge(t.Context(), time.Second)
	is.True(f.Evacuated("a"))
	f.Merge("e1", old)
	is.True(f.Evacuated("a"))
}

// Guards against a heartbeat that instances of the last release cannot read.
func TestLastReleaseReadsHeartbeat(t *testing.T) {
	is := is.New(t)
	file := protodesc.ToFileDescriptorProto((&peerpb.Heartbeat{}).ProtoReflect().Descriptor().ParentFile())
	for _, m := range file.MessageType {
		if m.GetName() == "Heartbeat" {
			m.Field = slices.DeleteFunc(m.Field, func(f *descriptorpb.FieldDescriptorProto) bool { return f.GetNumber() >= 26 })
		}
	}
	last, err := protodesc.NewFile(file, nil)
	is.NoErr(err)
	data, err := proto.Marshal(told(2, 7, "a", "b"))
	is.NoErr(err)
	read := dynamicpb.NewMessage(last.Messages().ByName("Heartbeat"))
	is.NoErr(proto.Unmarshal(data, read))
	is.Equal(read.Get(read.Descriptor().Fields().ByName("config_version")).Int(), int64(3))
}
