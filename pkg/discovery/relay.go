package discovery

import (
	"context"
	"encoding/binary"
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// changeTTL is how long a change is repeated in heartbeats, in case one is
	// lost. A listing that is older is not passed on at all.
	changeTTL = 1200 * time.Millisecond
	// maxChangesPerHeartbeat is the number of changes that a heartbeat names at most;
	// they take about 7 KB. Heartbeats must fit into a datagram, and the heartbeats of 30
	// instances into the buffer of a socket, which mostly has 212 KB. With more changes,
	// they have only the digest, and receivers copy the listing.
	maxChangesPerHeartbeat = 64
	// copyTimeout bounds the fetch of a complete listing from another instance; a
	// round trip between zones takes 3 ms.
	copyTimeout = 250 * time.Millisecond
	// maxReportedAge caps the listing age that is reported to other instances.
	maxReportedAge = time.Hour
	// maxReportedUptime caps the uptime of the store that is reported: after it, no target is
	// retained any more.
	maxReportedUptime = 10 * time.Second
)

// PeerListings fetches listings from other instances.
type PeerListings interface {
	// Listing returns the complete listing of the instance at a gossip address.
	Listing(ctx context.Context, address string) (*peerpb.Listing, error)
}

// targetChange is the addition, modification or removal of a target in the listing.
type targetChange struct {
	// at is the time since boot at which this instance learned of the change.
	at      time.Duration
	target  Target
	removed bool
}

// accept updates the catalogue from a listing that this instance read or
// another one passed on, and reports whether the listing or the targets in use have
// changed. A listing that is not newer than the catalogue is ignored. The caller holds mu.
func (r *Registry) accept(next map[string]Target, digest uint64, readAt, now time.Duration) (changed bool) {
	old := r.Catalogue()
	if readAt <= old.ReadAt {
		// Evidence that came with it may settle the listing that is known.
		if r.hasMissing && old.ReadAt >= r.uptime.settledAt() {
			r.replaceCatalogue(r.lastListing, old.ReadAt, now)
		}
		return r.Catalogue().Version != old.Version
	}
	if digest == r.digest && !r.hasMissing {
		same := *old
		same.ReadAt = readAt
		r.current.Store(&same)
		return false
	}
	listingChanged := digest != r.digest
	if listingChanged {
		keepFirstWarmup(next, r.lastListing)
		r.recordChanges(next, now)
		r.recordDepartures(next, now)
		r.lastListing, r.digest = next, digest
	}
	r.replaceCatalogue(r.lastListing, readAt, now)
	if listingChanged {
		own := readAt == r.listedAt
		line := event.ListingChanged.Log(r.log).Int("targets", len(r.lastListing)).Int("in_use", len(r.Catalogue().byID)).Bool("own", own)
		if own {
			line = line.Int("left_out", r.leftOut)
		}
		line.Bool("unsettled", readAt < r.uptime.settledAt()).Dur("age", now-readAt).Send()
	}
	return listingChanged || r.Catalogue().Version != old.Version
}

// keepFirstWarmup resets the warm-up of targets that were already listed, and
// have not restarted, to its value in the first listing, from which it is
// counted. The remaining warm-up shrinks with each report of a target; treated
// as a change, it would be passed on to all instances each time.
func keepFirstWarmup(next, old map[string]Target) {
	for id, t := range next {
		if previous, ok := old[id]; ok && previous.Started == t.Started && previous.WarmupLeft != t.WarmupLeft {
			t.WarmupLeft = previous.WarmupLeft
			next[id] = t
		}
	}
}

// recordChanges records the differences between the last listing and next for
// heartbeats, and drops old ones. Only the last change of a target is kept: heartbeats do
// not tell the order of changes. The caller holds mu.
func (r *Registry) recordChanges(next map[string]Target, now time.Duration) {
	r.dropOldChanges(now)
	for id, t := range next {
		if old, ok := r.lastListing[id]; !ok || old != t {
			r.changes[id] = targetChange{at: now, target: t}
		}
	}
	for id, t := range r.lastListing {
		if _, ok := next[id]; !ok {
			r.changes[id] = targetChange{at: now, target: t, removed: true}
		}
	}
}

// dropOldChanges drops the changes that heartbeats no longer repeat. The caller holds mu.
func (r *Registry) dropOldChanges(now time.Duration) {
	maps.DeleteFunc(r.changes, func(_ string, c targetChange) bool { return now-c.at >= changeTTL })
}

// digestOf returns a digest of a listing. It does not depend on the order of the
// targets, nor on their warm-up, which instances may have learned at different
// times. It is the sum of the targets' digests, so that a change updates it
// without a pass over all targets.
func digestOf(targets map[string]Target) uint64 {
	var sum uint64
	for _, t := range targets {
		sum += t.digest()
	}
	return sum
}

// digestBufferSize is the capacity in bytes of the buffer that Target.digest
// hashes. It exceeds the length of nearly all encoded targets, so that the buffer
// mostly stays on the stack.
const digestBufferSize = 160

// digest returns the digest of one target, without its warm-up.
func (t Target) digest() uint64 {
	b := make([]byte, 0, digestBufferSize)
	for _, text := range []string{t.ID, t.Service, t.Address, t.Zone} {
		b = append(append(b, text...), 0)
	}
	b = binary.AppendVarint(b, int64(t.Slots))
	b = binary.AppendVarint(b, t.Started)
	b = strconv.AppendBool(b, t.Draining)
	return xxhash.Sum64(b)
}

// Fill adds the digest and the recent changes of the listing to a heartbeat; with more than
// maxChangesPerHeartbeat, only the digest. Serving instances receive only listings that
// this instance read from the store itself; standbys also receive those that other
// instances passed on.
func (r *Registry) Fill(h *peerpb.Heartbeat, to fleet.Audience) {
	now := r.clock.SinceBoot()
	r.mu.Lock()
	defer r.mu.Unlock()
	readAt := r.Catalogue().ReadAt
	h.StoreFailing = r.reportsFailing(readAt, now)
	if now-readAt >= changeTTL || (to.Serving() && readAt != r.listedAt) {
		return
	}
	h.Listing = r.listingHeader(now)
	r.dropOldChanges(now)
	if len(r.changes) > maxChangesPerHeartbeat {
		return
	}
	for _, c := range r.changes {
		if c.removed {
			h.Listing.Removed = append(h.Listing.Removed, c.target.ID)
		} else {
			h.Listing.Changed = append(h.Listing.Changed, toMessage(c.target))
		}
	}
}

// listingHeader returns the message about the listing without any targets. The
// caller holds mu.
func (r *Registry) listingHeader(now time.Duration) *peerpb.Listing {
	age, settledIn := now-r.Catalogue().ReadAt, max(0, r.uptime.settledAt()-now)
	l := &peerpb.Listing{
		Digest: r.digest, AgeMs: uint32(min(age, maxReportedAge).Milliseconds()), StoreEra: r.era,
		Unsettled: settledIn > 0, SettledInMs: uint32(settledIn.Milliseconds()),
	}
	if u := r.uptime; u.known {
		l.StoreUpMs = ceilMs(min(now-u.since, maxReportedUptime))
		if u.afterOutage && now-u.since < maxReportedUptime {
			l.StoreLostMs = ceilMs(min(now-u.lostAt, maxReportedAge))
		}
	}
	return l
}

// ceilMs returns a duration in milliseconds, rounded up.
func ceilMs(d time.Duration) *uint32 {
	return proto.Uint32(uint32((max(0, d) + time.Millisecond - 1).Milliseconds()))
}

// uptimeIn returns the evidence on the store's uptime in a message. Its ages are counted back from
// the time of the request, if it was requested, for the listing, which is then taken to be
// older than it is, and from its receipt for the store's return, which is taken to be later.
func uptimeIn(l *peerpb.Listing, requestedAt, receivedAt time.Duration) uptime {
	e := answeredCall(requestedAt-time.Duration(l.AgeMs)*time.Millisecond, receivedAt)
	if l.StoreUpMs == nil {
		// An earlier release.
		e.since = min(receivedAt, e.until+listingTimeout)
		e.afterOutage = l.Unsettled
		return e
	}
	e.since -= time.Duration(*l.StoreUpMs) * time.Millisecond
	if l.StoreLostMs != nil {
		e.afterOutage, e.lostAt = true, receivedAt-time.Duration(*l.StoreLostMs)*time.Millisecond
	}
	return e
}

// Listing returns the complete listing for another instance, encoded as changes
// to an empty listing.
func (r *Registry) Listing() *peerpb.Listing {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.listingHeader(r.clock.SinceBoot())
	for _, t := range r.lastListing {
		l.Changed = append(l.Changed, toMessage(t))
	}
	return l
}

// Merge applies the listing in a heartbeat from another instance. If the changes
// in it do not lead to the sender's digest, the complete listing is copied.
func (r *Registry) Merge(from string, h *peerpb.Heartbeat) {
	if h.Serving {
		r.setStoreFailing(from, h.StoreFailing)
	}
	if h.Listing == nil {
		return
	}
	changed, outOfSync := r.applyMessage(h.Listing, from, r.clock.SinceBoot(), false)
	if changed {
		r.onChange(false)
	}
	if outOfSync {
		r.copySources.Add(h, r.copyListing)
	}
}

// setStoreFailing records whether an instance reports that its calls to the
// store fail.
func (r *Registry) setStoreFailing(from string, storeFailing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observeReport(from, storeFailing, r.Catalogue().ReadAt, r.clock.SinceBoot())
}

// copyListing fetches the complete listing from the sender of a heartbeat. If
// that fails, this instance stays out of sync until it lists the targets itself
// or can follow a later heartbeat.
func (r *Registry) copyListing(h *peerpb.Heartbeat) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	requestedAt := r.clock.SinceBoot()
	l, err := r.peerListings.Listing(ctx, h.GossipAddress)
	if err != nil {
		event.CopyFailed.Log(r.log).Err(err).Str("from", h.Instance).Dur("listing_age", requestedAt-r.Catalogue().ReadAt).Send()
		return
	}
	if changed, _ := r.applyMessage(l, h.Instance, requestedAt, true); changed {
		r.onChange(false)
	}
}

// applyMessage applies a listing message from another instance. requestedAt is the time of its
// request, or of its receipt if it was not requested. complete tells that the message has all
// targets and not only changes. It reports whether the listing or the targets in use have
// changed, and whether this instance is out of sync because the result does not match the
// digest of the message; such a message is not applied.
func (r *Registry) applyMessage(l *peerpb.Listing, from string, requestedAt time.Duration, complete bool) (changed, outOfSync bool) {
	now, restored := r.clock.SinceBoot(), false
	defer func() { r.announceRestore(restored) }()
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.StoreEra < r.era {
		return false, false
	}
	e := uptimeIn(l, requestedAt, now)
	restored = r.observeUptime(e, l.StoreEra, from, now)
	next := r.lastListing
	if l.Digest != r.digest {
		if !complete && r.digestAfter(l) != l.Digest {
			r.outOfSync.Store(true)
			return false, true
		}
		next = r.targetsAfter(l, complete)
		if complete && digestOf(next) != l.Digest {
			r.outOfSync.Store(true)
			return false, true
		}
	}
	r.outOfSync.Store(false)
	return r.accept(next, l.Digest, e.until, now), false
}

// digestAfter returns the digest of targetsAfter for a message that is not complete.
func (r *Registry) digestAfter(l *peerpb.Listing) uint64 {
	digest := r.digest
	changed := make(map[string]uint64, len(l.Changed))
	for _, m := range l.Changed {
		if old, ok := r.lastListing[m.Id]; ok {
			digest -= old.digest()
		}
		changed[m.Id] = fromMessage(m).digest()
		digest += changed[m.Id]
	}
	for _, id := range l.Removed {
		if d, ok := changed[id]; ok {
			digest -= d
		} else if old, ok := r.lastListing[id]; ok {
			digest -= old.digest()
		}
	}
	return digest
}

// targetsAfter returns the last listing with the changes of a message applied, or
// only the targets of the message if it is complete.
func (r *Registry) targetsAfter(l *peerpb.Listing, complete bool) map[string]Target {
	next := map[string]Target{}
	if !complete {
		next = maps.Clone(r.lastListing)
	}
	for _, m := range l.Changed {
		next[m.Id] = fromMessage(m)
	}
	for _, id := range l.Removed {
		delete(next, id)
	}
	return next
}

func toMessage(t Target) *peerpb.ListedTarget {
	return &peerpb.ListedTarget{
		Id: t.ID, Service: t.Service, Address: t.Address, Zone: t.Zone, Slots: uint32(t.Slots), Draining: t.Draining,
		WarmupMs: uint32(t.WarmupLeft.Milliseconds()), Started: t.Started,
	}
}

func fromMessage(m *peerpb.ListedTarget) Target {
	return Target{
		ID: m.Id, Service: m.Service, Address: m.Address, Zone: m.Zone, Slots: int(m.Slots), Draining: m.Draining,
		WarmupLeft: time.Duration(m.WarmupMs) * time.Millisecond, Started: m.Started,
	}
}
