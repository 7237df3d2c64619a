package control

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/cockroachdb/errors"
)

const (
	// Delay before another attempt to write a configuration while another change
	// is undelivered.
	minProposeRetry = 20 * time.Millisecond
	maxProposeRetry = 100 * time.Millisecond
)

// ChangeFunc returns the successor of a configuration, which it must not
// modify. It may be called more than once.
type ChangeFunc func(*config.Config) (*config.Config, error)

// ProposeConfig writes the successor of the expected configuration version and
// returns its number. Until ctx ends, it waits for other changes to be
// delivered. Errors: those of change, *head.StaleError with the current number,
// *head.UndeliveredError when ctx ends while waiting, *head.UnavailableError
// (see OutcomeUnknown), *config.InvalidError, *StoppedError, *NoAnswerError.
func (l *Loop) ProposeConfig(ctx context.Context, expected int64, change ChangeFunc, meta head.Metadata) (int64, error) {
	for {
		base, err := l.documents()
		if err != nil {
			return 0, err
		}
		d, err := proposeConfig(ctx, &l.core.options, base, expected, change, meta)
		var undelivered *head.UndeliveredError
		var conflict *head.ConflictError
		switch {
		case err == nil:
			// If the loop has stopped, the other instances complete the delivery.
			_ = l.do(ctx, func() { l.core.applyProposed(d) })
			return expected + 1, nil
		case errors.As(err, &undelivered), errors.As(err, &conflict):
			// The proposer of the undelivered change may have died, so poll the
			// head row soon.
			if doErr := l.do(ctx, func() { l.core.nextPollAt = min(l.core.nextPollAt, l.core.now()+checkInterval) }); doErr != nil {
				return 0, err
			}
			if l.core.options.Clock.Sleep(ctx, l.core.randomBetween(minProposeRetry, maxProposeRetry)) != nil {
				return 0, err
			}
		default:
			return 0, err
		}
	}
}

// proposeConfig makes one attempt. When the row that it returns carries other
// versions than those written, only the row is set.
func proposeConfig(ctx context.Context, options *Options, base documents, expected int64, change ChangeFunc, meta head.Metadata) (documents, error) {
	none := documents{}
	row, err := options.Store.Read(ctx)
	if err != nil {
		return none, err
	}
	if row.Lacks(base.row) {
		// It is about to be written again, with the version that the operator knows.
		return none, errors.WithStack(&head.UndeliveredError{Row: row})
	}
	if row.ConfigVersion != expected {
		return none, errors.WithStack(&head.StaleError{Expected: expected, Current: row.ConfigVersion})
	}
	if !row.Delivered {
		return none, errors.WithStack(&head.UndeliveredError{Row: row})
	}
	current, err := loadDocuments(ctx, options.Store, base, row)
	if err != nil {
		return none, err
	}
	changed, err := change(current.config.Config)
	if err != nil {
		return none, err
	}
	configJSON, err := changed.Encode()
	if err != nil {
		return none, err
	}
	d := documents{row: head.Row{ConfigVersion: expected + 1}, membership: current.membership, previous: current.membership}
	// Parse the encoded form, so that an invalid configuration is never written.
	if err := d.setConfig(configJSON); err != nil {
		return none, err
	}
	written, err := options.Store.Propose(ctx, row, head.Change{Operation: options.NewID(), Config: configJSON, Metadata: meta})
	if err != nil {
		return none, err
	}
	if written.ConfigVersion != expected+1 || written.MembershipVersion != row.MembershipVersion {
		return documents{row: written}, nil
	}
	d.row = written
	return d, nil
}

// applyProposed applies a configuration that this instance has written, and
// delivers it. If the head row already carries other versions, it polls the row
// at once.
func (c *core) applyProposed(d documents) {
	if d.config == nil {
		c.nextPollAt = 0
		return
	}
	c.apply(d, true)
}

// VersionState tells how far a configuration version has been put in force.
type VersionState string

// States of a configuration version.
const (
	// Unknown versions have not been seen by this instance.
	Unknown VersionState = "unknown"
	// Accepted versions are written and are being delivered to a majority of the
	// witnesses.
	Accepted VersionState = "accepted"
	// Settling versions are delivered; instances that have not applied them stop
	// serving within the fence validity plus clock drift.
	Settling VersionState = "being_put_in_force"
	// InForce versions or newer ones are applied by every instance that admits
	// requests.
	InForce VersionState = "in_force"
)

// Status is the state of one configuration version as this instance knows it.
type Status struct {
	Version int64        `json:"version"`
	State   VersionState `json:"state"`
	// InForceIn is the time until the version is in force; 0 unless the state is
	// Settling.
	InForceIn time.Duration `json:"in_force_in_ns"`
}

// Status returns the state of a configuration version. Errors: *StoppedError,
// *NoAnswerError.
func (l *Loop) Status(ctx context.Context, version int64) (Status, error) {
	var status Status
	err := l.do(ctx, func() { status = l.core.status(version) })
	return status, err
}

func (c *core) status(version int64) Status {
	current := c.applied.row.ConfigVersion
	if version > current {
		return Status{Version: version, State: Unknown}
	}
	// The delivery of a later version is an upper bound for that of an earlier
	// one.
	delivered, known := time.Duration(0), false
	for v, at := range c.configDeliveredAt {
		if v >= version && (!known || at < delivered) {
			delivered, known = at, true
		}
	}
	if !known {
		return Status{Version: version, State: Accepted}
	}
	if wait := delivered + fence.SettleTime(c.options.FenceValidity) - c.now(); wait > 0 {
		return Status{Version: version, State: Settling, InForceIn: wait}
	}
	return Status{Version: version, State: InForce}
}
