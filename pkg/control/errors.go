package control

// StoppedError says that the control loop does not run.
type StoppedError struct{}

// Error describes the state.
func (*StoppedError) Error() string { return "control loop has stopped" }

// NoAnswerError says that the context ended before the loop answered.
type NoAnswerError struct{ Cause error }

// Error gives the cause.
func (e *NoAnswerError) Error() string { return "control loop: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// MemberAliveError says that a member that was declared gone was heard from.
type MemberAliveError struct{ Incarnation string }

// Error names the member.
func (e *MemberAliveError) Error() string {
	return "member " + e.Incarnation + " was heard from and cannot be declared gone"
}

// UnknownMemberError says that an incarnation is in no current membership.
type UnknownMemberError struct{ Incarnation string }

// Error names the incarnation.
func (e *UnknownMemberError) Error() string {
	return "incarnation " + e.Incarnation + " is not a member"
}

// IncompleteDocumentsError says that a peer left out a document that this
// instance lacks.
type IncompleteDocumentsError struct{ Document string }

// Error names the document.
func (e *IncompleteDocumentsError) Error() string { return "peer sent no " + e.Document + " document" }

// MalformedError says that a peer sent a document that cannot be decoded.
type MalformedError struct {
	Document string
	Cause    error
}

// Error names the document and the cause.
func (e *MalformedError) Error() string {
	return "malformed " + e.Document + " document: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }
