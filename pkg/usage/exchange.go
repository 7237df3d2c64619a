package usage

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// countSample is a count of admitted requests at a time since boot.
type countSample struct {
	at       time.Duration
	admitted uint64
}

// report returns the counts, and how much of them is recent, for a heartbeat, and records
// them as sent.
func (l *Limiter) report(t *team, name string, teamConfig config.Team, now time.Duration) *peerpb.TeamUse {
	// The baseline is the newest report that is older than reportWindow: heartbeats to the
	// own zone and to others are sent at different times, and each must name all that was
	// admitted in the window.
	for len(t.reported) > 1 && now-t.reported[1].at >= reportWindow {
		t.reported = t.reported[1:]
	}
	var before countSample
	if len(t.reported) > 0 && now-t.reported[0].at >= reportWindow {
		before = t.reported[0]
	}
	t.reported = append(t.reported, countSample{now, t.admitted})
	t.demand = t.recentDemand(now)
	l.updateShare(t, teamConfig, now)
	return &peerpb.TeamUse{
		Team: name, Admitted: t.admitted, Lately: uint32(t.admitted - before.admitted),
		Demand: uint32(t.demand), Share: encodeShare(t.share),
	}
}

// Fill adds the counts of the teams with demand within the last reportWindow.
func (l *Limiter) Fill(h *peerpb.Heartbeat, to fleet.Audience) {
	if !to.Serving() {
		return
	}
	now := l.clock.SinceBoot()
	teamConfigs := l.viewer.View().Config.Config.Teams
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.filledAt >= maxCountGap {
		l.resumedAt = now
	}
	l.filledAt = now
	for name, t := range l.teams {
		if t.received > 0 && now-t.lastReceived < reportWindow {
			h.Teams = append(h.Teams, l.report(t, name, teamConfigs[name], now))
		} else {
			t.demand = 0
		}
	}
}

// Merge applies the counts of an instance that admits requests.
func (l *Limiter) Merge(from string, h *peerpb.Heartbeat) {
	now := l.clock.SinceBoot()
	teams := l.viewer.View().Config.Config.Teams
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[from]
	if p == nil || p.incarnation != h.Incarnation {
		p = &peer{incarnation: h.Incarnation}
		l.peers[from] = p
		l.forgetCounts(from, now)
	}
	if p.unresponsive {
		l.release(from, h)
	}
	p.lastReceived, p.unresponsive = now, false
	l.chargeUnresponsive(now)
	reported := map[string]bool{}
	for _, use := range h.Teams {
		teamConfig, ok := teams[use.Team]
		if !ok || teamConfig.Unlimited {
			continue
		}
		reported[use.Team] = true
		t := l.team(use.Team, teamConfig, now)
		l.refill(t, teamConfig, now)
		l.applyCount(t, teamConfig, from, use, now)
		t.peers[from].setDemand(use)
	}
	for name, t := range l.teams {
		if c := t.peers[from]; c != nil && !reported[name] {
			c.demand, c.share = 0, 0
		}
		if c := t.peers[from]; c != nil && !reported[name] && c.assumedRate > 0 {
			l.refill(t, teams[name], now)
			t.correct(c, c.admitted, now)
			c.chargedAt = 0
		}
	}
	if h.Leaving || (!h.Serving && len(h.Teams) == 0) {
		l.forget(from, now)
	}
	l.forgetUnresponsive(now)
}

// applyCount corrects the level by what a peer really admitted. The level must be
// up to date. For a peer that is new to the team, only what it admitted recently
// counts.
func (l *Limiter) applyCount(t *team, teamConfig config.Team, from string, use *peerpb.TeamUse, now time.Duration) {
	c, recently := t.peers[from], float64(use.Lately)
	if c != nil && l.missedCounts(c, use, now) {
		// How the tokens of that time were spent is not known. What the peers admitted
		// recently was spent from what came in meanwhile.
		if t.estimatedAt == 0 || now-t.estimatedAt >= maxCountGap {
			t.level, t.estimatedAt = min(t.level, startLevel(teamConfig)), now
		}
		t.level -= recently - teamConfig.RatePerSecond*reportWindow.Seconds()/l.instanceCount()
		t.setAssumedRate(c, 0, now)
	} else if c != nil {
		t.correct(c, use.Admitted, now)
		c.countedAt, c.chargedAt = now, 0
		return
	} else {
		t.level -= recently
		if use.Admitted > uint64(use.Lately) {
			// The peer has run for longer: what came in meanwhile was spent, too.
			t.level = min(t.level+teamConfig.RatePerSecond*reportWindow.Seconds()/l.instanceCount(), float64(teamConfig.Burst))
		}
	}
	t.peers[from] = &peerCount{admitted: use.Admitted, receivedAt: now, countedAt: now, rateSince: now}
	t.setAssumedRate(t.peers[from], recently/reportWindow.Seconds(), now)
}

// missedCounts reports whether a peer has admitted requests of which this instance was not
// told although the peer's heartbeats arrived: standbys are told no counts, and send none.
func (l *Limiter) missedCounts(c *peerCount, use *peerpb.TeamUse, now time.Duration) bool {
	if c.countedAt >= l.resumedAt && now-l.filledAt < maxCountGap {
		return false
	}
	responsiveUntil := now
	if c.chargedAt > 0 {
		responsiveUntil = c.chargedAt
	}
	return responsiveUntil-c.countedAt >= maxCountGap && use.Admitted > c.admitted+uint64(use.Lately)
}

// correct replaces what a peer was assumed to have admitted since its last heartbeat by
// what it did.
func (t *team) correct(c *peerCount, admitted uint64, now time.Duration) {
	assumedRate := c.assumedRate
	if elapsed := (now - c.receivedAt).Seconds(); elapsed > 0 && admitted >= c.admitted {
		delta := float64(admitted - c.admitted)
		t.level -= delta - c.deducted(now)
		assumedRate += rateSmoothingWeight * (delta/elapsed - assumedRate)
		if delta == 0 && assumedRate < minAssumedRate {
			assumedRate = 0
		}
	}
	t.setAssumedRate(c, assumedRate, now)
	c.admitted, c.deductedBefore, c.receivedAt = admitted, 0, now
}

// minAssumedRate is the rate in requests per second below which a peer that
// admitted nothing since its last report is assumed to admit nothing.
const minAssumedRate = 0.05

// forgetUnresponsive drops peers that have been unresponsive for forgetTimeout. If
// most peers are unresponsive, this instance may be the one that is cut off, and
// they are dropped only after partitionForgetTimeout.
func (l *Limiter) forgetUnresponsive(now time.Duration) {
	var unresponsive []string
	for name, p := range l.peers {
		if now-p.lastReceived >= forgetTimeout {
			unresponsive = append(unresponsive, name)
		}
	}
	mayBePartitioned := 2*len(unresponsive) > len(l.peers)
	for _, name := range unresponsive {
		if !mayBePartitioned || now-l.peers[name].lastReceived >= partitionForgetTimeout {
			l.forget(name, now)
		}
	}
}

// chargeUnresponsive reserves the share of each peer that has become unresponsive: it
// deducts that share of the tokens and assumes that the peer goes on spending its share of
// the rate. On the other side of a network partition, it does.
func (l *Limiter) chargeUnresponsive(now time.Duration) {
	teamConfigs := l.viewer.View().Config.Config.Teams
	for name, p := range l.peers {
		if p.unresponsive || now-p.lastReceived < unresponsiveTimeout {
			continue
		}
		p.unresponsive = true
		for id, t := range l.teams {
			l.refill(t, teamConfigs[id], now)
			c := t.peers[name]
			if c == nil {
				c = &peerCount{receivedAt: now, rateSince: now}
				t.peers[name] = c
			}
			share := min(l.shareOf(t, c), 1-t.reserved)
			// What this side has spent since the last heartbeat came out of its own part.
			charged := max(0, t.sampleAt(p.lastReceived).level) * share
			t.level -= charged
			c.reserved, c.charged = share, charged
			t.reserved += share
			// Tokens that many instances have saved one by one would exceed the burst.
			t.localTokens = min(t.localTokens, max(t.level+t.tolerance(teamConfigs[id]), 0))
			c.chargedAt = now
			t.setAssumedRate(c, teamConfigs[id].RatePerSecond*share, now)
		}
	}
}

// release ends the reservation for a peer that is responsive again. What it spent of its
// part of the level in the last reportWindow stays deducted.
func (l *Limiter) release(name string, h *peerpb.Heartbeat) {
	teamConfigs := l.viewer.View().Config.Config.Teams
	lately := map[string]float64{}
	for _, use := range h.Teams {
		lately[use.Team] = float64(use.Lately)
	}
	for id, t := range l.teams {
		c := t.peers[name]
		if c == nil || c.reserved == 0 {
			continue
		}
		spent := max(0, lately[id]-teamConfigs[id].RatePerSecond*c.reserved*reportWindow.Seconds())
		t.reserved = max(0, t.reserved-c.reserved)
		t.level += max(0, c.charged-spent)
		c.reserved, c.charged = 0, 0
	}
}

// forget drops a peer and its counts.
func (l *Limiter) forget(name string, now time.Duration) {
	l.forgetCounts(name, now)
	delete(l.peers, name)
}

// forgetCounts drops the counts that a peer reported.
func (l *Limiter) forgetCounts(name string, now time.Duration) {
	teamConfigs := l.viewer.View().Config.Config.Teams
	for id, t := range l.teams {
		if c := t.peers[name]; c != nil {
			l.refill(t, teamConfigs[id], now)
			t.setAssumedRate(c, 0, now)
			t.reserved = max(0, t.reserved-c.reserved)
			delete(t.peers, name)
		}
	}
}
