// Package proxy is the data path: it authenticates a caller's request, admits
// it, forwards it to a target and returns the complete response.
package proxy

import (
	"context"
	"time"
)

// Limiter admits requests within a team's rate and burst.
type Limiter interface {
	// Take spends one token of the team and may wait until ctx ends. Errors are
	// *refusal.Refusal (rate_exceeded, rate_unavailable, instance_not_fresh).
	Take(ctx context.Context, team string) error
}

// Request describes a request to the components that place it.
type Request struct {
	Team       string
	Batch      string
	Route      string
	Service    string
	Idempotent bool
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
	// TimedOut means that no complete response arrived in time.
	TimedOut
	// Broken means that the connection failed or the response was malformed.
	Broken
	// NotSent means that no byte reached the target.
	NotSent
	// Canceled means that the caller went away or another attempt won.
	Canceled
)

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

// Balancer chooses targets.
type Balancer interface {
	// Acquire chooses a target that is not in tried. Errors are
	// *refusal.Refusal (no_target, overloaded).
	Acquire(r Request, tried []string) (Attempt, error)
	// MayRetry spends the route's retry budget.
	MayRetry(route string) bool
}

// Claims records idempotency keys.
type Claims interface {
	// Claim records the key once. Errors are *refusal.Refusal
	// (duplicate_request, claim_unavailable).
	Claim(ctx context.Context, team, route, key string) error
}
