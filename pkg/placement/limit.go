package placement

import (
	"math"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// A target in need names the request rate that it accepts from all instances together.
// Each instance keeps a fixed share of that rate, and the shares add up to the rate, so
// the limit holds without counts that would have to be exchanged and could be late or
// lost. divideRates decides on the shares.
const (
	// limitBurst is the time over which unused allowance adds up.
	limitBurst = time.Second
	// minHolderRate in requests per second goes from the holder to a target that accepts
	// fewer: only a response tells that the limit has ended.
	minHolderRate = 0.2
	// limitReportTime is the time for which the holder passes a statement on to other
	// instances. Others pass theirs on for recentResultAge.
	limitReportTime = 10 * time.Second
)

// limitStatement is one statement of a target about the rate that it accepts.
type limitStatement struct {
	limited   bool
	perSecond float64
	// at is the time since boot at which the statement arrived at the instance that got
	// it; 0 means that there is none.
	at time.Duration
}

// rateLimit is the request rate that a target accepts from all instances together, as
// last stated by the target, and this instance's part of it. The zero value is that of a
// target that never stated one.
type rateLimit struct {
	limitStatement
	// own is the last statement in a response to this instance.
	own limitStatement
	// endedAt is the time since boot of the statement to this instance that ended the
	// last limit.
	endedAt time.Duration

	// share is this instance's share of the rate, holder whether it is the holder.
	share  float64
	holder bool
	// tokens is the number of requests that this instance may send, computed up to
	// updatedAt (time since boot).
	tokens    float64
	updatedAt time.Duration
}

// state applies a statement of the target. It reports whether that changed the limit;
// an older statement than the last one does not.
func (l *rateLimit) state(stated limitStatement, now time.Duration) (changed bool) {
	if stated.at < l.at {
		return false
	}
	l.refill(now)
	if stated.limited && !l.limited {
		l.tokens = 0
	}
	changed = stated.limited != l.limited || stated.perSecond != l.perSecond
	l.limitStatement = stated
	return changed
}

// stateOwn is state for a statement in a response to this instance.
func (l *rateLimit) stateOwn(stated limitStatement, now time.Duration) (changed bool) {
	if l.own.limited && !stated.limited {
		l.endedAt = stated.at
	}
	l.own = stated
	return l.state(stated, now)
}

// assign sets this instance's share of the rate, and whether it is the holder.
func (l *rateLimit) assign(share float64, holder bool, now time.Duration) {
	l.refill(now)
	l.share, l.holder = share, holder
	l.tokens = min(l.tokens, l.maxTokens())
}

// rate returns the requests per second that this instance may send.
func (l *rateLimit) rate() float64 {
	rate := l.perSecond * l.share
	if l.holder {
		rate = max(rate, minHolderRate)
	}
	return rate
}

// maxTokens returns the number of requests that this instance may save up.
func (l *rateLimit) maxTokens() float64 {
	rate := l.rate()
	if rate == 0 {
		return 0
	}
	return max(1, rate*limitBurst.Seconds())
}

// refill updates tokens.
func (l *rateLimit) refill(now time.Duration) {
	if now > l.updatedAt {
		l.tokens = refilled(l.tokens, l.rate(), l.maxTokens(), now-l.updatedAt)
		l.updatedAt = now
	}
}

// refilled returns the tokens of a bucket that is filled at a rate per second for a time.
func refilled(tokens, rate, maxTokens float64, elapsed time.Duration) float64 {
	return min(tokens+rate*elapsed.Seconds(), maxTokens)
}

// exhausted reports whether the limit leaves no request for this instance now.
func (l *rateLimit) exhausted(now time.Duration) bool {
	if !l.limited {
		return false
	}
	l.refill(now)
	return l.tokens < 1
}

// spend counts a request that this instance sends.
func (l *rateLimit) spend(now time.Duration) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

// reported reports whether heartbeats carry this instance's own last statement: while the
// target limits its rate, and for a time after that.
func (l *rateLimit) reported(now time.Duration) bool {
	maxAge := recentResultAge
	if l.holder {
		maxAge = limitReportTime
	}
	if l.own.at == 0 || now-l.own.at >= maxAge {
		return false
	}
	return l.own.limited || (l.endedAt > 0 && now-l.endedAt < limitReportTime)
}

// observeRateLimit applies what a response of the target stated about its rate. The
// caller holds the service's mutex.
func (b *Balancer) observeRateLimit(s *service, t *target, stated proxy.RateLimit, now time.Duration) {
	if stated.Known && t.limit.stateOwn(limitStatement{stated.Limited, stated.PerSecond, now}, now) {
		b.logRateLimit(s, t, "target")
	}
}

// fillRateLimits adds the limits that this instance knows from the targets themselves.
func (s *service) fillRateLimits(h *peerpb.Heartbeat, now time.Duration) {
	for _, t := range s.ordered {
		if t.limit.reported(now) {
			h.RateLimits = append(h.RateLimits, &peerpb.TargetRateLimit{
				Target: t.entry.ID, Limited: t.limit.own.limited, PerSecond: t.limit.own.perSecond,
				AgeMs: uint32((now - t.limit.own.at).Milliseconds()),
			})
		}
	}
}

// mergeRateLimits applies the limits in another instance's heartbeat.
func (b *Balancer) mergeRateLimits(s *service, from string, limits []*peerpb.TargetRateLimit, now time.Duration) {
	for _, l := range limits {
		t := s.targets[l.Target]
		if t == nil || !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
			continue
		}
		stated := limitStatement{l.Limited, l.PerSecond, now - time.Duration(l.AgeMs)*time.Millisecond}
		if t.limit.state(stated, now) {
			b.logRateLimit(s, t, from)
		}
	}
}

// logRateLimit logs that the limit of a target has changed. from is who stated it.
func (b *Balancer) logRateLimit(s *service, t *target, from string) {
	change := event.TargetLimitEnded
	if t.limit.limited {
		change = event.TargetLimitNamed
	}
	change.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Str("from", from).
		Float64("per_second", t.limit.perSecond).Float64("share", t.limit.share).Send()
}
