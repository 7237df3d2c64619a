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

// report returns the count, and how much of it was admitted recently, for a
// heartbeat, and records it as sent.
func (t *team) report(name string, now time.Duration) *peerpb.TeamUse {
	for len(t.reported) > 0 && now-t.reported[0].at > reportWindow {
		t.reported = t.reported[1:]
	}
	before := uint64(0)
	switch {
	case len(t.reported) > 0:
		before = t.reported[0].admitted
	case t.lastReported.at > 0:
		before = t.lastReported.admitted
	}
	t.lastReported = countSample{now, t.admitted}
	t.reported = append(t.reported, t.lastReported)
	return &peerpb.TeamUse{Team: name, Admitted: t.admitted, Lately: uint32(t.admitted - before)}
}

// Fill adds the counts that changed within the last reportWindow.
func (l *Limiter) Fill(h *peerpb.Heartbeat, to fleet.Audience) {
	if !to.Serving() {
		return
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.teams {
		if t.admitted > 0 && now-t.lastAdmitted < reportWindow {
			h.Teams = append(h.Teams, t.report(name, now))
		}
	}
}

// Merge applies the counts of an instance that admits requests.
func (l *Limiter) Merge(from string, h *peerpb.Heartbeat) {
	now := l.clock.SinceBoot()
	teams := l.viewer.View().Config.Config.Teams
	l.mu.Lock()
	defer l.mu.Unlock()
	p, admits := l.peers[from], h.Serving || len(h.Teams) > 0
	if p == nil && !admits {
		l.chargeUnresponsive(now)
		l.forgetUnresponsive(now)
		return
	}
	if p == nil || p.incarnation != h.Incarnation {
		if p != nil {
			l.forgetCounts(from, now)
		}
		p = &peer{incarnation: h.Incarnation}
		l.peers[from] = p
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
	}
	for name, t := range l.teams {
		if c := t.peers[from]; c != nil && !reported[name] && c.assumedRate > 0 {
			l.refill(t, teams[name], now)
			t.correct(c, c.admitted, now)
			c.chargedAt = 0
		}
	}
	if h.Leaving || !admits {
		l.forget(from, now)
	}
	l.forgetUnresponsive(now)
}

// applyCount corrects the level by what a peer really admitted. The level must be
// up to date. For a peer that is new to the team, only what it admitted recently
// counts.
func (l *Limiter) applyCount(t *team, teamConfig config.Team, from string, use *peerpb.TeamUse, now time.Duration) {
	c, recently := t.peers[from], float64(use.Lately)
	if c != nil && t.missedCounts(c, use, now) {
		// How the tokens of that time were spent is not known. What the peers admitted
		// recently was spent from what came in meanwhile.
		if t.estimatedAt == 0 || now-t.estimatedAt >= maxCountGap {
			t.level, t.estimatedAt = min(t.level, initialBurstFraction*float64(teamConfig.Burst)), now
		}
		t.level -= recently - teamConfig.RatePerSecond*reportWindow.Seconds()/l.instanceCount()
		t.setAssumedRate(c, 0, now)
	} else if c != nil {
		t.correct(c, use.Admitted, now)
		c.countedAt, c.chargedAt = now, 0
		return
	} else {
		t.level -= recently
	}
	t.peers[from] = &peerCount{admitted: use.Admitted, receivedAt: now, countedAt: now, rateSince: now}
	t.setAssumedRate(t.peers[from], recently/reportWindow.Seconds(), now)
}

// missedCounts reports whether a peer has admitted requests of which this instance was not
// told although the peer's heartbeats arrived: standbys are told no counts.
func (t *team) missedCounts(c *peerCount, use *peerpb.TeamUse, now time.Duration) bool {
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

// chargeUnresponsive deducts an equal fraction of the tokens for each peer that
// has become unresponsive, and assumes that the peer goes on spending an equal
// fraction of the rate: on the other side of a network partition, it does.
func (l *Limiter) chargeUnresponsive(now time.Duration) {
	teamConfigs := l.viewer.View().Config.Config.Teams
	for name, p := range l.peers {
		if p.unresponsive || now-p.lastReceived < unresponsiveTimeout {
			continue
		}
		p.unresponsive = true
		for id, t := range l.teams {
			l.refill(t, teamConfigs[id], now)
			t.level -= max(0, t.level) / l.instanceCount()
			c := t.peers[name]
			if c == nil {
				c = &peerCount{receivedAt: now, rateSince: now}
				t.peers[name] = c
			}
			c.chargedAt = now
			t.setAssumedRate(c, teamConfigs[id].RatePerSecond/l.instanceCount(), now)
		}
	}
}

// forget drops a peer and its counts.
func (l *Limiter) forget(name string, now time.Duration) {
	delete(l.peers, name)
	l.forgetCounts(name, now)
}

// forgetCounts drops the counts that a peer reported.
func (l *Limiter) forgetCounts(name string, now time.Duration) {
	teamConfigs := l.viewer.View().Config.Config.Teams
	for id, t := range l.teams {
		if c := t.peers[name]; c != nil {
			l.refill(t, teamConfigs[id], now)
			t.setAssumedRate(c, 0, now)
			delete(t.peers, name)
		}
	}
}
