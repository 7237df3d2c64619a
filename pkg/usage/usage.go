// Package usage keeps each team within its rate and burst over all serving
// instances. Every instance counts the requests that it admits and sends the counts
// to the others in heartbeats; each maintains the same token bucket from all
// counts. Between two heartbeats it assumes that the others go on admitting at
// their last rate, and corrects the bucket with the next heartbeat. An
// unresponsive instance is charged an equal fraction of the rate, so that both
// sides of a network partition together stay within it.
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
	// unresponsiveTimeout is the time without a heartbeat after which a peer's last
	// rate no longer counts: two lost heartbeats between zones.
	unresponsiveTimeout = 1300 * time.Millisecond
	// forgetTimeout is the time without a heartbeat after which a peer counts as
	// stopped, if most other peers are responsive. Network partitions of the platform
	// last up to 12 s; a longer one is covered by the excess that the platform allows.
	forgetTimeout = 12 * time.Second
	// partitionForgetTimeout is the same when most other peers are unresponsive: this
	// instance may be the one that is cut off, and the others may still admit.
	partitionForgetTimeout = 30 * time.Second
	// sharedBurstFraction is the fraction of the burst above which any instance
	// admits. Below it, each instance admits only at its equal fraction of the rate,
	// because the counts of the others are up to one heartbeat interval old.
	sharedBurstFraction = 0.6
	// minLocalBurst is the minimum size in tokens of the local bucket, which an
	// instance admits from below sharedBurstFraction. A larger bucket holds what comes
	// in during localBurstTime.
	minLocalBurst  = 1.0
	localBurstTime = 150 * time.Millisecond
	// debtRefillFactor slows down the local bucket while the level of the team is
	// negative, that is while more was admitted than the team had.
	debtRefillFactor = 0.5
	// maxDebtBursts bounds the debt of a team in bursts, so that it is served again in
	// time after it has stopped sending too much. With a smaller bound, part of what
	// many instances admitted at once would be forgiven.
	maxDebtBursts = 3
	// initialBurstFraction is the fraction of the burst that a new process starts
	// with: the counts from before its start are not known. It is above
	// sharedBurstFraction, so that teams within their rate are not refused after all
	// instances have restarted.
	initialBurstFraction = 0.75
	// reportWindow is the time for which a changed count is repeated in heartbeats, in
	// case one is lost: two heartbeats between zones.
	reportWindow = 1100 * time.Millisecond
	// maxCountGap is the time without a count of a peer whose heartbeats arrive, after which
	// this instance was probably a standby, to which no counts are told.
	maxCountGap = 2 * reportWindow
	// rateSmoothingWeight is the weight of the newest interval in the moving average
	// of a peer's rate.
	rateSmoothingWeight = 0.5
)

// Limiter implements proxy.Limiter and fleet.StateExchanger. It is safe for
// concurrent use.
type Limiter struct {
	clock  clock.Clock
	viewer control.Viewer
	// serving returns the number of serving instances, this one included.
	serving func() int
	// startFull says that a new process may start with a whole burst, because the
	// fleet starts for the first time.
	startFull bool

	mu    sync.Mutex
	teams map[string]*team
	// peers are the other instances that admit requests, by name.
	peers map[string]*peer
}

// team is the token bucket of one team.
type team struct {
	// level is the number of tokens in the bucket. It is negative when the other
	// instances admitted more than was assumed.
	level float64
	// localTokens is the local bucket: it fills at an equal fraction of the team's
	// rate, and this instance admits from it when level is low.
	localTokens float64
	// updated is the time since boot up to which level and localTokens are computed.
	updated time.Duration
	// admitted counts the requests that this instance has admitted since its start.
	admitted uint64
	// lastAdmitted is the time since boot of the last of them.
	lastAdmitted time.Duration
	// reported holds the counts sent in heartbeats during the last reportWindow, oldest first.
	reported []countSample
	// lastReported is the last count sent, however old.
	lastReported countSample
	// peers are the counts of other instances, by name.
	peers map[string]*peerCount
	// assumedRate is the sum of the assumed rates of peers.
	assumedRate float64
	// estimatedAt is the time since boot at which the level was last taken to be that of a
	// new process, because counts were missed; 0 if it never was.
	estimatedAt time.Duration
}

// peerCount is the last count of a team that one peer reported, and what this
// instance assumes that the peer has admitted since.
type peerCount struct {
	admitted uint64
	// receivedAt is the time since boot of that report, or of a later heartbeat that names
	// no count. countedAt is that of the report.
	receivedAt, countedAt time.Duration
	// chargedAt is the time since boot from which an equal fraction of the rate was assumed,
	// because the peer was unresponsive; 0 if it was not since its last heartbeat.
	chargedAt time.Duration
	// assumedRate is what the peer is assumed to admit per second from rateSince on;
	// deductedBefore is what was deducted from the level for it between its last
	// report and rateSince.
	assumedRate, deductedBefore float64
	rateSince                   time.Duration
}

// deducted returns what was deducted from the level for the peer since its last report.
func (c *peerCount) deducted(now time.Duration) float64 {
	return c.deductedBefore + c.assumedRate*(now-c.rateSince).Seconds()
}

// setAssumedRate changes the rate at which a peer is assumed to admit from now on.
// The level must be up to date.
func (t *team) setAssumedRate(c *peerCount, assumedRate float64, now time.Duration) {
	c.deductedBefore, c.rateSince = c.deducted(now), now
	t.assumedRate += assumedRate - c.assumedRate
	c.assumedRate = assumedRate
}

// peer is the state of one other instance.
type peer struct {
	incarnation  uint64
	lastReceived time.Duration
	// unresponsive is set while no heartbeat has arrived for unresponsiveTimeout.
	unresponsive bool
}

// New returns a limiter. serving returns the number of serving instances, this
// one included; startFull says that the whole fleet starts for the first time.
func New(c clock.Clock, viewer control.Viewer, serving func() int, startFull bool) *Limiter {
	return &Limiter{
		clock: c, viewer: viewer, serving: serving, startFull: startFull, teams: map[string]*team{}, peers: map[string]*peer{},
	}
}

// Take spends one token of the team without waiting. Errors are
// *refusal.Refusal (rate_exceeded) with the time until the next token.
func (l *Limiter) Take(_ context.Context, name string) error {
	teamConfig, ok := l.viewer.View().Config.Config.Teams[name]
	if !ok || teamConfig.Unlimited {
		return nil
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.chargeUnresponsive(now)
	t := l.team(name, teamConfig, now)
	l.refill(t, teamConfig, now)
	switch {
	case t.level >= max(1, sharedBurstFraction*float64(teamConfig.Burst)):
	case t.localTokens >= 1:
		t.localTokens--
	default:
		return &refusal.Refusal{Kind: refusal.RateExceeded, RetryAfter: l.retryAfter(t, teamConfig), Cause: l.exceededError(t, teamConfig)}
	}
	t.level--
	t.admitted++
	t.lastAdmitted = now
	return nil
}

// ExceededError describes the state of a team's limit when a request was refused.
type ExceededError struct {
	// Rate is in requests per second; Level and LocalTokens are in tokens. With Level
	// below 0.6 of Burst, an instance admits only from its LocalTokens.
	Rate, Level, LocalTokens float64
	Burst                    int
	// Instances is the number of instances that may admit requests, Unresponsive how
	// many of them are unresponsive.
	Instances, Unresponsive int
}

// Error returns a message with all figures.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("level %.1f of burst %d, local tokens %.1f, rate %g/s over %d instances, %d of them unresponsive",
		e.Level, e.Burst, e.LocalTokens, e.Rate, e.Instances, e.Unresponsive)
}

// exceededError describes the state of a team's limit. The caller holds mu.
func (l *Limiter) exceededError(t *team, teamConfig config.Team) error {
	e := &ExceededError{
		Rate: teamConfig.RatePerSecond, Level: t.level, LocalTokens: t.localTokens, Burst: teamConfig.Burst, Instances: int(l.instanceCount()),
	}
	for _, p := range l.peers {
		if p.unresponsive {
			e.Unresponsive++
		}
	}
	return e
}

// Level returns the number of tokens of a team, for dumps.
func (l *Limiter) Level(name string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.teams[name]; t != nil {
		return t.level
	}
	return 0
}

// minRetryAfter is the minimum Retry-After, so that refused callers do not return
// at once.
const minRetryAfter = 100 * time.Millisecond

// minRefillRate, in tokens per second, bounds the Retry-After of a team with a low rate.
const minRefillRate = 0.1

// instanceCount returns the number of instances that may admit requests, this one
// included. The caller holds mu.
func (l *Limiter) instanceCount() float64 { return float64(max(1, l.serving(), len(l.peers)+1)) }

// retryAfter returns the time until the local bucket has a token.
func (l *Limiter) retryAfter(t *team, teamConfig config.Team) time.Duration {
	refillRate := max(teamConfig.RatePerSecond/l.instanceCount(), minRefillRate)
	return max(minRetryAfter, time.Duration((1-t.localTokens)/refillRate*float64(time.Second)))
}

// team returns the bucket of a team and creates it if needed. The caller holds mu.
func (l *Limiter) team(name string, teamConfig config.Team, now time.Duration) *team {
	t := l.teams[name]
	if t == nil {
		t = &team{level: float64(teamConfig.Burst), updated: now, peers: map[string]*peerCount{}}
		t.localTokens = max(minLocalBurst, teamConfig.RatePerSecond/l.instanceCount()*localBurstTime.Seconds())
		if !l.startFull {
			t.level *= initialBurstFraction
		}
		l.teams[name] = t
	}
	return t
}

// refill updates the buckets: it adds the tokens since the last update and deducts
// what the other instances are assumed to have admitted. The caller holds mu.
func (l *Limiter) refill(t *team, teamConfig config.Team, now time.Duration) {
	elapsed := (now - t.updated).Seconds()
	t.updated = now
	t.level += elapsed * teamConfig.RatePerSecond
	equalRate := teamConfig.RatePerSecond / l.instanceCount()
	localRate := equalRate
	if t.level < 0 {
		localRate *= debtRefillFactor
	}
	t.localTokens = min(t.localTokens+localRate*elapsed, max(minLocalBurst, equalRate*localBurstTime.Seconds()))
	t.level -= t.assumedRate * elapsed
	t.level = min(t.level, float64(teamConfig.Burst))
	t.level = max(t.level, -maxDebtBursts*float64(teamConfig.Burst))
}
