package fleet

import (
	"maps"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// updateView decides whether this instance serves and publishes a new view. The
// caller holds mu.
func (f *Fleet) updateView(now time.Duration) {
	old := f.View()
	next := &View{Version: old.Version, SharesVersion: old.SharesVersion, Self: f.Self, Quiet: map[string]bool{}, Detached: map[string]bool{}}
	next.Called = f.shouldServe(now, old.Called)
	next.Serving = next.Called && f.Ready()
	if next.Serving {
		next.Peers = append(next.Peers, f.Self)
		if f.pathsLost() {
			next.Detached[f.Self.Instance] = true
		}
	}
	next.Settled = f.settled(next.Serving, now)
	own, sizes := f.zoneNumber(f.self), make([]int, len(f.zones)+1)
	sizes[own] = 1
	f.quiet.update(f, next.Serving, now)
	if f.quiet.value {
		next.Quiet[f.Self.Instance] = true
	}
	for _, k := range f.list {
		zone := f.zoneNumber(k)
		for zone >= len(sizes) {
			sizes = append(sizes, 0)
		}
		sizes[zone]++
		timeout := silenceTimeout(zone == own, old.Serving)
		if f.maySilentlyServe(k, now, timeout) {
			next.Silent = append(next.Silent, k.Member)
		}
		if now-k.lastReceived < timeout && k.serving && !k.leaving {
			next.Peers = append(next.Peers, k.Member)
			if k.quiet {
				next.Quiet[k.Instance] = true
			}
			if k.pathsLost {
				next.Detached[k.Instance] = true
			}
		}
	}
	next.ZoneSizes = make(map[string]int, len(sizes))
	for name, zone := range f.zones {
		if sizes[zone] > 0 {
			next.ZoneSizes[name] = sizes[zone]
		}
	}
	next.FixedShare = f.fixedShare(len(next.ZoneSizes))
	sortByName(next.Peers)
	sortByName(next.Silent)
	samePeers := next.Serving == old.Serving && slices.Equal(next.Peers, old.Peers) && maps.Equal(next.Detached, old.Detached)
	sameShares := next.Settled == old.Settled && slices.Equal(next.Silent, old.Silent) && maps.Equal(next.ZoneSizes, old.ZoneSizes)
	if !samePeers || !sameShares {
		next.SharesVersion++
	}
	if !samePeers || !maps.Equal(next.Quiet, old.Quiet) {
		next.Version++
	}
	f.view.Store(next)
	if next.Called != old.Called {
		// The view is stored first: the receiver reads it.
		select {
		case f.calledChanged <- struct{}{}:
		default:
		}
	}
	if !samePeers {
		f.servingUnlogged++
	}
	if next.Serving != old.Serving || (f.servingUnlogged > 0 && now-f.servingLoggedAt >= servingLogInterval) {
		f.logServing(next, now)
	}
}

// servingLogInterval is the time between two log lines on the serving instances, unless this
// one begins or ceases to serve: when hundreds start or stop, each of them sees hundreds of
// changes.
const servingLogInterval = time.Second

// logServing logs the serving instances of a view. The caller holds mu.
func (f *Fleet) logServing(v *View, now time.Duration) {
	event.ServingChanged.Log(f.Log).Bool("self", v.Serving).Int("serving", len(v.Peers)).Int("detached", len(v.Detached)).
		Int("serving_in_zone", len(v.InZone(f.Self.Zone))).Int("known", len(f.members)+1).Int("changes", f.servingUnlogged).Send()
	f.servingLoggedAt, f.servingUnlogged = now, 0
}

// notRanked is the position of this instance among others until its rank is found.
const notRanked = -1

// shouldServe reports whether this instance is among the first in rank of its
// zone; wasCalled is the previous result. Standbys receive heartbeats only from
// serving instances, not from each other, so a standby gives those ahead of it in
// rank time to take over.
func (f *Fleet) shouldServe(now time.Duration, wasCalled bool) bool {
	if f.leaving.Load() || !f.joined.Load() {
		f.promotableSince = 0
		return false
	}
	if f.pathsLost() {
		// Callers keep its address, and requests take detours: it stays a peer of the others.
		f.promotableSince = 0
		return wasCalled
	}
	self, others := f.self, f.zoneMembers()
	self.serving, self.rate = wasCalled, f.Rate()
	zone, position := make([]*memberState, 0, len(others)+1), notRanked
	rate, size, unresponsiveAhead := self.rate, len(others)+1, 0
	for _, k := range others {
		if position == notRanked && compareRank(k, self) > 0 {
			position = len(zone)
			zone = append(zone, self)
		}
		alive := now-k.lastReceived < unresponsiveTimeout && !k.leaving && !k.pathsLost
		if alive && k.serving {
			rate += k.rate
		}
		// An instance from which nothing is received may be a healthy standby that is
		// about to take over.
		if !alive && !k.leaving && !k.pathsLost && position == notRanked {
			unresponsiveAhead++
		}
		if alive {
			zone = append(zone, k)
		}
	}
	if position == notRanked {
		position = len(zone)
		zone = append(zone, self)
	}
	if wasCalled {
		// If this instance stopped serving, the remaining ones would soon exceed what
		// they can carry again. Without a margin, the last serving instance in rank would
		// start and stop repeatedly.
		rate *= demotionRateFactor
	}
	if position >= wantedServing(zone, size, rate) {
		f.promotableSince = 0
		return false
	}
	if wasCalled {
		return true
	}
	if f.promotableSince == 0 {
		f.promotableSince = now
	}
	return now-f.promotableSince >= time.Duration(min(unresponsiveAhead, maxPromotionSteps))*promotionStep
}

const (
	// settleTime is the time from which on an instance that serves is known to the others:
	// four heartbeats of the slowest interval between instances that serve.
	settleTime = 2 * time.Second
	// silentReserve is the time for which an instance that served and from which nothing is
	// received any more may still serve. Partitions last minutes; a machine that is gone for
	// good is forgotten after it.
	silentReserve = 10 * time.Minute
	// unheardReserve is the time since the start of this process for which the same holds
	// for instances that the roster lists and that have never been heard. Live ones are heard
	// within seconds.
	unheardReserve = time.Minute
)

// settled returns View.Settled. The caller holds mu.
func (f *Fleet) settled(serving bool, now time.Duration) bool {
	if !serving {
		f.servingSince = 0
		return false
	}
	if f.servingSince == 0 {
		f.servingSince = now
	}
	return now-f.servingSince >= settleTime
}

// silenceTimeout returns the time without a heartbeat after which a member counts as
// unresponsive, by whether it is in the own zone and whether this instance serves: the serving
// instances of other zones send to standbys only every slowInterval.
func silenceTimeout(ownZone, serving bool) time.Duration {
	if ownZone || serving {
		return unresponsiveTimeout
	}
	return otherZoneUnresponsiveTimeout
}

// maySilentlyServe reports whether k may serve although nothing has been received from it for
// the given timeout.
func (f *Fleet) maySilentlyServe(k *memberState, now, timeout time.Duration) bool {
	switch {
	case k.leaving:
		return false
	case !k.heard:
		return now-f.createdAt < unheardReserve
	default:
		silent := now - k.lastReceived
		return k.serving && silent >= timeout && silent < silentReserve
	}
}

func (f *Fleet) pathsLost() bool { return f.Options.PathsLost != nil && f.Options.PathsLost() }

// Connecting returns the instances, standbys included, that are known to have connected to a
// target since the given time since boot.
func (f *Fleet) Connecting(since time.Duration) []Member {
	now := f.Clock.SinceBoot()
	f.mu.Lock()
	defer f.mu.Unlock()
	var members []Member
	for _, k := range f.list {
		timeout := unresponsiveTimeout
		if k.Zone != f.Self.Zone {
			timeout = otherZoneUnresponsiveTimeout
		}
		if !k.leaving && !k.pathsLost && k.connectedAt > 0 && k.connectedAt >= since && now-k.lastReceived < timeout {
			members = append(members, k.Member)
		}
	}
	return members
}

// demotionRateFactor multiplies the rate of the zone when a serving instance checks
// whether it is still needed (hysteresis).
const demotionRateFactor = 1.4

// maxPromotionSteps bounds the number of promotionStep delays of a standby.
const maxPromotionSteps = 4

// minimumServing returns how many instances of a zone of some size serve at any rate.
func minimumServing(size int) int {
	return max(minServing, min(maxMinServing, size/membersPerServing))
}

// wantedServing returns how many instances should serve in a zone that has size
// members and a rate in requests per second. alive are its live instances in order
// of rank. Callers choose at random among the serving instances, so each gets the
// same rate, and the one with the smallest capacity has to carry it.
func wantedServing(alive []*memberState, size int, rate float64) int {
	minimum := minimumServing(size)
	for n := minimum; n < len(alive); n++ {
		if rate <= float64(n)*float64(alive[n-1].Capacity) {
			return n
		}
	}
	return max(minimum, len(alive))
}
