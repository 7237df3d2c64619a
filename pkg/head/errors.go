package head

import "fmt"

// StaleError reports that a change was based on a configuration version that is
// not the current one. Nothing was written.
type StaleError struct{ Expected, Current int64 }

// Error names both versions.
func (e *StaleError) Error() string {
	return fmt.Sprintf("configuration version %d is stale; the current version is %d", e.Expected, e.Current)
}

// UndeliveredError reports that the newest change is not delivered yet, so that
// no other change may be written.
type UndeliveredError struct{ Row Row }

// Error names the versions that are being delivered.
func (e *UndeliveredError) Error() string {
	return fmt.Sprintf("configuration version %d with membership version %d is not delivered yet",
		e.Row.ConfigVersion, e.Row.MembershipVersion)
}

// ConflictError reports that another writer changed the head row first. Nothing
// was written; the change may be tried again on top of Row.
type ConflictError struct{ Row Row }

// Error names the current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("another change was written first; the head row is at revision %d", e.Row.Revision)
}

// UnavailableError reports that the platform gave no usable answer. When
// OutcomeUnknown is set, the change may have been written.
type UnavailableError struct {
	OutcomeUnknown bool
	Cause          error
}

// Error says whether the outcome is known, and the cause.
func (e *UnavailableError) Error() string {
	if e.OutcomeUnknown {
		return "head row: outcome of the write is unknown: " + e.Cause.Error()
	}
	return "head row: platform is unavailable: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// CorruptError reports that a row or object does not have the form that this
// package writes.
type CorruptError struct {
	Name  string
	Cause error
}

// Error names the row or object and the cause.
func (e *CorruptError) Error() string { return e.Name + " is malformed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Cause }

// VersionMismatchError reports that a document has another version than the row
// that names it.
type VersionMismatchError struct{ Want, Got int64 }

// Error names both versions.
func (e *VersionMismatchError) Error() string {
	return fmt.Sprintf("document has version %d, expected %d", e.Got, e.Want)
}
