package placement

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// rateLimit is the request rate that a target accepts from all instances together, as
// last stated by the target. The zero value is that of a target that never stated one.
type rateLimit struct {
	limited   bool
	perSecond float64
	// statedAt is the time since boot at which the statement arrived at the instance
	// that got it.
	statedAt time.Duration
}

// state applies a statement of the target that arrived at the given time. It reports
// whether that changed the limit; an older statement than the last one does not.
func (l *rateLimit) state(limited bool, perSecond float64, at time.Duration) (changed bool) {
	if at < l.statedAt {
		return false
	}
	changed = limited != l.limited || perSecond != l.perSecond
	*l = rateLimit{limited: limited, perSecond: perSecond, statedAt: at}
	return changed
}

// observeRateLimit applies what a response of the target stated about its rate. The
// caller holds the service's mutex.
func (b *Balancer) observeRateLimit(s *service, t *target, stated proxy.RateLimit, now time.Duration) {
	if stated.Known && t.limit.state(stated.Limited, stated.PerSecond, now) {
		b.logRateLimit(s, t, "target")
	}
}

// logRateLimit logs that the limit of a target has changed. from is who stated it.
func (b *Balancer) logRateLimit(s *service, t *target, from string) {
	change := event.TargetLimitEnded
	if t.limit.limited {
		change = event.TargetLimitNamed
	}
	change.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Str("from", from).
		Float64("per_second", t.limit.perSecond).Bool("home", t.preferred).Send()
}
