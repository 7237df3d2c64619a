package head

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/cockroachdb/errors"
)

const (
	// rowKey is the key of the head row in the table.
	rowKey = "head"
	// maxAttempts bounds the attempts of one platform call whose outcome is
	// unknown.
	maxAttempts = 4
	// firstRetryDelay is the mean delay before the first retry; it doubles per
	// retry.
	firstRetryDelay = 25 * time.Millisecond
)

// Store reads and writes the head row and the documents that it names. It keeps
// no state and is safe for concurrent use.
type Store struct {
	table   platform.Table
	objects platform.ObjectStore
	clock   clock.Clock
}

// NewStore returns a store that uses the services of the platform.
func NewStore(table platform.Table, objects platform.ObjectStore, clk clock.Clock) *Store {
	return &Store{table: table, objects: objects, clock: clk}
}

// Change is a new configuration, a new membership or both.
type Change struct {
	// Operation is the id of this change. It is unique; retries use the same
	// value.
	Operation string
	// Config is the new configuration as JSON; nil leaves it unchanged.
	Config   []byte
	Metadata Metadata
	// Membership is the new membership; nil leaves it unchanged.
	Membership *membership.Membership
}

// Read returns the current row. Before the first write this is a delivered row
// with all versions 0. Errors: *UnavailableError, *CorruptError.
func (s *Store) Read(ctx context.Context) (Row, error) {
	var item platform.Item
	err := s.retry(ctx, func() error {
		var err error
		item, err = s.table.Get(ctx, rowKey)
		return err
	})
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Row{Delivered: true}, nil
	}
	if err != nil {
		return Row{}, errors.WithStack(&UnavailableError{Cause: err})
	}
	return parseRow(item)
}

// Propose writes a change on top of base, which must be a row that was read
// before. It returns the row that it wrote, or a later one that contains the
// change. Errors: *UndeliveredError, *StaleError, *ConflictError (nothing was
// written), *UnavailableError.
func (s *Store) Propose(ctx context.Context, base Row, change Change) (Row, error) {
	if !base.Delivered {
		return Row{}, errors.WithStack(&UndeliveredError{Row: base})
	}
	next := base
	next.Revision++
	next.Delivered, next.Reinstated = false, false
	next.Operation = change.Operation
	next.PreviousMembershipObject = base.MembershipObject
	if change.Config != nil {
		next.ConfigVersion++
		next.ConfigObject = objectName("config", next.ConfigVersion, change.Operation)
		doc := ConfigDocument{
			Version: next.ConfigVersion, Operation: change.Operation, Metadata: change.Metadata,
			PreviousVersion: base.ConfigVersion, PreviousObject: base.ConfigObject, Config: change.Config,
		}
		if err := s.saveObject(ctx, next.ConfigObject, doc); err != nil {
			return Row{}, err
		}
	}
	if change.Membership != nil {
		next.MembershipVersion++
		next.MembershipObject = objectName("membership", next.MembershipVersion, change.Operation)
		if err := checkVersion(next.MembershipObject, next.MembershipVersion, change.Membership.Version); err != nil {
			return Row{}, err
		}
		if err := s.saveObject(ctx, next.MembershipObject, change.Membership); err != nil {
			return Row{}, err
		}
	}
	err := s.writeRow(ctx, base, next)
	if err == nil {
		return next, nil
	}
	return s.resolveOutcome(ctx, base, next, change, err)
}

// MarkDelivered records that the newest change of the row is delivered and
// returns the current row, which may be newer. Errors: *UnavailableError.
func (s *Store) MarkDelivered(ctx context.Context, row Row) (Row, error) {
	if row.Delivered {
		return row, nil
	}
	next := row
	next.Revision++
	// The operation id stays, so that the proposer can still recognise its
	// write.
	next.Delivered = true
	err := s.writeRow(ctx, row, next)
	if err == nil {
		return next, nil
	}
	var condition *platform.ConditionError
	if errors.As(err, &condition) {
		return s.Read(ctx)
	}
	return Row{}, errors.WithStack(&UnavailableError{OutcomeUnknown: true, Cause: err})
}

// writeRow replaces base by next if the row still carries the operation of base; a table
// that was restored from a copy gives revisions out again. When the outcome is unknown,
// it retries with the same condition, so that the write takes effect at most once.
func (s *Store) writeRow(ctx context.Context, base, next Row) error {
	condition := platform.Condition{Absent: true}
	if base.Revision > 0 {
		condition = platform.Condition{Attribute: "operation", Equals: base.Operation}
	}
	return s.retry(ctx, func() error { return s.table.Put(ctx, rowKey, next.item(), condition) })
}

// resolveOutcome finds out whether a write took effect when its condition
// failed on the last attempt or all its answers were lost.
func (s *Store) resolveOutcome(ctx context.Context, base, next Row, change Change, cause error) (Row, error) {
	var condition *platform.ConditionError
	conditionFailed := errors.As(cause, &condition)
	current, err := s.Read(ctx)
	if err != nil {
		return Row{}, errors.WithStack(&UnavailableError{OutcomeUnknown: true, Cause: cause})
	}
	written, err := s.containsChange(ctx, current, next, change)
	switch {
	case err != nil:
		return Row{}, errors.WithStack(&UnavailableError{OutcomeUnknown: true, Cause: err})
	case written:
		return current, nil
	case !conditionFailed && current.Revision == base.Revision:
		// The last attempt may still take effect.
		return Row{}, errors.WithStack(&UnavailableError{OutcomeUnknown: true, Cause: cause})
	case change.Config != nil && current.ConfigVersion != base.ConfigVersion:
		return Row{}, errors.WithStack(&StaleError{Expected: base.ConfigVersion, Current: current.ConfigVersion})
	case !current.Delivered:
		return Row{}, errors.WithStack(&UndeliveredError{Row: current})
	default:
		return Row{}, errors.WithStack(&ConflictError{Row: current})
	}
}

// containsChange reports whether the change is part of the history of the
// current row. A configuration is searched along the chain of previous objects.
// A change of the membership alone is recognised only while the row carries its
// operation id; its proposer finds the effect in the membership itself.
func (s *Store) containsChange(ctx context.Context, current, next Row, change Change) (bool, error) {
	if current.Operation == change.Operation {
		return true, nil
	}
	if change.Config == nil {
		return false, nil
	}
	name, version := current.ConfigObject, current.ConfigVersion
	for version > next.ConfigVersion {
		doc, err := s.loadConfig(ctx, name, version)
		if err != nil {
			return false, err
		}
		name, version = doc.PreviousObject, doc.PreviousVersion
	}
	return version == next.ConfigVersion && name == next.ConfigObject, nil
}

// saveObject stores a document under a name that contains the id of its
// operation.
func (s *Store) saveObject(ctx context.Context, name string, document any) error {
	data, err := json.Marshal(document)
	if err != nil {
		return errors.WithStack(&CorruptError{Name: name, Cause: err})
	}
	err = s.retry(ctx, func() error { return s.objects.Put(ctx, name, data) })
	var exists *platform.ConditionError
	if err == nil || errors.As(err, &exists) {
		// The name contains the operation id, so an existing object is this document.
		return nil
	}
	return errors.WithStack(&UnavailableError{Cause: err})
}

func objectName(kind string, version int64, operation string) string {
	return kind + "/" + strconv.FormatInt(version, 10) + "-" + operation
}

// retry repeats a platform call while its outcome is unknown. It gives up after
// maxAttempts attempts or when ctx ends, and returns the last error.
func (s *Store) retry(ctx context.Context, call func() error) error {
	delay := firstRetryDelay
	for attempt := 1; ; attempt++ {
		err := call()
		var unknown *platform.UnavailableError
		if err == nil || !errors.As(err, &unknown) || attempt == maxAttempts {
			return err
		}
		if s.clock.Sleep(ctx, delay/2+rand.N(delay)) != nil {
			return err
		}
		delay *= 2
	}
}
