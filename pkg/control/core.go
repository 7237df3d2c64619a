package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// phase is the relation of this process to the membership.
type phase string

const (
	// joining: not a member yet and not serving.
	joining phase = "joining"
	// guest: not a member, but serving because the platform is away.
	guest phase = "guest"
	// member: listed in the applied membership.
	member phase = "member"
	// leaving: listed and serving until the removal is applied.
	leaving phase = "leaving"
	left    phase = "left"
)

// asyncFunc runs work away from the control goroutine and the function that it
// returns on the control goroutine.
type asyncFunc func(work func(ctx context.Context) (then func()))

type unheardReport struct {
	at      time.Duration
	unheard []string
}

// core is the control state. All methods run on one goroutine; only the atomic
// fields and the fence's deadline are read by others. It performs I/O through
// async alone, so that tests drive it without goroutines.
type core struct {
	o     Options
	async asyncFunc
	fence *fence.Fence

	view    atomic.Pointer[View]
	serving atomic.Bool

	// The incarnation of self is the id of the process and the number of
	// rejoins, so that the incarnations of one process can be told.
	process string
	rejoins int
	self    membership.Member
	phase   phase
	cur     documents

	// State of the newest change.
	mine        bool
	learnedAt   time.Duration
	takeoverAt  time.Duration
	deliveredAt time.Duration
	marking     bool
	markRetryAt time.Duration
	// holders are the processes that hold the applied versions or newer ones.
	// What a process holds, it holds for its earlier incarnations as well.
	holders map[string]bool
	// gone are witnesses that will never answer again.
	gone map[string]bool
	// replaced holds the time since which another process answers at the
	// address of a member.
	replaced map[string]time.Duration
	// configDelivered holds the boot time at which this instance learned of the
	// delivery of a configuration version.
	configDelivered map[int64]time.Duration

	// heard is the boot time of the last message of a member, since that of its listing.
	heard, since map[string]time.Duration
	// listenFrom is the time from which silence of others is evidence.
	listenFrom time.Duration
	// silent is the result of unheard at the last tick.
	silent        []string
	reports       map[string]unheardReport
	suspectedFrom time.Duration
	inFlight      map[string]int
	fetching      bool

	changing, polling, listing bool
	nextChange, nextPoll       time.Duration
	nextHeartbeat, nextList    time.Duration
	nextSeed                   time.Duration
	unlisted                   map[string]time.Duration

	platformKnown, platformUp bool
	wasFresh                  bool
	freshLostAt, lastTick     time.Duration
}

func newCore(o Options, async asyncFunc) *core {
	o = o.withDefaults()
	c := &core{
		o: o, async: async, fence: fence.New(o.F), self: o.Self, phase: joining, cur: emptyDocuments(),
		holders: map[string]bool{}, gone: map[string]bool{}, configDelivered: map[int64]time.Duration{},
		heard: map[string]time.Duration{}, since: map[string]time.Duration{},
		reports: map[string]unheardReport{}, replaced: map[string]time.Duration{}, inFlight: map[string]int{}, unlisted: map[string]time.Duration{},
	}
	now := c.now()
	c.process = o.NewID()
	c.self.Incarnation = c.process + ".0"
	c.lastTick, c.freshLostAt, c.listenFrom = now, now, now
	c.publish()
	return c
}

func randomJitter(d time.Duration) time.Duration { return rand.N(d) }

func (c *core) now() time.Duration { return c.o.Clock.SinceBoot() }

func (c *core) between(low, high time.Duration) time.Duration {
	return low + c.o.Jitter(high-low)
}

func (c *core) versions() fence.Versions { return versionsOf(c.cur.row) }

// fresh is the answer of Fresh; it is safe for concurrent use.
func (c *core) fresh() bool { return c.serving.Load() && c.fence.Valid(c.now()) }

func (c *core) publish() {
	var previous *membership.Membership
	if c.cur.previous.Version > 0 {
		previous = c.cur.previous
	}
	c.view.Store(&View{
		Head: c.cur.row, Config: c.cur.config, Membership: c.cur.membership, PreviousMembership: previous,
		Self: c.self, Member: c.phase == member || c.phase == leaving, DeliveredAt: c.deliveredAt,
	})
	c.serving.Store(c.phase == member || c.phase == leaving || c.phase == guest)
}

// tick does what is due. It is called every tickInterval.
func (c *core) tick() {
	now := c.now()
	if now-c.lastTick > frozenAfter {
		// Messages that arrived during a pause were not seen.
		c.listenFrom = now
		c.reports = map[string]unheardReport{}
	}
	c.lastTick = now
	c.silent = c.unheard(now)
	c.fence.Renew(now)
	c.noteFreshness(now)
	if now >= c.nextHeartbeat {
		c.nextHeartbeat = now + c.o.F/heartbeatsPerF
		c.broadcast()
	}
	c.checkDelivered()
	if now >= c.nextPoll && !c.polling && !c.changing {
		c.poll(now)
	}
	c.askSeeds(now)
	c.checkReplaced(now)
	c.checkLost(now)
	c.pursue(now)
}

func (c *core) noteFreshness(now time.Duration) {
	fresh := c.fence.Valid(now)
	if fresh == c.wasFresh {
		return
	}
	c.wasFresh = fresh
	if fresh {
		event.FenceRegained.Log(&c.o.Log).Int64("membership", c.versions().Membership).Send()
		return
	}
	c.freshLostAt = now
	event.FenceLost.Log(&c.o.Log).Strs("witnesses", c.cur.membership.Witnesses).Send()
}

// learn applies documents that are newer than the applied ones. mine says that
// this process wrote them and therefore delivers them.
func (c *core) learn(d documents, mine bool) {
	before, after := c.versions(), versionsOf(d.row)
	if before.NewerThan(after) {
		return
	}
	if !after.NewerThan(before) {
		c.mine = c.mine || mine
		if d.row.Revision > c.cur.row.Revision {
			c.noteRow(d.row.Revision, d.row.Delivered)
		}
		return
	}
	now := c.now()
	c.settleEarlier(now, after.Config)
	c.cur, c.mine, c.learnedAt, c.deliveredAt = d, mine, now, 0
	c.takeoverAt = now + c.between(takeoverLow, takeoverHigh)
	c.markRetryAt = 0
	c.holders = map[string]bool{c.process: true}
	c.updateMembers(now)
	c.updatePhase()
	c.fence.SetMembership(now, c.self.Incarnation, d.membership.Witnesses, after)
	if after.Config > before.Config {
		event.ConfigApplied.Log(&c.o.Log).Int64("config", after.Config).Send()
	}
	if d.row.Delivered {
		c.setDelivered(now)
	}
	c.publish()
	if mine && !d.row.Delivered {
		c.broadcast()
		c.checkDelivered()
	}
}

// settleEarlier records that the versions before the newest change are
// delivered, because a change is only written after that.
func (c *core) settleEarlier(now time.Duration, next int64) {
	for _, version := range []int64{c.cur.row.ConfigVersion, next - 1} {
		if _, known := c.configDelivered[version]; !known && version >= 0 {
			c.configDelivered[version] = now
		}
	}
	for v := range c.configDelivered {
		if v <= next-maxTrackedVersions {
			delete(c.configDelivered, v)
		}
	}
}

// noteRow takes a later revision of the applied versions.
func (c *core) noteRow(revision int64, delivered bool) {
	c.cur.row.Revision = max(c.cur.row.Revision, revision)
	if delivered && !c.cur.row.Delivered {
		c.setDelivered(c.now())
	}
	c.publish()
}

func (c *core) setDelivered(now time.Duration) {
	c.cur.row.Delivered = true
	c.deliveredAt = now
	if _, known := c.configDelivered[c.cur.row.ConfigVersion]; !known {
		c.configDelivered[c.cur.row.ConfigVersion] = now
	}
}

// updateMembers forgets incarnations that are in neither membership.
func (c *core) updateMembers(now time.Duration) {
	listed := map[string]bool{}
	for _, m := range slices.Concat(c.cur.membership.Members, c.cur.previous.Members) {
		listed[m.Incarnation] = true
		if _, ok := c.since[m.Incarnation]; !ok {
			c.since[m.Incarnation] = now
		}
	}
	prune(c.since, listed)
	prune(c.heard, listed)
	prune(c.gone, listed)
	prune(c.replaced, listed)
	prune(c.reports, listed)
	prune(c.unlisted, listed)
}

func prune[V any](values map[string]V, keep map[string]bool) {
	for k := range values {
		if !keep[k] {
			delete(values, k)
		}
	}
}

// updatePhase follows the applied membership.
func (c *core) updatePhase() {
	_, listed := c.cur.membership.Find(c.self.Incarnation)
	switch {
	case listed && (c.phase == joining || c.phase == guest):
		c.phase = member
		event.Joined.Log(&c.o.Log).Str("incarnation", c.self.Incarnation).Int64("membership", c.versions().Membership).Send()
	case !listed && c.phase == leaving:
		c.phase = left
		event.LeftMembership.Log(&c.o.Log).Str("incarnation", c.self.Incarnation).Send()
	case !listed && c.phase == member:
		event.RemovedSelf.Log(&c.o.Log).Str("incarnation", c.self.Incarnation).Send()
		c.rejoins++
		c.self.Incarnation = c.process + "." + strconv.Itoa(c.rejoins)
		c.phase = joining
	}
}
