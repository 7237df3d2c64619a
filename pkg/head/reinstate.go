package head

import (
	"context"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Known is the newest state that an instance holds.
type Known struct {
	Row Row
	// Config is the configuration of the row as JSON, Membership its membership and
	// Previous the one before.
	Config               []byte
	Membership, Previous *membership.Membership
}

// Reinstate writes a known state again on top of the current row, which lacks it because the
// table was restored from a copy. If changes were written since the restore, those of the
// configuration stay, unless their number is that of the known one: then the known one gets
// the next number. The membership gets a number above both, so that instances with either one
// take it over. Errors: *ConflictError if another instance was first, *UnavailableError.
func (s *Store) Reinstate(ctx context.Context, current Row, known Known, operation string) (Row, error) {
	next := known.Row
	next.Revision = max(current.Revision, known.Row.Revision) + 1
	change := Change{Operation: next.Operation}
	if current.diverges(known.Row) || current.ConfigVersion > next.ConfigVersion || current.MembershipVersion > next.MembershipVersion {
		next.Operation, next.Delivered, next.Reinstated = operation, false, true
		next.MembershipVersion = max(current.MembershipVersion, next.MembershipVersion) + 1
		next.MembershipObject = objectName("membership", next.MembershipVersion, operation)
		next.PreviousMembershipObject = known.Row.MembershipObject
		members := *known.Membership
		members.Version = next.MembershipVersion
		if err := s.saveObject(ctx, next.MembershipObject, &members); err != nil {
			return Row{}, err
		}
		change = Change{Operation: operation, Membership: &members}
	}
	// The objects may be lost as well.
	if err := s.reinstateConfig(ctx, &next, current, known, operation); err != nil {
		return Row{}, err
	}
	if err := s.reinstateMembership(ctx, known.Row.MembershipObject, known.Membership); err != nil {
		return Row{}, err
	}
	if err := s.reinstateMembership(ctx, known.Row.PreviousMembershipObject, known.Previous); err != nil {
		return Row{}, err
	}
	if err := s.writeRow(ctx, current, next); err != nil {
		return s.resolveOutcome(ctx, current, next, change, err)
	}
	return next, nil
}

// reinstateMembership stores a membership if it is missing. Version 0 has no object.
func (s *Store) reinstateMembership(ctx context.Context, object string, m *membership.Membership) error {
	if object == "" {
		return nil
	}
	return s.saveObject(ctx, object, m)
}

// reinstateConfig sets the configuration of next and stores its document if that is missing.
func (s *Store) reinstateConfig(ctx context.Context, next *Row, current Row, known Known, operation string) error {
	switch {
	case current.ConfigVersion > known.Row.ConfigVersion || current.ConfigObject == known.Row.ConfigObject:
		next.ConfigVersion, next.ConfigObject = current.ConfigVersion, current.ConfigObject
		return nil
	case current.ConfigVersion == known.Row.ConfigVersion:
		next.ConfigVersion++
		next.ConfigObject = objectName("config", next.ConfigVersion, operation)
	}
	return s.saveObject(ctx, next.ConfigObject, ConfigDocument{
		Version: next.ConfigVersion, Operation: operation, Metadata: Metadata{Author: reinstatedAuthor, Time: s.clock.Now()},
		PreviousVersion: current.ConfigVersion, PreviousObject: current.ConfigObject, Config: known.Config,
	})
}

// reinstatedAuthor is the author of configuration documents that instances have written
// again; the first author is lost.
const reinstatedAuthor = "arbutus-entry (restored table)"
