package control

// StoppedError reports that the control loop is not running any more.
type StoppedError struct{}

// Error describes the state.
func (*StoppedError) Error() string { return "control loop has stopped" }

// NoAnswerError reports that the context ended before the loop answered.
type NoAnswerError struct{ Cause error }

// Error gives the cause.
func (e *NoAnswerError) Error() string { return "control loop did not answer: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *NoAnswerError) Unwrap() error { return e.Cause }

// MemberAliveError reports that a member that an operator declared gone has
// sent a message recently or is this instance itself.
type MemberAliveError struct{ Incarnation string }

// Error names the member.
func (e *MemberAliveError) Error() string {
	return "member " + e.Incarnation + " is alive and cannot be declared gone"
}

// UnknownMemberError reports that an incarnation is in neither the applied nor
// the previous membership.
type UnknownMemberError struct{ Incarnation string }

// Error names the incarnation.
func (e *UnknownMemberError) Error() string {
	return "incarnation " + e.Incarnation + " is not a member"
}

// IncompleteDocumentsError reports that another instance left out a document
// that this instance lacks.
type IncompleteDocumentsError struct{ Document string }

// Error names the document.
func (e *IncompleteDocumentsError) Error() string { return "peer sent no " + e.Document + " document" }

// MalformedError reports that a document sent between instances cannot be
// encoded or decoded.
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
