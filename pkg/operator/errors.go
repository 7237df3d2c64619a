package operator

import "fmt"

// StaleVersionError reports that a patch was written against version Expected,
// while the newest version is Current.
type StaleVersionError struct{ Expected, Current int64 }

// Error names both versions.
func (e *StaleVersionError) Error() string {
	return fmt.Sprintf("the patch was written against version %d; the current version is %d", e.Expected, e.Current)
}

// PendingError reports that the previous change has not been delivered yet.
type PendingError struct{}

// Error asks to repeat the patch later.
func (*PendingError) Error() string {
	return "the previous change is still being delivered; repeat the patch in a moment"
}

// UnavailableError reports that the platform or the control loop gave no answer.
type UnavailableError struct {
	// OutcomeUnknown is set when a change may have taken effect.
	OutcomeUnknown bool
	Cause          error
}

// Error gives the cause.
func (e *UnavailableError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// ReplaceError reports why a replacement of the membership was refused.
type ReplaceError struct{ Reason string }

// Error gives the reason.
func (e *ReplaceError) Error() string { return "membership not replaced: " + e.Reason }

// requestError reports that a request to the API is malformed.
type requestError struct{ reason string }

func (e *requestError) Error() string { return e.reason }
