package placement

import (
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// leavingReportTime is how long heartbeats tell that a target has said to this instance
	// that it leaves. Each is told several times in it, and to instances that start.
	leavingReportTime = 10 * time.Second
	// maxLeavingReported bounds the leaving targets of a service in one heartbeat.
	maxLeavingReported = 16
)

// leaving records that a target says that it leaves. It belongs to one run of the target's
// process and ends with it: responses may arrive in another order than they were written, so
// one without the statement does not take it back.
type leaving struct {
	announced bool
	// ownAt is the time since boot at which a response to this instance said so first; 0 if
	// none has.
	ownAt time.Duration
}

// observeStatements applies what a response of the target says of itself. The caller holds
// the service's mutex.
func (b *Balancer) observeStatements(s *service, t *target, load proxy.Load, now time.Duration) {
	b.observeRateLimit(s, t, load.RateLimit, now)
	if load.Draining {
		if t.leaving.ownAt == 0 {
			t.leaving.ownAt = now
		}
		b.setLeaving(s, t, "target")
	}
	b.observePause(s, t, load.Pause, now)
}

// observePause applies the pause that a rejection of the target asks for. The one that ends
// last holds: each rejection asks for its own, and a shorter one does not take another back.
// Other instances do not learn of it: the target has turned only this one away, and its
// failures and named rate tell them what holds for all.
func (b *Balancer) observePause(s *service, t *target, asked proxy.Pause, now time.Duration) {
	switch {
	case asked.Unreadable != "":
		event.PauseUnreadable.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Str("value", asked.Unreadable).Send()
	case now+asked.Wait > t.pausedUntil && asked.Wait > 0:
		if now >= t.pausedUntil {
			event.TargetPaused.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Dur("pause", asked.Wait).Send()
		}
		t.pausedUntil = now + asked.Wait
	}
}

// setLeaving records that a target leaves. from is who said so.
func (b *Balancer) setLeaving(s *service, t *target, from string) {
	if t.leaving.announced {
		return
	}
	t.leaving.announced = true
	event.TargetLeaving.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Str("from", from).Send()
	b.closeConnections(t)
}

// closeConnections closes the idle connections to a target that gets no further requests.
func (b *Balancer) closeConnections(t *target) {
	if b.OnUnused != nil {
		b.OnUnused(t.entry.Address)
	}
}

// fillLeaving adds the targets that have said to this instance that they leave. If there are
// too many, each heartbeat has others.
func (s *service) fillLeaving(h *peerpb.Heartbeat, now time.Duration) {
	var reported []*peerpb.LeavingTarget
	for _, t := range s.ordered {
		if t.leaving.ownAt > 0 && now-t.leaving.ownAt < leavingReportTime {
			reported = append(reported, &peerpb.LeavingTarget{Target: t.entry.ID, Address: t.entry.Address, Started: t.entry.Started})
		}
	}
	if len(reported) > maxLeavingReported {
		rand.Shuffle(len(reported), func(i, j int) { reported[i], reported[j] = reported[j], reported[i] })
		reported = reported[:maxLeavingReported]
	}
	h.LeavingTargets = append(h.LeavingTargets, reported...)
}

// mergeLeaving applies the leaving targets in another instance's heartbeat.
func (b *Balancer) mergeLeaving(s *service, from string, told []*peerpb.LeavingTarget) {
	for _, l := range told {
		run := targetRun{l.Target, l.Address, l.Started}
		t := s.targets[l.Target]
		if t == nil || runOf(t.entry) != run {
			t = s.unlisted[run]
		}
		if t != nil {
			b.setLeaving(s, t, from)
		}
	}
}

// inheritStatements applies what a later run of the target's process at the same address has
// stated: a restored store may list an earlier run, which has ended.
func (s *service) inheritStatements(t *target) {
	run := runOf(t.entry)
	inherit := func(other *target) {
		if later := runOf(other.entry); later.id == run.id && later.address == run.address && later.started > run.started {
			t.leaving.announced = t.leaving.announced || other.leaving.announced
			t.pausedUntil = max(t.pausedUntil, other.pausedUntil)
		}
	}
	if listed := s.targets[run.id]; listed != nil {
		inherit(listed)
	}
	for _, other := range s.unlisted {
		inherit(other)
	}
}
