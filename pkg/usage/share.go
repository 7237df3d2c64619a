package usage

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/allowance"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// limitWindow, allowedExcessFactor and allowedExcessRequests are the bound of the
	// platform: (rate x window + burst) x factor + requests in any window.
	boundWindow         = 5.0 // seconds
	boundExcessFraction = 0.1
	boundExcessRequests = 20.0
	// toleranceFraction is the fraction of that excess by which the level may fall below
	// zero before an instance admits nothing. The rest covers what is admitted before the
	// others know of it.
	toleranceFraction = 0.6
	// overloadToleranceFraction is the same for a team that sends more than its rate: its
	// level stays near the tolerance, and errors add to it.
	overloadToleranceFraction = 0.35
	// freshToleranceFraction is the same while this instance does not know what was admitted
	// in the whole window of the platform's bound.
	freshToleranceFraction = 0.1
	// fullSpeedFraction is the fraction of the tolerance below zero down to which the local
	// bucket fills at the share of the rate; it fills more slowly below, and not at all at
	// the tolerance.
	fullSpeedFraction = 0.5
	// minGrant is the minimum fraction of the level, and of the tolerance, that an instance
	// admits at once, so that one that has just begun to receive demand is not held to the
	// small share that it has reported.
	minGrant = 0.5
	// A team is overloaded if its demand in reportWindow is more than overloadFactor times
	// what its rate allows and overloadBursts of its burst. Random bursts of a team within
	// its rate stay below.
	overloadFactor = 1.5
	overloadBursts = 0.5
	// silentTimeout is the time without a heartbeat after which a peer's share stays
	// reserved for it: one heartbeat between zones and its jitter.
	silentTimeout = 650 * time.Millisecond
	// sampleInterval is the time after which a share is computed again without a heartbeat,
	// and a sample of the level is kept. Samples are kept until a peer is unresponsive.
	sampleInterval = 50 * time.Millisecond
)

// excess returns the requests that the platform allows a team above rate and burst.
func excess(c config.Team) float64 {
	return (c.RatePerSecond*boundWindow+float64(c.Burst))*boundExcessFraction + boundExcessRequests
}

// maxDebt returns the bound of a team's debt.
func maxDebt(c config.Team) float64 {
	return max(maxDebtBursts*float64(c.Burst), maxDebtExcess*excess(c))
}

// maxDebtExcess bounds the debt of a team with a small burst, in units of excess.
const maxDebtExcess = 3.0

// startLevel returns the level of a process that does not know what was admitted before.
func startLevel(c config.Team) float64 {
	return min(initialBurstFraction*float64(c.Burst), initialExcessFraction*excess(c))
}

// fresh reports whether this instance has been told the counts of the others for less than
// the window of the platform's bound. In the first start of a fleet, there are none to know
// of. The caller holds mu.
func (l *Limiter) fresh(now time.Duration) bool {
	since := l.resumedAt
	if now-l.filledAt >= maxCountGap {
		since = now
	}
	if l.startFull && since-l.createdAt < startTime {
		return false
	}
	return (now - since).Seconds() < boundWindow
}

// available returns the part of the burst that is not reserved for unresponsive instances.
func (t *team) available(c config.Team) float64 { return float64(c.Burst) * (1 - t.reserved) }

// tolerance returns by how much the level may fall below zero before nothing is admitted.
func (t *team) tolerance(c config.Team) float64 {
	fraction := toleranceFraction
	switch {
	case t.fresh:
		fraction = freshToleranceFraction
	case t.overloaded:
		fraction = overloadToleranceFraction
	}
	return fraction * excess(c) * (1 - t.reserved)
}

// speed returns the factor by which the local bucket fills faster or slower than this
// instance's share of the rate.
func (t *team) speed(c config.Team) float64 {
	tolerance := t.tolerance(c)
	full := -fullSpeedFraction * tolerance
	if t.level < full {
		return max(0, (t.level+tolerance)/(full+tolerance))
	}
	return 1
}

// connected reports whether this instance hears from at least half of the others, so that
// of the sides of a partition at most one is connected. For startTime, an instance that
// knows of no other is not connected either. The caller holds mu.
func (l *Limiter) connected(now time.Duration) bool {
	heard := 0
	for _, p := range l.peers {
		if now-p.lastReceived < silentTimeout {
			heard++
		}
	}
	others := len(l.peers)
	if now-l.createdAt < startTime {
		others = max(others, l.serving()-1, 1)
	}
	return 2*heard >= others
}

// granted reports whether the next request is within the part of the level that this
// instance may spend before the others know of it. The parts of all instances that are not
// connected add up to the level. The caller holds mu.
func (l *Limiter) granted(t *team, teamConfig config.Team, now time.Duration) bool {
	fraction := t.share / max(t.share, 1-t.reserved)
	if !t.overloaded && l.connected(now) {
		fraction = max(fraction, minGrant)
	}
	recently := float64(t.admitted - t.sampleAt(now-silentTimeout).admitted)
	return recently+1 <= fraction*(t.level+recently+t.tolerance(teamConfig))
}

// levelSample is the state of a team at a time since boot.
type levelSample struct {
	at                 time.Duration
	admitted, received uint64
	level              float64
	// stated is the demand in the last heartbeat.
	stated float64
}

// sampleAt returns the newest sample that is not younger than a time since boot, or the
// oldest one.
func (t *team) sampleAt(at time.Duration) levelSample {
	for i := len(t.samples) - 1; i > 0; i-- {
		if t.samples[i].at <= at {
			return t.samples[i]
		}
	}
	return t.samples[0]
}

// recentDemand returns the number of requests received in the last reportWindow.
func (t *team) recentDemand(now time.Duration) float64 {
	return float64(t.received - t.sampleAt(now-reportWindow).received)
}

// count adds a request to the last sample, which stands for sampleInterval.
func (t *team) count() {
	last := &t.samples[len(t.samples)-1]
	last.admitted, last.received = t.admitted, t.received
}

// sample keeps a sample of the level and drops those that are no longer needed.
func (t *team) sample(now time.Duration) {
	t.samples = append(t.samples, levelSample{now, t.admitted, t.received, t.level, t.demand})
	for len(t.samples) > 1 && now-t.samples[1].at > 2*unresponsiveTimeout {
		t.samples = t.samples[1:]
	}
}

// updateShare computes this instance's share of a team's rate. The caller holds mu.
func (l *Limiter) updateShare(t *team, teamConfig config.Team, now time.Duration) {
	connected := l.connected(now)
	if now-l.createdAt < startTime && !connected {
		t.share = 1 / max(l.instanceCount(), startInstances)
		return
	}
	t.fresh = l.fresh(now)
	total, unreported := t.recentDemand(now), !connected
	demand := t.demand
	switch {
	case connected:
		t.known = t.sampleAt(now - silentTimeout).stated
	case l.reserving(now):
		demand = t.known
	}
	unknown := l.instanceCount() - 1 - float64(len(l.peers))
	t.share = allowance.Share(demand, func(yield func(allowance.Party) bool) {
		for ; unknown >= 1; unknown-- {
			if !yield(allowance.Party{Reserved: true, Share: l.shareOf(t, nil)}) {
				return
			}
		}
		for name, p := range l.peers {
			c := t.peers[name]
			party := allowance.Party{Reserved: now-p.lastReceived >= silentTimeout}
			if c != nil {
				party.Demand = c.demand
				total += c.demand
				party.Reserved = party.Reserved || c.even
				unreported = unreported || c.even
			}
			if party.Reserved {
				party.Share = l.shareOf(t, c)
			}
			if !yield(party) {
				return
			}
		}
	})
	// The demand on the other side of a partition and at builds that do not report it is not
	// known, so that an overload could go unnoticed.
	window := reportWindow.Seconds()
	t.overloaded = unreported || total > overloadFactor*teamConfig.RatePerSecond*window+overloadBursts*float64(teamConfig.Burst)
}

// reserving reports whether some peer is silent and no share is reserved for it yet. The
// caller holds mu.
func (l *Limiter) reserving(now time.Duration) bool {
	for _, p := range l.peers {
		if !p.unresponsive && now-p.lastReceived >= silentTimeout {
			return true
		}
	}
	return false
}

// shareOf returns the share of the rate that a peer takes as far as the last reports tell;
// nil stands for a peer without one. The caller holds mu.
func (l *Limiter) shareOf(t *team, c *peerCount) float64 {
	total, demand, stated := t.known, 0.0, 0.0
	for _, other := range t.peers {
		total += other.demand
	}
	switch {
	case c == nil:
	case c.reserved > 0:
		return c.reserved
	case c.even:
		return 1 / l.instanceCount()
	default:
		demand, stated = c.demand, c.share
	}
	return max(stated, allowance.ShareOf(demand, total, l.instanceCount()))
}

// shareUnit is the unit of a share in a heartbeat.
const shareUnit = 1e-4

// encodeShare returns a share as it is sent: 0 is from a build that divides evenly.
func encodeShare(share float64) uint32 { return uint32(share/shareUnit+0.5) + 1 }

// setDemand records what the peer reported on its demand and its share.
func (c *peerCount) setDemand(use *peerpb.TeamUse) {
	c.even = use.Share == 0
	c.demand, c.share = float64(use.Demand), float64(max(use.Share, 1)-1)*shareUnit
}
