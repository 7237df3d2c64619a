// Package proxy is the data path: it authenticates a caller's request, admits
// it, forwards it to a target and returns the complete response.
package proxy

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Limiter admits requests within a team's rate and burst.
type Limiter interface {
	// Take spends one token of the team and may wait until ctx ends. Errors are
	// *refusal.Refusal (rate_exceeded, rate_unavailable, instance_not_fresh).
	Take(ctx context.Context, team string) error
}

// Request describes a request to the components that place it.
type Request struct {
	// ID is the caller's id of the request, for logs.
	ID string
	// Team is empty for a request without a key on a public route.
	Team       string
	Batch      string
	Route      string
	Service    string
	Idempotent bool
	// Priority ranks requests when targets are full; 0 is the highest.
	Priority int
	// Objective is the latency within which a response has its full value.
	Objective time.Duration
	// Deadline is in time since boot.
	Deadline time.Duration
}

// Queue orders requests by batch share and team when targets are the bottleneck.
type Queue interface {
	// Enter waits for a place. The caller must call leave exactly once.
	// Errors are *refusal.Refusal (overloaded).
	Enter(ctx context.Context, r Request) (leave func(), err error)
}

// Result is how one attempt at a target ended.
type Result int

// Results of attempts.
const (
	// Answered means that a complete response arrived that is no server error.
	Answered Result = iota
	// ServerError means that a complete response with a status of 500 or more arrived.
	ServerError
	// Shed means that the target refused because of load.
	Shed
	// Misplaced means that another target has the address.
	Misplaced
	// TimedOut means that no complete response arrived in time.
	TimedOut
	// Broken means that the connection failed or the response was malformed.
	Broken
	// NotSent means that no byte reached the target.
	NotSent
	// Canceled means that the caller went away or another attempt won.
	Canceled
)

// String names the result.
func (r Result) String() string {
	names := [...]string{
		"answered", "server_error", "shed", "misplaced", "timed_out", "broken", "not_sent", "canceled",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Load is what a target said about itself in a response.
type Load struct {
	// Known is false when the response carried no load header.
	Known    bool
	InFlight int
	Queued   int
	Draining bool
}

// Attempt is one request's place at one target. Done must be called exactly once.
type Attempt interface {
	Target() string
	Address() string
	// Done reports the result and the time from the first byte written.
	Done(result Result, latency time.Duration, load Load)
}

// PatientAttempt is implemented by attempts whose balancer knows how long a
// response usually takes.
type PatientAttempt interface {
	Attempt
	// Patience is the time without a response after which an idempotent request
	// may go to another target; 0 leaves it to the data path.
	Patience() time.Duration
}

// ReasonedAttempt is implemented by attempts whose balancer can say why it
// chose the target.
type ReasonedAttempt interface {
	Attempt
	// Reason names the inputs of the choice, for logs.
	Reason() string
}

// Trail is one attempt in the record of a request.
type Trail struct {
	Target string
	// Reason names the inputs of the choice of the target.
	Reason  string
	Result  Result
	Latency time.Duration
}

// Record is what happened to one request, for logs and metrics.
type Record struct {
	Request Request
	// ConfigVersion decided on the request.
	ConfigVersion int64
	// Status is what the caller got; Refusal is empty for a target's response.
	Status  int
	Refusal refusal.Code
	Cause   error
	// Elapsed is the time from the complete request to the response, Queued the
	// part of it before the first attempt.
	Elapsed, Queued time.Duration
	Trail           []Trail
}

// Recorder learns what happened to each request. It must not keep the trail.
type Recorder interface{ Record(Record) }

// Balancer chooses targets.
type Balancer interface {
	// Acquire chooses a target that is not in tried. Errors are
	// *refusal.Refusal (no_target, overloaded).
	Acquire(r Request, tried []string) (Attempt, error)
	// MayRetry spends the route's retry budget.
	MayRetry(r Request) bool
}

// Claims records idempotency keys.
type Claims interface {
	// Claim records the key once. Errors are *refusal.Refusal
	// (duplicate_request, claim_unavailable).
	Claim(ctx context.Context, team, route, key string) error
}
