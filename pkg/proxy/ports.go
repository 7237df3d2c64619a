// Package proxy is the data path: it authenticates a caller's request, admits
// it, forwards it to a target and returns the complete response.
package proxy

import (
	"context"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Limiter is the rate limiter: it admits requests within a team's rate and burst.
type Limiter interface {
	// Take consumes one token of the team, waiting for it until ctx ends if
	// necessary. Errors are
	// *refusal.Refusal (rate_exceeded, rate_unavailable, instance_not_fresh).
	Take(ctx context.Context, team string) error
}

// Request holds the attributes of a request that the Queue and the Balancer use.
type Request struct {
	// ID is the request id, for logs.
	ID string
	// Team is empty for a request without a key on a public route.
	Team string
	// Batch is the group of teams under one contract that Team belongs to.
	Batch string
	// Route is the id of the matched route, Service the group of targets chosen
	// for it.
	Route   string
	Service string
	// PathPrefix is the prefix of the paths that the route matches. HedgePercent is the
	// operators' limit on hedges in the route's configuration, in percent of its requests.
	PathPrefix   string
	HedgePercent float64
	Idempotent   bool
	// Priority ranks requests when targets are full; 0 is the highest.
	Priority int
	// Objective is the latency objective of the route: a response that takes no
	// longer has its full value.
	Objective time.Duration
	// Deadline is the end of the request's timeout, as time since boot.
	Deadline time.Duration
	// Previous is the result of the last attempt that has ended; Answered before that.
	Previous Result
}

// Queue orders requests by batch share and team when targets are the bottleneck.
// It may limit the concurrency per service.
type Queue interface {
	// Enter waits until the request may be sent to a target. After a success
	// leave must be called exactly once. Errors are *refusal.Refusal (overloaded).
	Enter(ctx context.Context, r Request) (leave func(), err error)
}

// Result is how one attempt at a target ended.
type Result int

const (
	// Answered means that a complete response with a status below 500 arrived.
	Answered Result = iota
	// ServerError means that a complete response with a status of 500 or more arrived.
	ServerError
	// Shed means that the target rejected the request because of load.
	Shed
	// Misplaced means that another target than the chosen one answered at the address.
	Misplaced
	// TimedOut means that no complete response arrived in time.
	TimedOut
	// Broken means that the connection failed or the response was malformed.
	Broken
	// NotSent means that no connection could be opened, so no byte reached the target.
	NotSent
	// Canceled means that the caller disconnected, that another attempt
	// responded first, or that the attempt was dropped before its write.
	Canceled
)

// String returns the name of the result in logs and metrics.
func (r Result) String() string {
	names := [...]string{
		"answered", "server_error", "shed", "misplaced", "timed_out", "broken", "not_sent", "canceled",
	}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}

// Load is the load that a target reports in the header of a response.
type Load struct {
	// Known is false when the response carried no valid load header; InFlight
	// and Queued are then 0.
	Known bool
	// InFlight and Queued count the requests that the target runs and those
	// that wait there.
	InFlight int
	Queued   int
	// Draining is set by a target that is shutting down.
	Draining bool
	// RateLimit is the request rate that the target accepts.
	RateLimit RateLimit
	// Pause is what the target asks of this instance with a rejection.
	Pause Pause
}

// Pause is the time for which a target wants no requests from this instance, as its
// rejection of a request states it.
type Pause struct {
	// Wait counts from the arrival of the rejection; 0 if there is no pause.
	Wait time.Duration
	// Unreadable is the start of a statement that is no number of seconds. It is no pause.
	Unreadable string
}

// RateLimit is what a target's response states about the request rate that the target
// accepts from all instances together.
type RateLimit struct {
	// Known is false without a statement of the target; the last one then stays in
	// force.
	Known bool
	// Limited is false if the target accepts any rate.
	Limited   bool
	PerSecond float64
}

// Attempt is the assignment of a request to one target. Done must be called exactly once.
type Attempt interface {
	// Target is the id of the target, Address its IP:port.
	Target() string
	Address() string
	// Done reports the result and the time since the start of the write.
	Done(result Result, latency time.Duration, load Load)
}

// AttemptWithRetryDelay is implemented by attempts whose balancer knows the
// typical latency of a response.
type AttemptWithRetryDelay interface {
	Attempt
	// RetryDelay is the time without a response after which an idempotent request
	// may be retried at another target. With 0 only the timeout of the data path
	// applies, an equal fraction of the time left.
	RetryDelay() time.Duration
}

// WithdrawableAttempt is implemented by attempts whose target may go out of use between the
// choice and the write.
type WithdrawableAttempt interface {
	Attempt
	// Withdrawn reports whether the request must not be sent to the target any more.
	Withdrawn() bool
}

// IsWithdrawn reports whether the attempt is one whose target is withdrawn.
func IsWithdrawn(a Attempt) bool {
	w, ok := a.(WithdrawableAttempt)
	return ok && w.Withdrawn()
}

// AttemptWithSize is implemented by attempts whose balancer weighs the size of
// responses.
type AttemptWithSize interface {
	Attempt
	// ObserveSize reports the size of the body of a complete response, before Done.
	ObserveSize(bytes int64)
}

// ImmediateBalancer is implemented by balancers that know whether another target can
// take a request at once.
type ImmediateBalancer interface {
	Balancer
	// AcquireNow is Acquire without a wait. It returns nil if no target that is not in
	// tried has free capacity.
	AcquireNow(r Request, tried []string) Attempt
}

// Hedger decides whether and when an idempotent request is also sent to a second target
// while the first one has not responded (a hedge). Its methods do not wait.
type Hedger interface {
	// HedgeDelay returns the age of a first attempt at which a hedge is due, or 0 if none
	// is. retryIn is the time up to a retry beside the attempt, left that up to the deadline.
	HedgeDelay(r Request, retryIn, left time.Duration) time.Duration
	// StartHedge asks for the target of a hedge that is due, of a request whose first
	// attempt has reached an age. It returns nil if none may be sent. Otherwise the channel
	// delivers one attempt, or nil if there is no target. The caller must end the attempt.
	StartHedge(r Request, tried []string, age, left time.Duration) <-chan Attempt
	// ObserveFirst reports the time that the first attempt of an idempotent request took,
	// or after which it was canceled because another attempt had responded, and the size
	// of the response's body.
	ObserveFirst(r Request, latency time.Duration, bytes int64, canceled bool)
	// HedgeEnded reports whether a hedge responded first, and for how long the attempt took
	// a slot whose response was not used.
	HedgeEnded(r Request, won bool, wasted time.Duration)
}

// AttemptWithAge is implemented by attempts whose balancer observes how slow targets are.
type AttemptWithAge interface {
	Attempt
	// ObserveSlow reports before Done that a hedge responded first when this attempt had
	// reached an age.
	ObserveSlow(age time.Duration)
}

// AttemptWithReason is implemented by attempts whose balancer can say why it
// chose the target.
type AttemptWithReason interface {
	Attempt
	// Reason names the inputs of the choice, for logs.
	Reason() string
}

// AttemptRecord describes one attempt of a request in its Record.
type AttemptRecord struct {
	Target string
	// Reason names the inputs of the choice of the target; it may be empty.
	Reason  string
	Result  Result
	Latency time.Duration
	// Via is the name of the instance through which the connection led; empty for a direct
	// one.
	Via string
	// HedgeAfter is the age that the first attempt had reached when this one, a hedge, was
	// sent; 0 for others.
	HedgeAfter time.Duration
}

// Record describes how one request ended, for logs and metrics.
type Record struct {
	Request Request
	// ConfigVersion is the version of the configuration that the request was last
	// checked against; 0 if it was refused before.
	ConfigVersion int64
	// Status is the HTTP status that the caller got; Refusal is empty for a
	// target's response.
	Status  int
	Refusal refusal.Code
	Cause   error
	// Elapsed is the time from the complete request to the response, Queued the
	// part of it before the first attempt; 0 without an attempt.
	Elapsed, Queued time.Duration
	// Attempts lists the attempts that wrote to a target, and those that got no
	// connection to one.
	Attempts []AttemptRecord
}

// Recorder receives the Record of each request. It must not keep Record.Attempts,
// whose memory is reused.
type Recorder interface{ Record(Record) }

// Balancer chooses targets.
type Balancer interface {
	// Acquire chooses a target that is not in tried, the ids of the targets that
	// the request was assigned to before. Errors are
	// *refusal.Refusal (no_target, overloaded).
	Acquire(r Request, tried []string) (Attempt, error)
	// TakeRetry reports whether the retry budget of the request's route (or of its
	// service, depending on the balancer) permits another attempt, and spends one
	// retry of the budget if so.
	TakeRetry(r Request) bool
}

// Claims records idempotency keys. A claim is the record that a request with
// the key was accepted; a second request with it is refused.
type Claims interface {
	// Claim records the key unless it is recorded already. Errors are *refusal.Refusal
	// (duplicate_request, claim_unavailable).
	Claim(ctx context.Context, team, route, key string) error
}
