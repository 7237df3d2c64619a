// Package refusal defines the error responses that arbutuslink itself sends to a
// caller in place of a target's response. Codes are stable, so that callers can
// depend on them. docs/refusals.md lists them.
package refusal

import (
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome tells the caller whether the refused request may have run at a target.
type Outcome string

// Outcomes as they appear in the OutcomeHeader.
const (
	// OutcomeNotRun means that no target can have acted on the request.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "unknown"
)

// Headers of a refusal.
const (
	// OutcomeHeader carries the Outcome.
	OutcomeHeader = "X-Arbutus-Outcome"
	// CodeHeader carries the Code.
	CodeHeader = "X-Arbutus-Code"
)

// Code identifies a kind of refusal.
type Code string

// Kind describes all refusals with one code.
type Kind struct {
	Code Code
	// Status is the HTTP status of the response.
	Status  int
	Outcome Outcome
	// Meaning is one sentence that explains the refusal to the caller.
	Meaning string
}

// Refusal is the refusal of one request. It is an error.
type Refusal struct {
	Kind
	// RetryAfter is the time after which the caller should retry; if it is zero,
	// the response does not say when.
	RetryAfter time.Duration
	// Cause is only logged, never sent to the caller.
	Cause error
}

// Error returns the code with the cause, or with the meaning if there is no cause.
func (r *Refusal) Error() string {
	if r.Cause == nil {
		return string(r.Code) + ": " + r.Meaning
	}
	return string(r.Code) + ": " + r.Cause.Error()
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// New returns a refusal of kind k. cause may be nil.
func New(k Kind, cause error) *Refusal { return &Refusal{Kind: k, Cause: cause} }

// WithRetryAfter returns a refusal of kind k that asks the caller to retry after wait.
func WithRetryAfter(k Kind, wait time.Duration) *Refusal { return &Refusal{Kind: k, RetryAfter: wait} }

// The kinds of refusals.
var (
	KeyMissing       = Kind{"key_missing", fasthttp.StatusUnauthorized, OutcomeNotRun, "the request carries no key"}
	KeyInvalid       = Kind{"key_invalid", fasthttp.StatusUnauthorized, OutcomeNotRun, "the key is unknown or withdrawn"}
	KeyMisplaced     = Kind{"key_misplaced", fasthttp.StatusBadRequest, OutcomeNotRun, "the key appears outside the key header"}
	RequestInvalid   = Kind{"request_invalid", fasthttp.StatusBadRequest, OutcomeNotRun, "the request is malformed"}
	BatchExpired     = Kind{"batch_expired", fasthttp.StatusForbidden, OutcomeNotRun, "the contract of the team's batch has expired"}
	RouteUnknown     = Kind{"route_unknown", fasthttp.StatusNotFound, OutcomeNotRun, "no route matches the request"}
	RouteClosed      = Kind{"route_closed", fasthttp.StatusForbidden, OutcomeNotRun, "the route is not open to the team"}
	RateExceeded     = Kind{"rate_exceeded", fasthttp.StatusTooManyRequests, OutcomeNotRun, "the team has used up its rate and burst"}
	RateUnavailable  = Kind{"rate_unavailable", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "no token issuer of the team could be reached"}
	InstanceNotFresh = Kind{"instance_not_fresh", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "the instance cannot tell whether its configuration is current; use another address"}
	DuplicateRequest = Kind{"duplicate_request", fasthttp.StatusConflict, OutcomeUnknown, "a request with this idempotency key was accepted before"}
	ClaimUnavailable = Kind{"claim_unavailable", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "the idempotency key could not be recorded"}
	Overloaded       = Kind{"overloaded", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "no target had room before the request's deadline"}
	NoTarget         = Kind{"no_target", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "no target can take the request"}
	ConnectFailed    = Kind{"connect_failed", fasthttp.StatusBadGateway, OutcomeNotRun, "no connection to a target could be opened"}
	TargetShed       = Kind{"target_shed", fasthttp.StatusServiceUnavailable, OutcomeUnknown, "the target says that it refused the request because of load"}
	TargetFailed     = Kind{"target_failed", fasthttp.StatusBadGateway, OutcomeUnknown, "the target's answer was broken or missing"}
	TargetTimeout    = Kind{"target_timeout", fasthttp.StatusGatewayTimeout, OutcomeUnknown, "the target did not answer before the deadline"}
	RequestTooLarge  = Kind{"request_too_large", fasthttp.StatusRequestEntityTooLarge, OutcomeNotRun, "the request body exceeds the limit"}
	Quarantined      = Kind{"request_quarantined", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "the request has crashed the targets that ran it and is not sent to further ones"}
	ShuttingDown     = Kind{"shutting_down", fasthttp.StatusServiceUnavailable, OutcomeNotRun, "the instance is shutting down; use another address"}
)

// Kinds returns all kinds. A test checks docs/refusals.md against it.
func Kinds() []Kind {
	return []Kind{
		KeyMissing, KeyInvalid, KeyMisplaced, RequestInvalid, BatchExpired, RouteUnknown, RouteClosed,
		RateExceeded, RateUnavailable, InstanceNotFresh, DuplicateRequest, ClaimUnavailable, Overloaded, NoTarget,
		ConnectFailed, TargetShed, TargetFailed, TargetTimeout, RequestTooLarge, Quarantined, ShuttingDown,
	}
}
