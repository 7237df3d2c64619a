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
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
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
	sharedPart = 0.4
	// shareDepth is the least depth of an equal share in tokens, shareTime the
	// time in which a deeper one fills.
	shareDepth = 1.0
	shareTime  = 150 * time.Millisecond
	// debtPace is the part of the share that is admitted while more was
	// admitted than the team had.
	debtPace = 0.7
	// startLevel is the part of the burst that a new process holds: the counts
	// from before its start are not known. It is above sharedPart, so that teams
	// within their rate are not refused after a start of all.
	startLevel = 0.6
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

// mark is a count at a time.
type mark struct {
	at       time.Duration
	admitted uint64
}

// tell returns the count and the part of it that came lately, and keeps the count.
func (t *team) tell(name string, now time.Duration) *peerpb.TeamUse {
	for len(t.told) > 0 && now-t.told[0].at > recent {
		t.told = t.told[1:]
	}
	before := uint64(0)
	switch {
	case len(t.told) > 0:
		before = t.told[0].admitted
	case t.lastTold.at > 0:
		before = t.lastTold.admitted
	}
	t.lastTold = mark{now, t.admitted}
	t.told = append(t.told, t.lastTold)
	return &peerpb.TeamUse{Team: name, Admitted: t.admitted, Lately: uint32(t.admitted - before)}
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
	// A debt of one burst is enough to stop a team; more would only delay its return.
	t.level = max(t.level, -float64(terms.Burst))
}

// Fill adds the counts that changed lately.
func (l *Limiter) Fill(h *peerpb.Heartbeat, toServing bool) {
	if !toServing {
		return
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.teams {
		if t.admitted > 0 && now-t.changed < recent {
			h.Teams = append(h.Teams, t.tell(name, now))
		}
	}
}

// Absorb takes the counts of an instance that admits requests.
func (l *Limiter) Absorb(from string, h *peerpb.Heartbeat) {
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
	p.heard, p.quiet = now, false
	l.noteQuiet(now)
	said := map[string]bool{}
	for _, use := range h.Teams {
		terms, ok := teams[use.Team]
		if !ok || terms.Unlimited {
			continue
		}
		said[use.Team] = true
		t := l.team(use.Team, terms, now)
		l.refill(t, terms, now)
		t.absorb(from, use.Admitted, uint64(use.Lately), now)
	}
	for name, t := range l.teams {
		if c := t.peers[from]; c != nil && !said[name] && c.pace > 0 {
			l.refill(t, teams[name], now)
			t.absorb(from, c.admitted, 0, now)
		}
	}
	if h.Leaving || (!h.Serving && len(h.Teams) == 0) {
		l.forget(from, now)
	}
	l.forgetEnded(now)
}

// absorb corrects the level by what a peer really admitted. The level must be
// up to date. Of a peer that is new to the team, only what it admitted lately
// counts.
func (t *team) absorb(from string, admitted, lately uint64, now time.Duration) {
	c := t.peers[from]
	if c == nil {
		t.peers[from] = &count{admitted: admitted, at: now, since: now}
		t.level -= float64(lately)
		t.setPace(t.peers[from], float64(lately)/recent.Seconds(), now)
		return
	}
	pace := c.pace
	if elapsed := (now - c.at).Seconds(); elapsed > 0 && admitted >= c.admitted {
		delta := float64(admitted - c.admitted)
		t.level -= delta - c.taken(now)
		pace += rateSmoothing * (delta/elapsed - pace)
		if delta == 0 && pace < leastPace {
			pace = 0
		}
	}
	t.setPace(c, pace, now)
	c.admitted, c.assumed, c.at = admitted, 0, now
}

// leastPace is the assumed rate in requests per second below which a peer that
// admitted nothing is assumed to admit nothing.
const leastPace = 0.05

// forgetEnded drops peers that were silent for long, unless most are silent:
// then this instance may be the one that is cut off.
func (l *Limiter) forgetEnded(now time.Duration) {
	var silent []string
	for name, p := range l.peers {
		if now-p.heard >= forgetAfter {
			silent = append(silent, name)
		}
	}
	cut := 2*len(silent) > len(l.peers)
	for _, name := range silent {
		if !cut || now-l.peers[name].heard >= forgetCutAfter {
			l.forget(name, now)
		}
	}
}

// noteQuiet takes the share of each peer that has fallen silent out of the
// buckets: behind a cut it spends it by itself.
func (l *Limiter) noteQuiet(now time.Duration) {
	terms := l.viewer.View().Config.Config.Teams
	for name, p := range l.peers {
		if p.quiet || now-p.heard < quietAfter {
			continue
		}
		p.quiet = true
		for id, t := range l.teams {
			l.refill(t, terms[id], now)
			t.level -= max(0, t.level) / l.holders()
			c := t.peers[name]
			if c == nil {
				c = &count{at: now, since: now}
				t.peers[name] = c
			}
			t.setPace(c, terms[id].RatePerSecond/l.holders(), now)
		}
	}
}

func (l *Limiter) forget(name string, now time.Duration) {
	delete(l.peers, name)
	l.forgetCounts(name, now)
}

// forgetCounts drops what a peer said about the teams.
func (l *Limiter) forgetCounts(name string, now time.Duration) {
	terms := l.viewer.View().Config.Config.Teams
	for id, t := range l.teams {
		if c := t.peers[name]; c != nil {
			l.refill(t, terms[id], now)
			t.setPace(c, 0, now)
			delete(t.peers, name)
		}
	}
}
