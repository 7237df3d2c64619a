package control

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/cockroachdb/errors"
)

// checkDelivered marks the newest change delivered once the witnesses hold it.
// An instance that did not propose the change waits for the proposer first.
func (c *core) checkDelivered() {
	now := c.now()
	if c.cur.row.Delivered || c.marking || now < c.markRetryAt || (!c.mine && now < c.takeoverAt) {
		return
	}
	if !c.covered(c.cur.previous) || !c.covered(c.cur.membership) {
		return
	}
	c.marking = true
	row, store := c.cur.row, c.o.Store
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		marked, err := store.MarkDelivered(ctx, row)
		return func() {
			c.marking = false
			c.notePlatform(err)
			c.onMarked(row, marked, err)
		}
	})
}

// covered tells whether no majority of the witnesses can answer without a
// holder of the applied versions among them. Witnesses that are gone never
// answer. A membership without witnesses covers nothing and needs nothing.
func (c *core) covered(m *membership.Membership) bool {
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

func (c *core) onMarked(row, marked head.Row, err error) {
	switch {
	case err != nil:
		c.markRetryAt = c.now() + c.between(changeRetryLow, changeRetryHigh)
	case versionsOf(marked) != versionsOf(row):
		c.nextPoll = 0
	case versionsOf(marked) == c.versions():
		if !c.cur.row.Delivered {
			event.ConfigDelivered.Log(&c.o.Log).Int64("config", marked.ConfigVersion).
				Int64("membership", marked.MembershipVersion).Send()
		}
		c.noteRow(marked.Revision, marked.Delivered)
		c.broadcast()
	}
}

// poll looks at the head row at a low rate.
func (c *core) poll(now time.Duration) {
	interval := c.o.PollInterval
	if size := len(c.cur.membership.Members); size > pollFleetSize {
		interval = interval * time.Duration(size) / pollFleetSize
	}
	c.nextPoll = now + interval/2 + c.o.Jitter(interval)
	c.polling = true
	c.refresh(func(error) { c.polling = false })
}

// refresh reads the head row and applies what is newer.
func (c *core) refresh(then func(error)) {
	base, store := c.cur, c.o.Store
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		d := documents{}
		row, err := store.Read(ctx)
		if err == nil && versionsOf(row).NewerThan(versionsOf(base.row)) {
			d, err = loadDocuments(ctx, store, base, row)
		} else {
			d.row = row
		}
		return func() {
			c.notePlatform(err)
			if err == nil {
				c.learn(d, false)
			}
			then(err)
		}
	})
}

// notePlatform follows whether the platform answers. A malformed document is
// an answer.
func (c *core) notePlatform(err error) {
	var unavailable *head.UnavailableError
	up := !errors.As(err, &unavailable)
	if err != nil && up {
		event.ConfigRejected.Log(&c.o.Log).Str("from", "platform").Err(err).Send()
	}
	if c.platformKnown && up == c.platformUp {
		return
	}
	if !up {
		event.PlatformUnavailable.Log(&c.o.Log).Err(err).Send()
	} else if c.platformKnown {
		event.PlatformAvailable.Log(&c.o.Log).Send()
	}
	c.platformKnown, c.platformUp = true, up
}
