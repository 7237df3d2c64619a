package fleet

import (
	"context"
	"time"
)

// Roster is the list of all instances in the platform's store. An instance has one entry, under
// its name. The store may lose entries: when it is restored from a copy, or when it performs a
// write seconds after the call.
type Roster interface {
	// Join writes the entry of an instance, over the one that it has.
	Join(ctx context.Context, m Member) error
	// ReadRoster returns all entries.
	ReadRoster(ctx context.Context) (RosterUpdate, error)
	// AwaitRoster returns the entries that have changed since a cursor, as soon as there are any,
	// or none if nothing changes for the given time. Errors also: *StaleCursorError.
	AwaitRoster(ctx context.Context, after RosterCursor, wait time.Duration) (RosterUpdate, error)
	// Leave removes the entry of an incarnation of an instance, and never that of a later one.
	Leave(ctx context.Context, m Member) error
}

// RosterUpdate are entries of the roster up to a cursor.
type RosterUpdate struct {
	Entries []RosterEntry
	Cursor  RosterCursor
}

// RosterEntry is the entry of one instance, or with Removed the news that it has none; only the
// name is known then.
type RosterEntry struct {
	Member
	Removed bool
}

// RosterCursor is a position in the history of the store. Versions of different eras, which begin
// with a restore, cannot be compared.
type RosterCursor struct{ Version, Era int64 }

// StaleCursorError says that the store no longer has the changes since a cursor, so that the
// roster must be read again.
type StaleCursorError struct{ Cause error }

// Error gives the cause.
func (e *StaleCursorError) Error() string { return "the roster must be read again: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *StaleCursorError) Unwrap() error { return e.Cause }

// rosterCall is a call of the Roster.
type rosterCall int

const (
	writeEntry rosterCall = iota
	readRoster
	awaitRoster
)

// rosterSync decides which call of the Roster comes next, so that the own entry is there and no
// entry of another instance is missed. It has no clock and no network of its own.
//
// An instance that follows the roster writes its entry whenever it finds that it is missing or not
// its own, and learns of each entry that is there when it reads the roster or is written later. So
// of any two such instances at least one learns of the other.
type rosterSync struct {
	self Member
	// written says that the own entry is there as far as is known, read that cursor is valid.
	written, read bool
	cursor        RosterCursor
	// writeAt is the time since boot from which on the own entry may be written: two processes of
	// one name would otherwise write without end. readAt is that of the last answer that brought
	// entries or the news that there are none. failing says that the last call failed.
	writeAt, readAt time.Duration
	failing         bool
}

// next returns the next call.
func (s *rosterSync) next() rosterCall {
	switch {
	case !s.written:
		return writeEntry
	case !s.read:
		return readRoster
	default:
		return awaitRoster
	}
}

// update takes the result of readRoster or awaitRoster. lost says that the own entry was missing
// or that of another incarnation.
func (s *rosterSync) update(call rosterCall, u RosterUpdate) (lost bool) {
	if call == readRoster {
		s.written = false
	}
	for _, e := range u.Entries {
		if e.Instance == s.self.Instance {
			s.written = !e.Removed && e.Member == s.self
		}
	}
	s.read, s.cursor = true, u.Cursor
	return !s.written
}
