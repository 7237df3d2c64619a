package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/cockroachdb/errors"
)

// changeMembership starts to write the membership change that this instance
// wants, if any.
func (c *core) changeMembership(now time.Duration) {
	if c.changingMembership || now < c.nextChangeAt {
		return
	}
	c.finishLeaving()
	if add, remove := c.wantedChange(now); len(add)+len(remove) == 0 {
		return
	}
	c.changingMembership = true
	c.refreshHead(func(err error) {
		now := c.now()
		add, remove := c.wantedChange(now)
		if err != nil || !c.applied.row.Delivered || len(add)+len(remove) == 0 {
			c.finishChange(err)
			return
		}
		c.proposeMembership(c.applied, c.applied.membership.NextVersion(add, remove, c.options.MaxWitnesses))
	})
}

// proposeMembership writes the next membership on top of base and applies it.
func (c *core) proposeMembership(base documents, next *membership.Membership) {
	store, operation := c.options.Store, c.options.NewID()
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		row, err := store.Propose(ctx, base.row, head.Change{Operation: operation, Membership: next})
		return func() {
			c.finishChange(err)
			if err != nil {
				return
			}
			c.recordPlatformResult(nil)
			c.logRemoved(base.membership, next)
			c.apply(documents{
				row: row, config: base.config, configJSON: base.configJSON, membership: next, previous: base.membership,
			}, true)
		}
	})
}

// leave starts the removal of this instance.
func (c *core) leave() {
	if c.phase == phaseLeft {
		return
	}
	c.phase = phaseLeaving
	c.nextChangeAt = 0
	c.finishLeaving()
	c.publishView()
}

// finishLeaving completes leaving at once when this instance is not listed and
// no write that may list it is in progress.
func (c *core) finishLeaving() {
	if c.phase == phaseLeaving && !c.changingMembership {
		c.updatePhase()
		c.publishView()
	}
}

// finishChange ends an attempt to change the membership and schedules the next.
func (c *core) finishChange(err error) {
	c.changingMembership = false
	c.nextChangeAt = c.now() + c.randomBetween(minChangeRetry, maxChangeRetry)
	var unavailable *head.UnavailableError
	if errors.As(err, &unavailable) {
		c.recordPlatformResult(err)
		c.nextChangeAt = c.now() + c.randomBetween(minPlatformRetry, maxPlatformRetry)
	}
}

func (c *core) logRemoved(before, after *membership.Membership) {
	for _, m := range before.Members {
		if _, kept := after.Find(m.Incarnation); kept || m.Incarnation == c.self.Incarnation {
			continue
		}
		event.MemberRemoved.Log(&c.options.Log).Str("incarnation", m.Incarnation).Str("instance", m.Instance).Send()
	}
	if lost := countIn(before.Witnesses, c.gone); lost >= before.Majority() {
		event.MajorityReplaced.Log(&c.options.Log).Int("lost_witnesses", lost).Send()
	}
}

// countIn returns how many of the incarnations are in the set.
func countIn(incarnations []string, in map[string]bool) int {
	count := 0
	for _, i := range incarnations {
		if in[i] {
			count++
		}
	}
	return count
}

// wantedChange returns the members that this instance wants to add and remove
// now.
func (c *core) wantedChange(now time.Duration) (add []membership.Member, remove []string) {
	_, listed := c.applied.membership.Find(c.self.Incarnation)
	switch c.phase {
	case phaseJoining, phaseGuest:
		if !listed {
			add = append(add, c.self)
			remove = append(remove, c.earlierIncarnations()...)
		}
	case phaseLeaving:
		if listed {
			remove = append(remove, c.self.Incarnation)
		}
	case phaseMember:
		remove = append(remove, c.removableMembers(now)...)
	case phaseLeft:
		return nil, nil
	}
	for _, m := range c.applied.membership.Members {
		if c.gone[m.Incarnation] && !slices.Contains(remove, m.Incarnation) {
			remove = append(remove, m.Incarnation)
		}
	}
	return add, remove
}

// earlierIncarnations returns the other members at the address of this process;
// they are earlier incarnations of this process or of one that it replaced.
func (c *core) earlierIncarnations() []string {
	var found []string
	for _, m := range c.applied.membership.Members {
		if m.PeerAddress == c.self.PeerAddress && m.Incarnation != c.self.Incarnation {
			if processOf(m.Incarnation) != c.process {
				c.recordReplaced(c.now(), m.Incarnation)
			}
			found = append(found, m.Incarnation)
		}
	}
	return found
}

// removableMembers returns the members that a majority of witnesses report
// unresponsive, once it is the turn of this instance to propose their removal:
// the members wait for different times, so that they don't all propose it at
// once.
func (c *core) removableMembers(now time.Duration) []string {
	suspects := c.suspects(now)
	if len(suspects) == 0 {
		c.suspectedSince = 0
		return nil
	}
	if c.suspectedSince == 0 {
		c.suspectedSince = now
	}
	delay := time.Duration(0)
	for _, m := range c.applied.membership.Rank("removal") {
		if m.Incarnation == c.self.Incarnation {
			break
		}
		if !slices.Contains(suspects, m.Incarnation) {
			delay += removalTurnDelay
		}
	}
	if !c.fence.Valid(now) || now-c.suspectedSince < delay {
		return nil
	}
	return suspects
}

// suspects returns the members that a majority of the witnesses have recently
// reported unresponsive.
func (c *core) suspects(now time.Duration) []string {
	counts := map[string]int{}
	count := func(members []string) {
		for _, incarnation := range members {
			counts[incarnation]++
		}
	}
	for _, w := range c.applied.membership.Witnesses {
		if report, ok := c.witnessReports[w]; ok && now-report.receivedAt <= c.options.FenceValidity {
			count(report.members)
		}
	}
	if c.isWitness() {
		count(c.unresponsive)
	}
	var found []string
	for _, m := range c.applied.membership.Members {
		if m.Incarnation != c.self.Incarnation && counts[m.Incarnation] >= c.applied.membership.Majority() {
			found = append(found, m.Incarnation)
		}
	}
	return found
}

// checkInstanceList queries the platform's instance list for members that are
// gone, when for listQueryDelay no majority of witnesses has confirmed or the
// newest change has not been delivered.
func (c *core) checkInstanceList(now time.Duration) {
	if c.options.List == nil || c.queryingList || now < c.nextListQueryAt || c.applied.row.MembershipVersion == 0 || c.phase == phaseLeft {
		return
	}
	undelivered := !c.applied.row.Delivered && now-c.appliedAt >= listQueryDelay
	fenced := !c.fence.Valid(now) && now-c.fenceLostAt >= listQueryDelay
	if !undelivered && !fenced {
		c.unlistedSince = map[string]time.Duration{}
		return
	}
	c.queryingList = true
	list := c.options.List
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		listed, err := list.List(ctx)
		return func() {
			c.queryingList = false
			c.nextListQueryAt = c.now() + c.randomBetween(minPlatformRetry, maxPlatformRetry)
			if err == nil {
				c.compareWithList(c.now(), listed)
			}
		}
	})
}

// recordReplaced records that another process answers at the address of a
// member.
func (c *core) recordReplaced(now time.Duration, incarnation string) {
	if _, known := c.replacedSince[incarnation]; !known {
		c.replacedSince[incarnation] = now
	}
}

// checkReplaced declares members gone whose address another process has held,
// and from which nothing was received, for fence.SettleTime. The instance list
// cannot tell such members from their successors when it contains addresses
// only.
func (c *core) checkReplaced(now time.Duration) {
	for id, from := range c.replacedSince {
		if lastReceived, ok := c.lastReceived[id]; ok && now-lastReceived < c.options.RemoveAfter {
			continue
		}
		if !c.gone[id] && now-from >= fence.SettleTime(c.options.FenceValidity) {
			c.gone[id] = true
			c.checkDelivered()
		}
	}
}

// compareWithList declares members gone that have been missing from the
// instance list, and from which nothing was received, for fence.SettleTime. New
// members are exempt because the list shows new processes late. A list without
// this process proves nothing: it is empty, of another fleet or outdated.
func (c *core) compareWithList(now time.Duration, listed []platform.InstanceListEntry) {
	if !mayBeListed(c.self, listed) {
		c.unlistedSince = map[string]time.Duration{}
		return
	}
	for _, m := range c.allMembers() {
		id := m.Incarnation
		lastReceived, ok := c.lastReceived[id]
		alive := id == c.self.Incarnation || (ok && now-lastReceived < c.options.RemoveAfter) || now-c.listedSince[id] < maxListLag
		if alive || mayBeListed(m, listed) {
			delete(c.unlistedSince, id)
			continue
		}
		from, known := c.unlistedSince[id]
		if !known {
			c.unlistedSince[id] = now
		} else if now-from >= fence.SettleTime(c.options.FenceValidity) {
			c.gone[id] = true
		}
	}
	c.checkDelivered()
}

// mayBeListed reports whether the instance list may contain the process of this
// member: an entry with its process id, or one without a process id for one of
// its addresses. The list may show an earlier incarnation of the same process.
func mayBeListed(m membership.Member, listed []platform.InstanceListEntry) bool {
	return slices.ContainsFunc(listed, func(l platform.InstanceListEntry) bool {
		if l.Incarnation != "" {
			return processOf(l.Incarnation) == processOf(m.Incarnation)
		}
		return l.Address == m.PeerAddress || l.Address == m.CallerAddress
	})
}

// processOf returns the process id of an incarnation (see core.process).
func processOf(incarnation string) string {
	process, _, _ := strings.Cut(incarnation, ".")
	return process
}

// declareGone records the operator's statement that members will never answer
// again. It changes nothing if one of them is unknown or was recently active.
func (c *core) declareGone(incarnations []string) error {
	now := c.now()
	for _, id := range incarnations {
		if _, ok := c.listedSince[id]; !ok {
			return errors.WithStack(&UnknownMemberError{Incarnation: id})
		}
		if lastReceived, ok := c.lastReceived[id]; id == c.self.Incarnation || (ok && now-lastReceived < c.options.RemoveAfter) {
			return errors.WithStack(&MemberAliveError{Incarnation: id})
		}
	}
	for _, id := range incarnations {
		c.gone[id] = true
	}
	c.checkDelivered()
	return nil
}
