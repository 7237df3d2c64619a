package proxy

import "strconv"

// TargetWithdrawnError reports that a target went out of use after a request was assigned to
// it and before the request was written.
type TargetWithdrawnError struct{ Target string }

// Error names the target.
func (e *TargetWithdrawnError) Error() string { return "target " + e.Target + " went out of use" }

// ConnectError says that no connection to a target could be opened.
type ConnectError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ConnectError) Error() string { return "connect to " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ConnectError) Unwrap() error { return e.Cause }

// Stage is a step of an exchange with a target. Its value is part of error texts.
type Stage string

// Stages of an exchange, in order.
const (
	Writing          Stage = "write request"
	AwaitingResponse Stage = "await response"
	ReadingHeader    Stage = "read response header"
	ReadingBody      Stage = "read response body"
)

// ExchangeError says that an exchange with a target did not complete.
type ExchangeError struct {
	Stage Stage
	Cause error
}

// Error names the stage and the cause.
func (e *ExchangeError) Error() string { return string(e.Stage) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ExchangeError) Unwrap() error { return e.Cause }

// CloseDelimitedBodyError says that the end of the connection delimits a response's
// body. A complete body cannot be told from a truncated one without a length.
type CloseDelimitedBodyError struct{}

// Error describes the fault.
func (*CloseDelimitedBodyError) Error() string { return "the response body has no length" }

// MismatchedResponseError says that the responses on a connection belong to other requests.
type MismatchedResponseError struct{}

// Error describes the fault.
func (*MismatchedResponseError) Error() string { return "the response belongs to another request" }

// UnusableResponseError says that a complete response is not passed to the caller,
// because of its Verdict or because a server error is retried.
type UnusableResponseError struct{ Status int }

// Error describes the fault.
func (e *UnusableResponseError) Error() string {
	return "the target answered with status " + strconv.Itoa(e.Status)
}

// CallerGoneError says that the caller closed its connection.
type CallerGoneError struct{}

// Error describes the event.
func (*CallerGoneError) Error() string { return "the caller closed its connection" }

// AttemptTimeoutError says that an attempt was abandoned for a retry because no
// response had begun in its part of the time.
type AttemptTimeoutError struct{}

// Error describes the event.
func (*AttemptTimeoutError) Error() string {
	return "no response from the target within the time for one attempt"
}

// Timeout returns true, as net.Error does for timeouts.
func (*AttemptTimeoutError) Timeout() bool { return true }
