package discovery

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against a listing from before a restore of the store that replaces one from
// after it.
func TestListingOfEndedEraIsIgnored(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	late, lateSource, _ := newRegistry()
	late.clock = c
	s.era, s.targets = 2, []Target{target("t1")}
	lateSource.era, lateSource.targets = 1, []Target{target("t2")}
	is.NoErr(r.Refresh(context.Background()))
	c.Advance(100 * time.Millisecond)
	is.NoErr(late.Refresh(context.Background()))
	h := &peerpb.Heartbeat{Instance: "e2", Serving: true}
	late.Fill(h, fleet.SameZonePeers)
	r.Merge("e2", h)
	is.True(r.Catalogue().Find("t1") != nil)
	is.True(r.Catalogue().Find("t2") == nil)
}

// Guards against live targets that other instances drop because the lister's restored
// store lacks them, and against missing ones that are retained forever.
func TestTargetsLackingAfterRestoreAreRetainedEverywhere(t *testing.T) {
	is := is.New(t)
	lister, s, c := newRegistry()
	other, _, _ := newRegistry()
	other.clock = c
	pass := func() {
		h := &peerpb.Heartbeat{Instance: "e2", Serving: true}
		lister.Fill(h, fleet.SameZonePeers)
		other.Merge("e2", h)
	}
	s.era, s.targets = 1, []Target{target("t1"), target("t2")}
	is.NoErr(lister.Refresh(context.Background()))
	pass()
	s.era, s.targets = 2, s.targets[:1]
	for range 4 {
		c.Advance(500 * time.Millisecond)
		is.NoErr(lister.Refresh(context.Background()))
		pass()
		is.True(lister.Catalogue().Find("t2") != nil)
		is.True(other.Catalogue().Find("t2") != nil)
	}
	for range 3 {
		c.Advance(500 * time.Millisecond)
		is.NoErr(lister.Refresh(context.Background()))
		pass()
	}
	is.True(lister.Catalogue().Find("t2") == nil)
	is.True(other.Catalogue().Find("t2") == nil)
}
