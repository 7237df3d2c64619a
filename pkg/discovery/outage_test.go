package discovery

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// outageFixture is two instances that read the same store, a lister and another one that
// follows it.
type outageFixture struct {
	*is.I
	lister, other             *Registry
	listerSource, otherSource *fakeSource
	advance                   func(time.Duration)
}

func newOutageFixture(t *testing.T) *outageFixture {
	f := &outageFixture{I: is.New(t)}
	lister, listerSource, clock := newRegistry()
	other, otherSource, _ := newRegistry()
	other.clock = clock
	f.lister, f.listerSource, f.other, f.otherSource, f.advance = lister, listerSource, other, otherSource, clock.Advance
	f.store(1, nil, "t1", "t2")
	f.NoErr(lister.Refresh(context.Background()))
	f.pass(lister, other)
	f.Equal(len(other.Catalogue().byID), 2)
	return f
}

// store sets what the store answers.
func (f *outageFixture) store(era int64, err error, targets ...string) {
	for _, s := range []*fakeSource{f.listerSource, f.otherSource} {
		s.era, s.err, s.targets = era, err, nil
		for _, id := range targets {
			s.targets = append(s.targets, target(id))
		}
	}
}

// pass sends a heartbeat between two instances.
func (f *outageFixture) pass(from, to *Registry) {
	h := &peerpb.Heartbeat{Instance: "from", Serving: true}
	from.Fill(h, fleet.SameZonePeers)
	to.Merge("from", h)
}

// outage lets the lister fail for some seconds, of which the other one hears.
func (f *outageFixture) outage(seconds int) {
	f.store(1, errors.New("down"))
	for range seconds {
		f.advance(time.Second)
		f.True(f.lister.Refresh(context.Background()) != nil)
		f.pass(f.lister, f.other)
	}
}

// Guards against followers without a target that left the listing and returned within the
// time for which changes are repeated.
func TestTargetThatReturnsAtOnceIsLostElsewhere(t *testing.T) {
	f := newOutageFixture(t)
	for _, listed := range [][]string{{"t1"}, {"t1", "t2"}, {"t1", "t2", "t3"}} {
		f.advance(500 * time.Millisecond)
		f.store(1, nil, listed...)
		f.NoErr(f.lister.Refresh(context.Background()))
		f.pass(f.lister, f.other)
		f.Equal(len(f.other.Catalogue().byID), len(listed))
	}
}

// Guards against heartbeats that no datagram holds when all targets of a large site return.
func TestReturnOfAllTargetsExceedsDatagram(t *testing.T) {
	const largestDatagram = 65507 // bytes of payload over IPv4
	f := newOutageFixture(t)
	targets := []string{"t1", "t2"}
	for i := range 5400 {
		targets = append(targets, "i-0123456789abcdef"+strconv.Itoa(i))
	}
	f.store(1, nil, targets...)
	f.advance(time.Second)
	f.NoErr(f.lister.Refresh(context.Background()))
	h := &peerpb.Heartbeat{}
	f.lister.Fill(h, fleet.SameZonePeers)
	f.True(proto.Size(h) < largestDatagram/2) // the other half is for what the other exchangers add
	f.pass(f.lister, f.other)
	f.True(f.other.outOfSync.Load()) // so that it copies the listing
}

// Guards against a standby, which sends no listing, that keeps each target that ever changed.
func TestChangesGrowWithoutHeartbeats(t *testing.T) {
	f := newOutageFixture(t)
	for n := range 20 {
		f.advance(changeTTL)
		f.store(1, nil, "t"+strconv.Itoa(n))
		f.NoErr(f.lister.Refresh(context.Background()))
	}
	f.Equal(len(f.lister.changes), 2) // the last one that left and the last one that came
}

// listAfterOutage lets the store lose t2 in an outage during which only the lister asked, and
// the other instance list first after it.
func (f *outageFixture) listAfterOutage() {
	f.outage(4)
	f.advance(100 * time.Millisecond)
	f.store(1, nil, "t1")
	f.NoErr(f.other.Refresh(context.Background()))
	f.pass(f.other, f.lister)
}

// expectLapsed fails unless both instances have dropped t2, or have kept it.
func (f *outageFixture) expectLapsed(dropped bool) {
	f.Helper()
	f.Equal(f.lister.Catalogue().Find("t2") == nil, dropped)
	f.Equal(f.other.Catalogue().Find("t2") == nil, dropped)
}

// Guards against lapsed targets that are dropped everywhere because the first instance that
// lists them after an outage had not asked during it.
func TestFirstReaderAfterOutageDropsLapsedTargets(t *testing.T) {
	f := newOutageFixture(t)
	f.listAfterOutage()
	f.expectLapsed(false)
	f.advance(3 * time.Second)
	f.NoErr(f.other.Refresh(context.Background()))
	f.pass(f.other, f.lister)
	f.expectLapsed(true)
}

// Guards against lapsed targets that are dropped by an instance that lists them after another
// one has passed on that the listing is unsettled.
func TestNextReaderAfterOutageDropsLapsedTargets(t *testing.T) {
	f := newOutageFixture(t)
	f.listAfterOutage()
	for n := range 6 {
		f.advance(500 * time.Millisecond)
		f.NoErr(f.lister.Refresh(context.Background()))
		f.pass(f.lister, f.other)
		if n < 3 {
			f.expectLapsed(false)
		}
	}
	f.expectLapsed(true)
}

// Guards against live targets that are dropped because the retention had begun before the
// store returned, with the lister's last failure. Others still report theirs.
func TestRetentionBeginsBeforeTheReturn(t *testing.T) {
	f := newOutageFixture(t)
	f.outage(4)
	f.True(f.other.Refresh(context.Background()) != nil)
	f.advance(1900 * time.Millisecond)
	f.pass(f.other, f.lister)
	f.store(1, nil, "t1")
	for range 4 {
		f.NoErr(f.lister.Refresh(context.Background()))
		f.True(f.lister.Catalogue().Find("t2") != nil)
		f.advance(500 * time.Millisecond)
	}
}

// Guards against live targets that are dropped too early after a restore because an outage
// before it sets an earlier end of the retention.
func TestEarlierOutageEndsRetentionAfterRestore(t *testing.T) {
	f := newOutageFixture(t)
	f.outage(3)
	f.advance(time.Second)
	f.store(2, nil, "t1", "t2")
	f.NoErr(f.other.Refresh(context.Background()))
	f.pass(f.other, f.lister)
	f.advance(time.Second)
	f.store(2, nil, "t1")
	f.NoErr(f.lister.Refresh(context.Background()))
	f.advance(500 * time.Millisecond)
	f.NoErr(f.lister.Refresh(context.Background()))
	f.True(f.lister.Catalogue().Find("t2") != nil)
}

// Guards against a lister that still pauses after its failures although another instance
// has read the store.
func TestPauseOutlastsTheReturnOfTheStore(t *testing.T) {
	f := newOutageFixture(t)
	f.store(1, errors.New("down"))
	for range 4 {
		f.advance(2 * time.Second)
		f.lister.EnsureMaxAge(context.Background(), time.Second)
	}
	f.advance(100 * time.Millisecond)
	f.store(1, nil, "t1", "t2")
	f.NoErr(f.other.Refresh(context.Background()))
	f.pass(f.other, f.lister)
	f.advance(600 * time.Millisecond)
	calls := f.listerSource.calls
	f.lister.EnsureMaxAge(context.Background(), 500*time.Millisecond)
	f.Equal(f.listerSource.calls, calls+1)
}

// Guards against a listing that differs from its digest, since a heartbeat names a target
// both as changed and as removed.
func TestContradictoryChangesAreNotApplied(t *testing.T) {
	f := newOutageFixture(t)
	f.advance(500 * time.Millisecond)
	l := &peerpb.Listing{StoreEra: 1, Digest: digestOf(map[string]Target{"t2": target("t2"), "t3": target("t3")}), Removed: []string{"t1", "t3"}, Changed: []*peerpb.ListedTarget{toMessage(target("t3"))}}
	f.other.Merge("from", &peerpb.Heartbeat{Instance: "from", Serving: true, Listing: l})
	f.True(f.other.OutOfSync())
	f.Equal(len(f.other.Catalogue().byID), 2)
}
