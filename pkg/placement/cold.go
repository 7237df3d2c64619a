package placement

import (
	"math/rand/v2"
	"time"
)

// A target that is cold crashes if it gets too many requests in a second. The rate that its
// service sets for cold targets is divided into fixed shares (divideColdRate); each holder fills a
// token bucket at its share. The load that it answers is any, up to one that uses all targets
// up. In any second, a holder sends at most what it has saved up and its share of the rate.
// Requests that are on the way count, too: they may arrive together after a delay.
const (
	// coldBurst is the time over which unused allowance adds up beyond one request. It covers
	// the time between two requests of a high rate, not a rest of the callers.
	coldBurst = 100 * time.Millisecond
	// deliveryTime is the longest time after which a request that was sent and got no response
	// may still arrive: TCP repeats a lost segment after 0.2, 0.6 and 1.4 s.
	deliveryTime = 2 * time.Second
	// maxOnTheWay bounds the requests of an instance at a cold target that have no response
	// yet. onTheWayTime times the rate is the bound for rates of 5 requests per second and
	// more: a little more than a request takes.
	maxOnTheWay  = 2.0
	onTheWayTime = 400 * time.Millisecond
	// minColdTestDelay is the shortest time after a failed connection in which an instance
	// without a share tests whether it reaches the target again. The longest grows by
	// coldTestStep with each instance that may serve, so that all of them together send 2.5
	// tests per second, also if they do not hear of each other's success.
	minColdTestDelay = 2 * time.Second
	coldTestStep     = 400 * time.Millisecond
	// startSpan is the time since the start of the process, or since it has reached the store or
	// others again, after which these have told it of cold targets, twice to a standby. With 0.5 s,
	// a play of the property test had 17 requests in a second where 14.75 are allowed; each further
	// second costs a fleet whose instances have all lost power as much of its traffic.
	// staleListing is the age of the listing from which on an instance that hears few others
	// may be cut off: a listing is at most that old otherwise.
	startSpan    = time.Second
	staleListing = 2 * time.Second
	// rampTime is the time in which a target that has turned warm takes up its part of the
	// load, rampCost what it costs more at first: about as much as a target with a request on
	// each slot. Without it, all instances send it their next requests, since it has none: up to
	// twice its part of the load in the first half second.
	rampTime = time.Second
	rampCost = 1.0
	// confirmWait is the time for which a target counts as cold after the end of its warm-up
	// unless its listing says that it is warm. A target writes its entry each 1.5 s, and one that
	// misses three reports is no longer listed. Without the wait, a target that is away at the
	// end would count as warm when it is back.
	confirmWait = 4500 * time.Millisecond
	// brokenTogether is the time within which two requests that lose their connections tell that
	// the target's process has ended: it ends all of them at once.
	brokenTogether = 100 * time.Millisecond
	// heartbeatMargin is the time that a heartbeat may take.
	heartbeatMargin = 100 * time.Millisecond
	// maxStatedWarmup bounds what the listing or another instance states.
	maxStatedWarmup = time.Hour
)

// ColdRate is the limit of a service's cold targets; without a positive PerSecond there is
// none. Warmup is how long a target is cold after its start.
type ColdRate struct {
	Warmup    time.Duration
	PerSecond float64
}

// Reasons why a target counts as cold, for logs. Other ones are names of instances that told.
const (
	coldListed      = "listed"
	coldStated      = "listing"
	coldUnreachable = "unreachable"
	coldBroken      = "connections_lost"
	coldRestored    = "zone_restored"
)

// coldLimit is what this instance knows of the warm-up of one run of a target, and its part of
// the rate for cold targets. The zero value is that of a warm target without such a rate.
type coldLimit struct {
	ColdRate
	// until is the time since boot up to which the target counts as cold, with confirmWait. unreachable says
	// that it is cold however long, as the last connection to it has failed.
	until       time.Duration
	unreachable bool
	// beganAt is the time since boot of the event for which the target counts as cold, the
	// first failed connection if it was unreachable. confirmAt is the time from which on a
	// listing must have been written that ends it; reachedAgainAt is the same if the target was
	// unreachable, else 0.
	beganAt, confirmAt, reachedAgainAt time.Duration
	// unsure says that this instance cannot know whether the target is cold.
	unsure bool
	// reason says from what it is known, own that this instance knows it by itself.
	reason string
	own    bool
	// statedWarmAt is the time since boot from which on the newest listing that says warm was
	// written; warmAt that at which one has ended the warm-up, ownWarm says that this instance
	// has read it.
	statedWarmAt, warmAt time.Duration
	ownWarm              bool
	// listedUntil is the end of the warm-up by the last listing that this instance read and that
	// says cold, listedAt the time since boot at which it read that.
	listedUntil, listedAt time.Duration
	// lastReachedAt is the latest start of a request that got a response.
	lastReachedAt time.Duration
	// lastLostAt is the time since boot of the last connection that failed.
	lastLostAt time.Duration
	// brokenAt is the time since boot at which a request last lost its connection.
	brokenAt time.Duration
	// logged says that the log has the target as cold.
	logged bool

	// shares are this instance's shares of the rate, peers the number of instances that may serve.
	shares coldShares
	peers  int
	// tokens is the number of requests that this instance may send, computed up to updatedAt
	// (time since boot). onTheWay holds the start times of those without a response.
	tokens    float64
	updatedAt time.Duration
	onTheWay  []time.Duration
	// testAt is the time since boot from which this instance, without a share, may test
	// whether it reaches the target.
	testAt time.Duration
}

// configure applies what the configuration sets.
func (c *coldLimit) configure(rate ColdRate) {
	switch {
	case rate.PerSecond == 0:
		*c = coldLimit{unsure: c.unsure}
	case c.ColdRate != rate:
		c.ColdRate = rate
	}
}

// assign sets this instance's share of the rate.
func (c *coldLimit) assign(shares coldShares, peers int, now time.Duration) {
	c.refill(now)
	isNew := c.peers == 0 && c.cold(now)
	c.shares, c.peers = shares, peers
	c.tokens = min(c.tokens, maxTokens(c.rate(now)))
	if isNew {
		c.tokens = maxTokens(c.rate(now)) // as in suspect
	}
}

// cold reports whether the target counts as cold.
func (c *coldLimit) cold(now time.Duration) bool {
	return c.PerSecond > 0 && (c.unreachable || now < c.until)
}

// limited reports whether this instance may send the target a limited rate only.
func (c *coldLimit) limited(now time.Duration) bool {
	return c.cold(now) || (c.PerSecond > 0 && c.unsure)
}

// rate returns the requests per second that this instance may send while the target is limited.
func (c *coldLimit) rate(now time.Duration) float64 {
	if c.cold(now) {
		return c.PerSecond * c.shares.known
	}
	return c.PerSecond * c.shares.unsure
}

// maxTokens returns the number of requests that an instance with a rate may save up.
func maxTokens(rate float64) float64 {
	if rate == 0 {
		return 0
	}
	return max(1, rate*coldBurst.Seconds())
}

// maxUnanswered returns the number of requests that an instance with a rate may have on the way.
func maxUnanswered(rate float64) float64 {
	return max(1, min(maxOnTheWay, 1+rate), rate*onTheWayTime.Seconds())
}

func (c *coldLimit) refill(now time.Duration) {
	if now > c.updatedAt {
		rate := c.rate(now)
		c.tokens = refilled(c.tokens, rate, maxTokens(rate), now-c.updatedAt)
		c.updatedAt = now
	}
}

// setUnsure sets whether this instance cannot know whether the target is cold.
func (c *coldLimit) setUnsure(unsure bool, now time.Duration) {
	if unsure && !c.limited(now) {
		c.tokens, c.updatedAt = maxTokens(c.PerSecond*c.shares.unsure), now
	}
	c.unsure = unsure
}

// exhausted reports whether the target is limited and gets no request from this instance now.
func (c *coldLimit) exhausted(now time.Duration) bool {
	switch {
	case !c.limited(now):
		return false
	case c.cold(now) && c.shares.known == 0:
		return !c.unreachable || now < c.testAt
	}
	c.refill(now)
	for len(c.onTheWay) > 0 && now-c.onTheWay[0] >= deliveryTime {
		c.onTheWay = c.onTheWay[1:]
	}
	return c.tokens < 1 || float64(len(c.onTheWay)+1) > maxUnanswered(c.rate(now))
}

// spend counts a request that this instance sends. It is written as soon as there is a
// connection, at most 0.12 s later.
func (c *coldLimit) spend(now time.Duration) {
	if !c.limited(now) {
		return
	}
	c.refill(now)
	c.tokens--
	c.onTheWay = append(c.onTheWay, now)
	c.testAt = now + c.testDelay()
}

func (c *coldLimit) testDelay() time.Duration {
	return minColdTestDelay + rand.N(coldTestStep*time.Duration(1+c.peers))
}

// arrived records that a request is no longer on the way.
func (c *coldLimit) arrived(began time.Duration) {
	for i, at := range c.onTheWay {
		if at == began {
			c.onTheWay = append(c.onTheWay[:i], c.onTheWay[i+1:]...)
			return
		}
	}
}

// begin makes the target cold up to a time at least. A target that was warm had requests
// until now, so that the allowance begins with none unless the target was away.
func (c *coldLimit) begin(reason string, own bool, until, now time.Duration) {
	if !c.cold(now) {
		c.tokens, c.updatedAt, c.reason, c.own, c.beganAt, c.reachedAgainAt = 0, now, reason, own, now, 0
	}
	c.own = c.own || own
	c.until = max(c.until, until)
}

// suspect records that the target may be cold from now on: it is new, it has returned, or its
// zone has. A listing that was written later ends it.
func (c *coldLimit) suspect(reason string, now time.Duration) {
	if c.PerSecond > 0 {
		wasCold := c.cold(now)
		c.begin(reason, true, now+c.Warmup+confirmWait, now)
		if !wasCold {
			// It has had no requests lately.
			c.tokens = maxTokens(c.rate(now))
		}
		c.beganAt, c.confirmAt, c.reachedAgainAt = now, now, 0
		// Tests of a target that was not listed are due at all instances at once.
		c.testAt = max(c.testAt, now+c.testDelay())
	}
}

// extend makes a cold target cold up to a time at least.
func (c *coldLimit) extend(until time.Duration) {
	if c.PerSecond > 0 {
		c.until = max(c.until, until+confirmWait)
	}
}

// lost records that a connection to the target has failed.
func (c *coldLimit) lost(now time.Duration) {
	if c.PerSecond == 0 {
		return
	}
	if !c.unreachable {
		c.begin(coldUnreachable, true, 0, now)
		c.unreachable, c.beganAt = true, now
	}
	c.lastLostAt, c.testAt = now, now+c.testDelay()
}

// broken records a request that lost its connection to the target.
func (c *coldLimit) broken(now time.Duration) {
	if c.brokenAt > 0 && now-c.brokenAt < brokenTogether {
		c.suspect(coldBroken, now)
	}
	c.brokenAt = now
}

// reached records a response to a request that began at the given time. One that began before
// the connection failed says nothing of the time since.
func (c *coldLimit) reached(began, now time.Duration) {
	c.lastReachedAt = max(c.lastReachedAt, began)
	if c.unreachable && began >= c.beganAt {
		lostAt := c.beganAt
		c.suspect(coldUnreachable, now)
		c.unreachable, c.beganAt, c.reachedAgainAt = false, lostAt, now
	}
}

// listingStatement is what one version of a target's entry says of its warm-up.
type listingStatement struct {
	// left is how much longer the target is cold; 0 if it is warm.
	left time.Duration
	// writtenSince is a time since boot after which the entry was written; never if it is not
	// known. readAt is that at which this version was first read.
	writtenSince, readAt time.Duration
}

// never is a time before all others.
const never = -time.Hour

// stated applies a statement of the listing, also one that was applied before. It reports
// whether that tells this instance that a warm target is cold.
func (c *coldLimit) stated(l listingStatement, now time.Duration) (learned bool) {
	current := l.writtenSince >= c.confirmAt
	switch {
	case c.PerSecond == 0:
	case l.left == 0:
		c.statedWarm(l.writtenSince, true, now)
	case c.statedWarmAt >= l.readAt:
		// Another instance has read a later version.
	case now < l.readAt+l.left+confirmWait:
		learned = !c.cold(now)
		c.listedUntil, c.listedAt = l.readAt+l.left, l.readAt
		c.begin(coldStated, true, 0, now)
		c.confirmAt = max(c.confirmAt, l.writtenSince)
		if until := l.readAt + l.left + confirmWait; current {
			c.until = until
		} else {
			c.until = max(c.until, until)
		}
	}
	return learned
}

// statedWarm applies a listing that says that the target is warm and was written after a time.
// It ends the warm-up unless the target may have become cold since.
func (c *coldLimit) statedWarm(writtenSince time.Duration, own bool, now time.Duration) {
	if c.PerSecond == 0 || writtenSince <= c.statedWarmAt {
		return
	}
	c.statedWarmAt = writtenSince
	if c.cold(now) && !c.unreachable && writtenSince >= c.confirmAt {
		c.until, c.warmAt, c.ownWarm = now, now, own
	}
}

// ramping reports whether the target has turned warm lately.
func (c *coldLimit) ramping(now time.Duration) bool {
	return c.PerSecond > 0 && c.until > 0 && !c.unreachable && now >= c.until && now-c.until < rampTime
}

// rampCost returns what a request costs more at a target that has turned warm lately.
func (c *coldLimit) rampCost(now time.Duration) float64 {
	if !c.ramping(now) {
		return 0
	}
	return rampCost * (1 - float64(now-c.until)/float64(rampTime))
}
