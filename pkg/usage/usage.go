// Package usage keeps each team within its rate and burst over all serving
// instances. Every instance counts what it admits and tells the others; each
// then keeps the same token bucket from all counts. Between two messages it
// assumes that the others go on at their last rate, and corrects itself with
// the next message. An instance that falls silent is charged an equal share of
// the rate, so that both sides of a cut stay within it.
package usage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// quietAfter is the silence after which a peer's last rate no longer counts:
	// two lost heartbeats between zones.
	quietAfter = 1300 * time.Millisecond
	// forgetAfter is the silence after which a peer counts as ended, if most
	// others are heard. Cuts of the platform last up to 12 s; a longer one is
	// covered by the excess that the platform allows.
	forgetAfter = 12 * time.Second
	// forgetCutAfter is the same when most others are silent: this instance may
	// be the one that is cut off, and the others may still admit.
	forgetCutAfter = 30 * time.Second
	// sharedPart is the part of the burst that is admitted by whoever needs it.
	// Below it, each instance keeps to its equal share of the rate, because the
	// counts of the others are up to one heartbeat old.
	sharedPart = 0.6
	// shareDepth is the least depth of an equal share in tokens, shareTime the
	// time in which a deeper one fills.
	shareDepth = 1.0
	shareTime  = 150 * time.Millisecond
	// debtPace is the part of the share that is admitted while more was
	// admitted than the team had.
	debtPace = 0.5
	// maxDebt bounds the debt of a team in bursts, so that it returns in time
	// after it has stopped sending too much. A smaller one forgives what many
	// instances admitted at once.
	maxDebt = 3
	// startLevel is the part of the burst that a new process holds: the counts
	// from before its start are not known. It is above sharedPart, so that teams
	// within their rate are not refused after a start of all.
	startLevel = 0.75
	// recent is the age up to which a changed count is repeated in heartbeats,
	// in case one is lost: two heartbeats between zones.
	recent = 1100 * time.Millisecond
	// rateSmoothing weighs the newest interval in a peer's rate.
	rateSmoothing = 0.5
)

// Limiter implements proxy.Limiter and fleet.Exchange. It is safe for
// concurrent use.
type Limiter struct {
	clock  clock.Clock
	viewer control.Viewer
	// serving returns the number of serving instances, this one included.
	serving func() int
	// full says that a new process may hold a whole burst: the fleet is new.
	full bool

	mu    sync.Mutex
	teams map[string]*team
	peers map[string]*peer
}

// team is the bucket of one team. level may be negative: the others admitted
// more than was assumed.
type team struct {
	level float64
	// share is this instance's own part of the rate, for when level is low.
	share    float64
	updated  time.Duration
	admitted uint64
	changed  time.Duration
	// told holds what was last told in heartbeats, oldest first.
	told     []mark
	lastTold mark
	peers    map[string]*count
	// pace is the sum of the paces of peers.
	pace float64
}

// count is what one peer said about a team.
type count struct {
	admitted uint64
	at       time.Duration
	// pace is what the peer is assumed to admit per second since the time since;
	// assumed is what was taken from the level before that for it.
	pace, assumed float64
	since         time.Duration
}

// taken is what was taken from the level for the peer since its last message.
func (c *count) taken(now time.Duration) float64 {
	return c.assumed + c.pace*(now-c.since).Seconds()
}

// setPace changes what a peer is assumed to admit from now on. The level must
// be up to date.
func (t *team) setPace(c *count, pace float64, now time.Duration) {
	c.assumed, c.since = c.taken(now), now
	t.pace += pace - c.pace
	c.pace = pace
}

type peer struct {
	incarnation uint64
	heard       time.Duration
	// quiet is set while the peer is silent.
	quiet bool
}

// New returns a limiter. full says that the whole fleet starts for the first time.
func New(c clock.Clock, viewer control.Viewer, serving func() int, full bool) *Limiter {
	return &Limiter{
		clock: c, viewer: viewer, serving: serving, full: full, teams: map[string]*team{}, peers: map[string]*peer{},
	}
}

// Take spends one token of the team without waiting. Errors are
// *refusal.Refusal (rate_exceeded) with the time until the next token.
func (l *Limiter) Take(_ context.Context, name string) error {
	terms, ok := l.viewer.View().Config.Config.Teams[name]
	if !ok || terms.Unlimited {
		return nil
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteQuiet(now)
	t := l.team(name, terms, now)
	l.refill(t, terms, now)
	switch {
	case t.level >= max(1, sharedPart*float64(terms.Burst)):
	case t.share >= 1:
		t.share--
	default:
		return &refusal.Refusal{Kind: refusal.RateExceeded, RetryAfter: l.wait(t, terms), Cause: l.exceeded(t, terms)}
	}
	t.level--
	t.admitted++
	t.changed = now
	return nil
}

// ExceededError says how the limit of a team stood when a request was refused.
type ExceededError struct {
	// Rate is in requests per second, Level in tokens; below half of Burst an
	// instance admits only its Share.
	Rate, Level, Share float64
	Burst              int
	// Holders is the number of instances that may admit, Quiet of them are silent.
	Holders, Quiet int
}

// Error names the figures.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("level %.1f of burst %d, share %.1f, rate %g/s over %d instances, %d of them silent",
		e.Level, e.Burst, e.Share, e.Rate, e.Holders, e.Quiet)
}

// exceeded describes a team's limit. The caller holds mu.
func (l *Limiter) exceeded(t *team, terms config.Team) error {
	e := &ExceededError{
		Rate: terms.RatePerSecond, Level: t.level, Share: t.share, Burst: terms.Burst, Holders: int(l.holders()),
	}
	for _, p := range l.peers {
		if p.quiet {
			e.Quiet++
		}
	}
	return e
}

// Level returns the tokens of a team, for dumps.
func (l *Limiter) Level(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[name]; t != nil {
		return t.level
	}
	return 0
}

// minimumWait bounds Retry-After from below, so that refused callers do not
// return at once.
const minimumWait = 100 * time.Millisecond

// minimumPace bounds the wait for a token of a slow team, in tokens per second.
const minimumPace = 0.1

// holders is the number of instances that may admit. The caller holds mu.
func (l *Limiter) holders() float64 { return float64(max(1, l.serving(), len(l.peers)+1)) }

func (l *Limiter) wait(t *team, terms config.Team) time.Duration {
	pace := max(terms.RatePerSecond/l.holders(), minimumPace)
	return max(minimumWait, time.Duration((1-t.share)/pace*float64(time.Second)))
}

func (l *Limiter) team(name string, terms config.Team, now time.Duration) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{level: float64(terms.Burst), updated: now, peers: map[string]*count{}}
		t.share = max(shareDepth, terms.RatePerSecond/l.holders()*shareTime.Seconds())
		if !l.full {
			t.level *= startLevel
		}
		l.teams[name] = t
	}
	return t
}

// refill adds what the team earned since the last look and takes what the
// others are assumed to have admitted.
func (l *Limiter) refill(t *team, terms config.Team, now time.Duration) {
	elapsed := (now - t.updated).Seconds()
	t.updated = now
	t.level += elapsed * terms.RatePerSecond
	share := terms.RatePerSecond / l.holders()
	own := share
	if t.level < 0 {
		own *= debtPace
	}
	t.share = min(t.share+own*elapsed, max(shareDepth, share*shareTime.Seconds()))
	t.level -= t.pace * elapsed
	t.level = min(t.level, float64(terms.Burst))
	t.level = max(t.level, -maxDebt*float64(terms.Burst))
}
