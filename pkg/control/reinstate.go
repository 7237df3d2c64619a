package control

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/head"
)

// reinstate writes known, the state that this instance held before it read the row, on top
// of that row, which lacks it: the table was restored from a copy. Any instance may do so.
// The first one to write wins, and one that holds a newer state finds the row lacking again.
func (c *core) reinstate(known documents, row head.Row) {
	if c.reinstating {
		return
	}
	c.reinstating = true
	event.HeadLost.Log(&c.options.Log).Int64("revision", row.Revision).Int64("known_revision", known.row.Revision).
		Int64("config", row.ConfigVersion).Int64("known_config", known.row.ConfigVersion).
		Int64("membership", row.MembershipVersion).Int64("known_membership", known.row.MembershipVersion).Send()
	store, operation := c.options.Store, c.options.NewID()
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, platformTimeout)
		defer cancel()
		d := documents{}
		written, err := store.Reinstate(ctx, row, head.Known{
			Row: known.row, Config: known.configJSON, Membership: known.membership, Previous: known.previous,
		}, operation)
		if err == nil {
			d, err = loadDocuments(ctx, store, known, written)
		}
		return func() {
			c.reinstating = false
			var conflict *head.ConflictError
			if !errors.As(err, &conflict) {
				c.recordPlatformResult(err)
			}
			if err == nil {
				c.apply(d, true)
			}
		}
	})
}
