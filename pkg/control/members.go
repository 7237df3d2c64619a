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

// pursue writes the membership change that this instance wants, if any.
func (c *core) pursue(now time.Duration) {
	if c.changing || now < c.nextChange {
		return
	}
	c.finishLeaving()
	if add, remove := c.wanted(now); len(add)+len(remove) == 0 {
		return
	}
	c.changing = true
	c.refresh(func(err error) {
		now := c.now()
		add, remove := c.wanted(now)
		if err != nil || !c.cur.row.Delivered || len(add)+len(remove) == 0 {
			c.changed(err)
			return
		}
		c.propose(c.cur, c.cur.membership.With(add, remove, c.o.MaxWitnesses))
	})
}

func (c *core) propose(base documents, next *membership.Membership) {
	store, operation := c.o.Store, c.o.NewID()
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		row, err := store.Propose(ctx, base.row, head.Change{Operation: operation, Membership: next})
		return func() {
			c.changed(err)
			if err != nil {
				return
			}
			c.notePlatform(nil)
			c.logRemoved(base.membership, next)
			c.learn(documents{
				row: row, config: base.config, raw: base.raw, membership: next, previous: base.membership,
			}, true)
		}
	})
}

// leave starts the removal of this instance.
func (c *core) leave() {
	if c.phase == left {
		return
	}
	c.phase = leaving
	c.nextChange = 0
	c.finishLeaving()
	c.publish()
}

// finishLeaving ends leaving at once when this instance is not listed and no
// write that may list it is under way.
func (c *core) finishLeaving() {
	if c.phase == leaving && !c.changing {
		c.updatePhase()
		c.publish()
	}
}

// changed ends a try to change the membership.
func (c *core) changed(err error) {
	c.changing = false
	c.nextChange = c.now() + c.between(changeRetryLow, changeRetryHigh)
	var unavailable *head.UnavailableError
	if errors.As(err, &unavailable) {
		c.notePlatform(err)
		c.nextChange = c.now() + c.between(platformRetryLow, platformRetryHigh)
	}
}

func (c *core) logRemoved(before, after *membership.Membership) {
	for _, m := range before.Members {
		if _, kept := after.Find(m.Incarnation); kept || m.Incarnation == c.self.Incarnation {
			continue
		}
		event.MemberRemoved.Log(&c.o.Log).Str("incarnation", m.Incarnation).Str("instance", m.Instance).Send()
	}
	if lost := countOf(before.Witnesses, c.gone); lost >= before.Majority() {
		event.MajorityReplaced.Log(&c.o.Log).Int("lost_witnesses", lost).Send()
	}
}

func countOf(incarnations []string, in map[string]bool) int {
	count := 0
	for _, i := range incarnations {
		if in[i] {
			count++
		}
	}
	return count
}

// wanted returns the members that this instance wants to add and remove now.
func (c *core) wanted(now time.Duration) (add []membership.Member, remove []string) {
	_, listed := c.cur.membership.Find(c.self.Incarnation)
	switch c.phase {
	case joining, guest:
		if !listed {
			add = append(add, c.self)
			remove = append(remove, c.predecessors()...)
		}
	case leaving:
		if listed {
			remove = append(remove, c.self.Incarnation)
		}
	case member:
		remove = append(remove, c.removable(now)...)
	case left:
		return nil, nil
	}
	for _, m := range c.cur.membership.Members {
		if c.gone[m.Incarnation] && !slices.Contains(remove, m.Incarnation) {
			remove = append(remove, m.Incarnation)
		}
	}
	return add, remove
}

// predecessors are the earlier incarnations behind the address of this process.
func (c *core) predecessors() []string {
	var found []string
	for _, m := range c.cur.membership.Members {
		if m.PeerAddress == c.self.PeerAddress && m.Incarnation != c.self.Incarnation {
			if processOf(m.Incarnation) != c.process {
				c.noteReplaced(c.now(), m.Incarnation)
			}
			found = append(found, m.Incarnation)
		}
	}
	return found
}

// removable returns the members that a majority of witnesses report unheard,
// once it is the turn of this instance to propose their removal.
func (c *core) removable(now time.Duration) []string {
	suspects := c.suspects(now)
	if len(suspects) == 0 {
		c.suspectedFrom = 0
		return nil
	}
	if c.suspectedFrom == 0 {
		c.suspectedFrom = now
	}
	turn := time.Duration(0)
	for _, m := range c.cur.membership.Rank("removal") {
		if m.Incarnation == c.self.Incarnation {
			break
		}
		if !slices.Contains(suspects, m.Incarnation) {
			turn += rankDelay
		}
	}
	if !c.fence.Valid(now) || now-c.suspectedFrom < turn {
		return nil
	}
	return suspects
}

func (c *core) suspects(now time.Duration) []string {
	counts := map[string]int{}
	count := func(unheard []string) {
		for _, incarnation := range unheard {
			counts[incarnation]++
		}
	}
	for _, w := range c.cur.membership.Witnesses {
		if report, ok := c.reports[w]; ok && now-report.at <= c.o.F {
			count(report.unheard)
		}
	}
	if c.isWitness() {
		count(c.silent)
	}
	var found []string
	for _, m := range c.cur.membership.Members {
		if m.Incarnation != c.self.Incarnation && counts[m.Incarnation] >= c.cur.membership.Majority() {
			found = append(found, m.Incarnation)
		}
	}
	return found
}

// checkLost asks the platform's list for lost members when no majority of
// witnesses has answered for long or a change cannot be delivered.
func (c *core) checkLost(now time.Duration) {
	if c.o.List == nil || c.listing || now < c.nextList || c.cur.row.MembershipVersion == 0 || c.phase == left {
		return
	}
	undelivered := !c.cur.row.Delivered && now-c.learnedAt >= lostAfter
	fenced := !c.fence.Valid(now) && now-c.freshLostAt >= lostAfter
	if !undelivered && !fenced {
		c.unlisted = map[string]time.Duration{}
		return
	}
	c.listing = true
	list := c.o.List
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		listed, err := list.List(ctx)
		return func() {
			c.listing = false
			c.nextList = c.now() + c.between(platformRetryLow, platformRetryHigh)
			if err == nil {
				c.compareList(c.now(), listed)
			}
		}
	})
}

// noteReplaced records that another process answers at the address of a member.
func (c *core) noteReplaced(now time.Duration, incarnation string) {
	if _, known := c.replaced[incarnation]; !known {
		c.replaced[incarnation] = now
	}
}

// checkReplaced takes members for gone whose address another process has held,
// and which were silent, for F plus drift. The list cannot tell such members
// from their successors when it names addresses only.
func (c *core) checkReplaced(now time.Duration) {
	for id, from := range c.replaced {
		if heard, ok := c.heard[id]; ok && now-heard < c.o.RemoveAfter {
			continue
		}
		if !c.gone[id] && now-from >= fence.SettleTime(c.o.F) {
			c.gone[id] = true
			c.checkDelivered()
		}
	}
}

// compareList takes members for gone that have been absent from the list, and
// silent, for F plus drift. The list shows new processes late. A list without
// this process is empty, of another fleet or too old, and tells nothing.
func (c *core) compareList(now time.Duration, listed []platform.Listed) {
	if !onList(c.self, listed) {
		c.unlisted = map[string]time.Duration{}
		return
	}
	for _, m := range c.members() {
		id := m.Incarnation
		heard, ok := c.heard[id]
		alive := id == c.self.Incarnation || (ok && now-heard < c.o.RemoveAfter) || now-c.since[id] < listLag
		if alive || onList(m, listed) {
			delete(c.unlisted, id)
			continue
		}
		from, known := c.unlisted[id]
		if !known {
			c.unlisted[id] = now
		} else if now-from >= fence.SettleTime(c.o.F) {
			c.gone[id] = true
		}
	}
	c.checkDelivered()
}

// onList tells whether the list may mean the process of this member: an entry
// for one of its addresses that names no other process. The list may show an
// earlier incarnation of the same process.
func onList(m membership.Member, listed []platform.Listed) bool {
	return slices.ContainsFunc(listed, func(l platform.Listed) bool {
		if l.Incarnation != "" {
			return processOf(l.Incarnation) == processOf(m.Incarnation)
		}
		return l.Address == m.PeerAddress || l.Address == m.CallerAddress
	})
}

func processOf(incarnation string) string {
	process, _, _ := strings.Cut(incarnation, ".")
	return process
}

// declareGone is the operator's word that members will never answer again.
func (c *core) declareGone(incarnations []string) error {
	now := c.now()
	for _, id := range incarnations {
		if _, ok := c.since[id]; !ok {
			return errors.WithStack(&UnknownMemberError{Incarnation: id})
		}
		if heard, ok := c.heard[id]; id == c.self.Incarnation || (ok && now-heard < c.o.RemoveAfter) {
			return errors.WithStack(&MemberAliveError{Incarnation: id})
		}
	}
	for _, id := range incarnations {
		c.gone[id] = true
	}
	c.checkDelivered()
	return nil
}
