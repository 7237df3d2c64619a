package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// warmReportTime is how long heartbeats tell that a target has become warm. Each is told
	// several times in it.
	warmReportTime = 2 * time.Second
	// minToldUnreachable is the time since an instance has not reached a target from which on
	// others believe it. They have had a response of the target since, if they reach it and use it.
	minToldUnreachable = 500 * time.Millisecond
	// maxColdReported bounds the cold targets in one heartbeat: about 700 bytes, so that it
	// mostly fits into a datagram. If there are more, each heartbeat has others.
	maxColdReported = 24
)

// listingTimes tells when the entries of targets were written, from the listings in which
// their versions were first seen. It is safe for concurrent use.
type listingTimes struct {
	mu sync.Mutex
	// requestedAt is the time since boot at which the last listing was requested, in the era
	// of the store.
	requestedAt time.Duration
	era         int64
	entries     map[string]entryTime
}

type entryTime struct {
	version              int64
	writtenSince, readAt time.Duration
}

// observe applies a listing that was requested and read at two times since boot.
func (l *listingTimes) observe(listed discovery.Listed, requestedAt, readAt time.Duration) map[string]entryTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	writtenSince := l.requestedAt
	if l.entries == nil || l.era != listed.Era {
		// A store that was restored from a copy lists entries that were written long ago.
		writtenSince, l.entries = never, nil
	}
	next := make(map[string]entryTime, len(listed.RowVersions))
	for id, version := range listed.RowVersions {
		if e, ok := l.entries[id]; ok && e.version == version {
			next[id] = e
		} else {
			next[id] = entryTime{version, writtenSince, readAt}
		}
	}
	l.requestedAt, l.era, l.entries = requestedAt, listed.Era, next
	return next
}

// ObserveListing applies what a listing that this instance has read from the store states of
// the warm-up of targets. The catalogue must have been updated with it.
func (b *Balancer) ObserveListing(listed discovery.Listed, requestedAt, readAt time.Duration) {
	times := b.listings.observe(listed, requestedAt, readAt)
	byService := map[string][]discovery.Target{}
	for _, t := range listed.Targets {
		byService[t.Service] = append(byService[t.Service], t)
	}
	learned := false
	for _, s := range b.allServices() {
		s.mu.Lock()
		if s.coldRate.PerSecond > 0 {
			now := b.clock.SinceBoot()
			b.update(s, now)
			for _, l := range byService[s.name] {
				if t := s.targets[l.ID]; t != nil && runOf(t.entry) == (targetRun{l.ID, l.Address, l.Started}) {
					e := times[l.ID]
					learned = t.cold.stated(listingStatement{l.WarmupLeft, e.writtenSince, e.readAt}, now) || learned
				}
			}
		}
		s.mu.Unlock()
	}
	if learned && b.OnCold != nil {
		b.OnCold()
	}
}

// fillCold adds the targets that this instance knows by itself to be cold, and those of which
// it has read that they have become warm. Standbys get their listing from any serving instance,
// so that they are told what this one was told, too.
func (b *Balancer) fillCold(h *peerpb.Heartbeat, to fleet.Audience, now time.Duration) {
	var reported []*peerpb.ColdTarget
	for _, s := range b.allServices() {
		s.mu.Lock()
		if s.coldRate.PerSecond > 0 {
			for _, t := range s.ordered {
				if m := t.cold.message(to == fleet.Standbys, now); m != nil {
					m.Target, m.Started = t.entry.ID, t.entry.Started
					reported = append(reported, m)
				}
			}
		}
		s.mu.Unlock()
	}
	if len(reported) > maxColdReported {
		rand.Shuffle(len(reported), func(i, j int) { reported[i], reported[j] = reported[j], reported[i] })
		reported = reported[:maxColdReported]
	}
	h.ColdTargets = reported
}

// message returns what heartbeats tell of the target, without its name; nil if they do not.
// passOn says that they also tell what this instance was told.
func (c *coldLimit) message(passOn bool, now time.Duration) *peerpb.ColdTarget {
	switch {
	case c.PerSecond > 0 && now < c.listedUntil && c.statedWarmAt < c.listedAt:
		return &peerpb.ColdTarget{LeftMs: millis(c.listedUntil - now), AgeMs: millis(now - c.listedAt)}
	case !c.cold(now):
		if c.warmAt > 0 && now-c.warmAt < warmReportTime && (c.ownWarm || passOn) {
			return &peerpb.ColdTarget{AgeMs: millis(now - c.statedWarmAt)}
		}
		return nil
	case !c.own && !passOn:
		return nil
	case c.unreachable:
		return &peerpb.ColdTarget{LeftMs: millis(c.Warmup), AgeMs: millis(now - c.beganAt), Unreachable: true}
	}
	left := c.until - confirmWait - now
	if left <= 0 {
		return nil // others wait for a listing as this instance does
	}
	m := &peerpb.ColdTarget{LeftMs: millis(left), AgeMs: millis(now - c.beganAt)}
	if c.reachedAgainAt > 0 {
		age := millis(now - c.reachedAgainAt)
		m.ReachedAgeMs = &age
	}
	return m
}

// millis returns a time in ms, rounded up, within the range of the messages.
func millis(d time.Duration) uint32 {
	return uint32((min(max(d, 0), maxStatedWarmup) + time.Millisecond - 1).Milliseconds())
}

// mergeCold applies the cold targets in another instance's heartbeat. The caller holds mu.
func (s *service) mergeCold(from string, told []*peerpb.ColdTarget, now time.Duration) {
	for _, m := range told {
		if t := s.targets[m.Target]; t != nil && t.entry.Started == m.Started {
			t.cold.told(from, m, now)
		}
	}
}

// told applies what another instance tells of the target.
func (c *coldLimit) told(from string, m *peerpb.ColdTarget, now time.Duration) {
	if c.PerSecond == 0 {
		return
	}
	age := func(ms uint32) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	if m.LeftMs == 0 {
		c.statedWarm(age(m.AgeMs)-heartbeatMargin, false, now)
		return
	}
	beganAt := age(m.AgeMs)
	confirmAt := beganAt
	switch {
	case m.Unreachable:
		// Only the other instance may be cut off. One with requests at the target knows then.
		if now-beganAt < minToldUnreachable || c.lastReachedAt > beganAt {
			return
		}
		confirmAt = now
	case m.ReachedAgeMs != nil:
		confirmAt = age(*m.ReachedAgeMs)
		if c.lastReachedAt > beganAt && c.lastReachedAt < confirmAt-heartbeatMargin {
			return // it was reached from here meanwhile
		}
	}
	if c.statedWarmAt >= confirmAt {
		return
	}
	until := now + min(time.Duration(m.LeftMs)*time.Millisecond, maxStatedWarmup) + confirmWait
	if until-c.until < heartbeatMargin {
		// Known already. Instances that told each other of the delay of a heartbeat would
		// extend the warm-up each time.
		until = 0
	}
	c.begin(from, false, until, now)
	c.confirmAt = max(c.confirmAt, confirmAt)
	if m.ReachedAgeMs != nil && confirmAt > c.lastLostAt {
		// If this instance still does not reach it, its next connection tells.
		c.unreachable = false
	}
}
