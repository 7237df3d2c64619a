package control

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/cockroachdb/errors"
)

// checkDelivered marks the newest change delivered in the head row once enough
// witnesses hold it. An instance that did not propose the change first leaves
// this to the proposer, until takeoverAt.
func (c *core) checkDelivered() {
	now := c.now()
	if c.applied.row.Delivered || c.markingDelivered || now < c.markRetryAt || (!c.ownChange && now < c.takeoverAt) {
		return
	}
	if !c.heldByMajority(c.applied.previous) || !c.heldByMajority(c.applied.membership) {
		return
	}
	c.markingDelivered = true
	row, store := c.applied.row, c.options.Store
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		marked, err := store.MarkDelivered(ctx, row)
		return func() {
			c.markingDelivered = false
			c.recordPlatformResult(err)
			c.handleMarked(row, marked, err)
		}
	})
}

// heldByMajority reports whether every majority of the witnesses that can
// answer includes a holder of the applied versions. Witnesses that are gone
// never answer. A membership without witnesses needs no holders.
func (c *core) heldByMajority(m *membership.Membership) bool {
	if len(m.Witnesses) == 0 {
		return true
	}
	count := 0
	for _, w := range m.Witnesses {
		if c.holders[processOf(w)] || c.gone[w] {
			count++
		}
	}
	return count >= m.Majority()
}

// handleMarked handles the result of marking the row as delivered; marked is
// the row as it is now.
func (c *core) handleMarked(row, marked head.Row, err error) {
	switch {
	case err != nil:
		c.markRetryAt = c.now() + c.randomBetween(minChangeRetry, maxChangeRetry)
	case versionsOf(marked) != versionsOf(row):
		c.nextPollAt = 0
	case versionsOf(marked) == c.appliedVersions():
		if !c.applied.row.Delivered {
			event.ConfigDelivered.Log(&c.options.Log).Int64("config", marked.ConfigVersion).
				Int64("membership", marked.MembershipVersion).Send()
		}
		c.updateRow(marked.Revision, marked.Delivered)
		c.sendHeartbeats()
	}
}

// pollHead reads the head row at a low rate.
func (c *core) pollHead(now time.Duration) {
	interval := c.options.PollInterval
	if size := len(c.applied.membership.Members); size > maxFullRatePollers {
		interval = interval * time.Duration(size) / maxFullRatePollers
	}
	c.nextPollAt = now + interval/2 + c.options.Jitter(interval)
	c.pollingHead = true
	c.refreshHead(func(error) { c.pollingHead = false })
}

// refreshHead reads the head row, applies it if it is newer, and calls then. If the row
// lacks what this instance holds, it is written again, and then gets *head.ConflictError.
func (c *core) refreshHead(then func(error)) {
	base, store := c.applied, c.options.Store
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		d := documents{}
		row, err := store.Read(ctx)
		lost := err == nil && row.Lacks(base.row)
		if err == nil && !lost && versionsOf(row).NewerThan(versionsOf(base.row)) {
			d, err = loadDocuments(ctx, store, base, row)
		} else {
			d.row = row
		}
		return func() {
			c.recordPlatformResult(err)
			switch {
			case err != nil:
			case lost:
				c.reinstate(base, row)
				err = errors.WithStack(&head.ConflictError{Row: row})
			default:
				c.apply(d, false)
			}
			then(err)
		}
	})
}

// recordPlatformResult tracks whether the platform answers. A malformed
// document counts as an answer.
func (c *core) recordPlatformResult(err error) {
	var unavailable *head.UnavailableError
	up := !errors.As(err, &unavailable)
	if err != nil && up {
		event.ConfigRejected.Log(&c.options.Log).Str("from", "platform").Err(err).Send()
	}
	if c.platformKnown && up == c.platformUp {
		return
	}
	if !up {
		event.PlatformUnavailable.Log(&c.options.Log).Err(err).Send()
	} else if c.platformKnown {
		event.PlatformAvailable.Log(&c.options.Log).Send()
	}
	c.platformKnown, c.platformUp = true, up
}
