package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// phase is the relation of this process to the membership.
type phase string

const (
	// phaseJoining: not a member yet and not serving.
	phaseJoining phase = "joining"
	// phaseGuest: not a member, but serving because the platform is unavailable.
	phaseGuest phase = "guest"
	// phaseMember: listed in the applied membership.
	phaseMember phase = "member"
	// phaseLeaving: listed and serving until the removal is applied.
	phaseLeaving phase = "leaving"
	// phaseLeft: no longer listed after leaving; it does not rejoin.
	phaseLeft phase = "left"
)

// asyncFunc runs work on another goroutine, and then the function that work
// returns on the control goroutine.
type asyncFunc func(work func(ctx context.Context) (then func()))

// unresponsiveReport lists the members that a witness has received nothing from
// for at least Options.RemoveAfter.
type unresponsiveReport struct {
	receivedAt time.Duration
	members    []string
}

// core is the control state. It is used on the control goroutine only; other
// goroutines read just the options, the atomic fields and the deadline of the
// fence. All I/O goes through async, so that tests can drive a core without
// goroutines.
type core struct {
	options Options
	async   asyncFunc
	fence   *fence.Fence

	view    atomic.Pointer[View]
	serving atomic.Bool
	// snapshot is an immutable copy of applied for readers on other goroutines.
	snapshot atomic.Pointer[documents]

	// The incarnation of self is the unique id of the process followed by the
	// number of rejoins, so that incarnations of the same process can be
	// recognised.
	process string
	rejoins int
	self    membership.Member
	phase   phase
	applied documents

	// State of the newest change of configuration or membership. ownChange is
	// set if this process wrote it; the others complete it only after
	// takeoverAt. deliveredAt is 0 until this instance knows that it is
	// delivered.
	ownChange        bool
	appliedAt        time.Duration
	takeoverAt       time.Duration
	deliveredAt      time.Duration
	markingDelivered bool
	markRetryAt      time.Duration
	// holders are the processes that hold the applied versions or newer ones. A
	// process counts as a holder for its earlier incarnations as well.
	holders map[string]bool
	// gone are members that will never answer again, as concluded from the
	// instance list or from another process at their address, or as declared by
	// an operator.
	gone map[string]bool
	// replacedSince holds, by member, the time since which another process has
	// answered at its address.
	replacedSince map[string]time.Duration
	// configDeliveredAt holds, by configuration version, the time since boot at
	// which this instance learned of its delivery.
	configDeliveredAt map[int64]time.Duration

	// lastReceived holds, by member, the time since boot of its last message;
	// listedSince that since which this instance has known it as a member.
	lastReceived, listedSince map[string]time.Duration
	// receivingSince is the time since which this process has run without a
	// pause. Only the time after it counts when others are judged unresponsive.
	receivingSince time.Duration
	// unresponsive is the result of unresponsiveMembers at the last run of
	// runDueTasks; witnessReports holds those of the witnesses.
	unresponsive   []string
	witnessReports map[string]unresponsiveReport
	// suspectedSince is the time since which a majority of the witnesses has
	// reported at least one member unresponsive; 0 while there is none.
	suspectedSince time.Duration
	// heartbeatsInFlight counts the unanswered heartbeats by witness; fetching
	// is set while documents are fetched from another instance.
	heartbeatsInFlight map[string]int
	fetching           bool

	// changingMembership, pollingHead, queryingList and reinstating are set while that
	// asynchronous work runs.
	changingMembership, pollingHead, queryingList, reinstating bool
	nextChangeAt, nextPollAt                                   time.Duration
	nextHeartbeatAt, nextListQueryAt                           time.Duration
	nextSeedQueryAt                                            time.Duration
	// unlistedSince holds, by unresponsive member, the time since which it has
	// been missing from the platform's instance list.
	unlistedSince map[string]time.Duration

	// platformKnown is set after the first answer or failure of the platform.
	platformKnown, platformUp bool
	fenceWasValid             bool
	fenceLostAt, lastRunAt    time.Duration
}

func newCore(options Options, async asyncFunc) *core {
	options = options.withDefaults()
	c := &core{
		options: options, async: async, fence: fence.New(options.FenceValidity), self: options.Self, phase: phaseJoining, applied: emptyDocuments(),
		holders: map[string]bool{}, gone: map[string]bool{}, configDeliveredAt: map[int64]time.Duration{},
		lastReceived: map[string]time.Duration{}, listedSince: map[string]time.Duration{},
		witnessReports: map[string]unresponsiveReport{}, replacedSince: map[string]time.Duration{}, heartbeatsInFlight: map[string]int{}, unlistedSince: map[string]time.Duration{},
	}
	now := c.now()
	c.process = options.NewID()
	c.self.Incarnation = c.process + ".0"
	c.lastRunAt, c.fenceLostAt, c.receivingSince = now, now, now
	c.publishView()
	return c
}

func randomJitter(d time.Duration) time.Duration { return rand.N(d) }

func (c *core) now() time.Duration { return c.options.Clock.SinceBoot() }

func (c *core) randomBetween(low, high time.Duration) time.Duration {
	return low + c.options.Jitter(high-low)
}

func (c *core) appliedVersions() fence.Versions { return versionsOf(c.applied.row) }

// mayServe reports whether this instance is a member or a guest and its fence
// is valid. It is safe for concurrent use.
func (c *core) mayServe() bool { return c.serving.Load() && c.fence.Valid(c.now()) }

func (c *core) publishView() {
	var previous *membership.Membership
	if c.applied.previous.Version > 0 {
		previous = c.applied.previous
	}
	applied := c.applied
	c.snapshot.Store(&applied)
	c.view.Store(&View{
		Head: c.applied.row, Config: c.applied.config, Membership: c.applied.membership, PreviousMembership: previous,
		Self: c.self, Member: c.phase == phaseMember || c.phase == phaseLeaving, DeliveredAt: c.deliveredAt,
	})
	c.serving.Store(c.phase == phaseMember || c.phase == phaseLeaving || c.phase == phaseGuest)
}

// runDueTasks starts the tasks that are due. It is called every checkInterval.
func (c *core) runDueTasks() {
	now := c.now()
	if now-c.lastRunAt > pauseThreshold {
		// Messages that arrived during a pause were not processed.
		c.receivingSince = now
		c.witnessReports = map[string]unresponsiveReport{}
	}
	c.lastRunAt = now
	c.unresponsive = c.unresponsiveMembers(now)
	c.fence.Renew(now)
	c.trackFence(now)
	if now >= c.nextHeartbeatAt {
		c.nextHeartbeatAt = now + c.options.FenceValidity/heartbeatsPerValidity
		c.sendHeartbeats()
	}
	c.checkDelivered()
	if now >= c.nextPollAt && !c.pollingHead && !c.changingMembership {
		c.pollHead(now)
	}
	c.querySeeds(now)
	c.checkReplaced(now)
	c.checkInstanceList(now)
	c.changeMembership(now)
}

// trackFence logs when the fence becomes valid or invalid, and records when it
// was lost.
func (c *core) trackFence(now time.Duration) {
	valid := c.fence.Valid(now)
	if valid == c.fenceWasValid {
		return
	}
	c.fenceWasValid = valid
	if valid {
		event.FenceRegained.Log(&c.options.Log).Int64("membership", c.appliedVersions().Membership).Send()
		return
	}
	c.fenceLostAt = now
	event.FenceLost.Log(&c.options.Log).Strs("witnesses", c.applied.membership.Witnesses).Send()
}

// apply replaces the applied documents by newer ones; for the same versions it
// takes over a later revision of the head row. ownChange says that this process
// wrote the change and therefore completes its delivery.
func (c *core) apply(d documents, ownChange bool) {
	before, after := c.appliedVersions(), versionsOf(d.row)
	if before.NewerThan(after) {
		return
	}
	if !after.NewerThan(before) {
		c.ownChange = c.ownChange || ownChange
		if d.row.Revision > c.applied.row.Revision {
			c.updateRow(d.row.Revision, d.row.Delivered)
		}
		return
	}
	now := c.now()
	evacuatedBefore := c.applied.config.Config.EvacuatedZones
	if !d.row.Reinstated {
		c.recordEarlierDelivered(now, after.Config)
	}
	c.applied, c.ownChange, c.appliedAt, c.deliveredAt = d, ownChange, now, 0
	c.takeoverAt = now + c.randomBetween(minTakeoverDelay, maxTakeoverDelay)
	c.markRetryAt = 0
	c.holders = map[string]bool{c.process: true}
	c.updateMemberState(now)
	c.updatePhase()
	c.fence.SetMembership(now, c.self.Incarnation, d.membership.Witnesses, after)
	if after.Config > before.Config {
		event.ConfigApplied.Log(&c.options.Log).Int64("config", after.Config).Send()
		c.logEvacuations(evacuatedBefore)
	}
	if d.row.Delivered {
		c.setDelivered(now)
	}
	c.publishView()
	if ownChange && !d.row.Delivered {
		c.sendHeartbeats()
		c.checkDelivered()
	}
}

// logEvacuations logs the zones that the applied configuration evacuates or restores.
func (c *core) logEvacuations(before map[string]config.Evacuation) {
	after := c.applied.config.Config.EvacuatedZones
	for zone := range after {
		if _, already := before[zone]; !already {
			event.ZoneEvacuated.Log(&c.options.Log).Str("zone", zone).Int64("config", c.applied.row.ConfigVersion).Send()
		}
	}
	for zone := range before {
		if _, still := after[zone]; !still {
			event.ZoneRestored.Log(&c.options.Log).Str("zone", zone).Int64("config", c.applied.row.ConfigVersion).Send()
		}
	}
}

// recordEarlierDelivered records that the configuration versions before the
// newest change are delivered, because a change is written only once the
// previous one is delivered. next is the configuration version of the newest
// change.
func (c *core) recordEarlierDelivered(now time.Duration, next int64) {
	for _, version := range []int64{c.applied.row.ConfigVersion, next - 1} {
		if _, known := c.configDeliveredAt[version]; !known && version >= 0 {
			c.configDeliveredAt[version] = now
		}
	}
	for v := range c.configDeliveredAt {
		if v <= next-maxTrackedVersions {
			delete(c.configDeliveredAt, v)
		}
	}
}

// updateRow takes over a later revision of the row with the applied versions.
func (c *core) updateRow(revision int64, delivered bool) {
	c.applied.row.Revision = max(c.applied.row.Revision, revision)
	if delivered && !c.applied.row.Delivered {
		c.setDelivered(c.now())
	}
	c.publishView()
}

func (c *core) setDelivered(now time.Duration) {
	c.applied.row.Delivered = true
	c.deliveredAt = now
	if _, known := c.configDeliveredAt[c.applied.row.ConfigVersion]; !known {
		c.configDeliveredAt[c.applied.row.ConfigVersion] = now
	}
}

// updateMemberState drops the state of incarnations that are in neither the
// applied nor the previous membership.
func (c *core) updateMemberState(now time.Duration) {
	listed := map[string]bool{}
	for _, m := range slices.Concat(c.applied.membership.Members, c.applied.previous.Members) {
		listed[m.Incarnation] = true
		if _, ok := c.listedSince[m.Incarnation]; !ok {
			c.listedSince[m.Incarnation] = now
		}
	}
	prune(c.listedSince, listed)
	prune(c.lastReceived, listed)
	prune(c.gone, listed)
	prune(c.replacedSince, listed)
	prune(c.witnessReports, listed)
	prune(c.unlistedSince, listed)
}

// prune deletes the keys that are not in keep.
func prune[V any](values map[string]V, keep map[string]bool) {
	for k := range values {
		if !keep[k] {
			delete(values, k)
		}
	}
}

// updatePhase derives the phase from the applied membership. A member that
// others have removed joins again under a new incarnation.
func (c *core) updatePhase() {
	_, listed := c.applied.membership.Find(c.self.Incarnation)
	switch {
	case listed && (c.phase == phaseJoining || c.phase == phaseGuest):
		c.phase = phaseMember
		event.Joined.Log(&c.options.Log).Str("incarnation", c.self.Incarnation).Int64("membership", c.appliedVersions().Membership).Send()
	case !listed && c.phase == phaseLeaving:
		c.phase = phaseLeft
		event.LeftMembership.Log(&c.options.Log).Str("incarnation", c.self.Incarnation).Send()
	case !listed && c.phase == phaseMember:
		event.RemovedSelf.Log(&c.options.Log).Str("incarnation", c.self.Incarnation).Send()
		c.rejoins++
		c.self.Incarnation = c.process + "." + strconv.Itoa(c.rejoins)
		c.phase = phaseJoining
	}
}
