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

// Guards against a target that has left for good, or that is alive and returns, being
// mistaken for the other after a restore of the store.
func TestRevivedTargetsAreToldFromReturningOnes(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	list := func(era int64, versions map[string]int64, targets ...Target) {
		c.Advance(500 * time.Millisecond)
		s.era, s.versions, s.targets = era, versions, targets
		is.NoErr(r.Refresh(context.Background()))
	}
	draining, again := target("t1"), target("t3")
	draining.Draining = true
	again.Started = 7
	list(1, nil, target("t1"), target("t2"), target("t3"))
	list(1, nil, draining)
	copied := map[string]int64{"t1": 5, "t2": 6, "t3": 9}
	list(2, copied, target("t1"), target("t2"), again)
	is.True(r.Catalogue().Find("t1").Draining)
	is.True(r.Catalogue().Find("t2") == nil)
	is.True(r.Catalogue().Find("t3") != nil) // it has started anew since

	// Another target changes, so that the listing is accepted again.
	list(2, copied, target("t1"), target("t2"), again, target("t4"))
	is.True(r.Catalogue().Find("t1").Draining)
	is.True(r.Catalogue().Find("t2") == nil)

	// The entry is written after the restore, so the target is alive.
	list(2, map[string]int64{"t1": 5, "t2": 20, "t3": 9}, target("t1"), target("t2"), again)
	is.True(r.Catalogue().Find("t2") != nil)

	// A target that drained stays so for as long as its entry is the old one.
	for range 20 {
		list(2, copied, target("t1"))
		is.True(r.Catalogue().Find("t1").Draining)
	}
}

// Guards against a live target that is left out for good because its entry was written
// before the first listing after the restore.
func TestReturningTargetIsUsedAfterTheDoubt(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	s.era, s.targets = 1, []Target{target("t1"), target("t2")}
	is.NoErr(r.Refresh(context.Background()))
	c.Advance(time.Second)
	s.targets = s.targets[:1]
	is.NoErr(r.Refresh(context.Background()))
	s.era, s.targets, s.versions = 2, []Target{target("t1"), target("t2")}, map[string]int64{"t1": 3, "t2": 4}
	for range 16 {
		c.Advance(500 * time.Millisecond)
		is.NoErr(r.Refresh(context.Background()))
	}
	is.True(r.Catalogue().Find("t2") != nil)
}

// Guards against a live target that is left out after a restore although the copy did not
// have its entry, which had lapsed before.
func TestLapsedTargetReturnsAfterRestore(t *testing.T) {
	is := is.New(t)
	r, s, c := newRegistry()
	list := func(era int64, targets ...Target) {
		c.Advance(500 * time.Millisecond)
		s.era, s.targets = era, targets
		is.NoErr(r.Refresh(context.Background()))
	}
	list(1, target("t1"), target("t2"))
	list(1, target("t1"))
	list(2, target("t1"))
	list(2, target("t1"), target("t2"))
	is.True(r.Catalogue().Find("t2") != nil)
}

// Guards against a live target that is left out after a restore although the count of its
// reports shows that its entry is newer than the copy.
func TestReportedTargetReturnsAfterRestore(t *testing.T) {
	for _, reports := range []int64{5, 9} {
		is := is.New(t)
		r, s, c := newRegistry()
		list := func(era, reports int64, targets ...Target) {
			c.Advance(500 * time.Millisecond)
			s.era, s.targets, s.reports = era, targets, map[string]int64{}
			if reports > 0 {
				s.reports["t2"] = reports
			}
			is.NoErr(r.Refresh(context.Background()))
		}
		list(1, 5, target("t1"), target("t2"))
		list(1, 0, target("t1"))
		list(2, reports, target("t1"), target("t2"))
		is.Equal(r.Catalogue().Find("t2") != nil, reports > 5)
	}
}
