package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Dialect is what differs between the wire formats that callers and targets
// speak. It is immutable.
type Dialect struct {
	// Headers of requests. An empty name turns the header off.
	RequestIDHeader string
	// TeamHeader tells a target the team. The value of a caller is overwritten.
	TeamHeader string
	// DeadlineHeader tells a target the time left in ms.
	DeadlineHeader string
	// CallerTimeoutHeader holds the time in ms that the caller will wait. A
	// dialect without it takes the timeout of the route.
	CallerTimeoutHeader string
	// TargetHeader names the target that must run the request.
	TargetHeader string
	// OwnHeaders are the headers of responses that are not passed to callers.
	OwnHeaders []string

	// FindKey returns the key of a request and the header that carries it.
	// Errors are *refusal.Refusal.
	FindKey func(*fasthttp.RequestHeader) (key, header string, err error)
	// ReadAnswer tells what the header of a target's response says about the
	// request with this id.
	ReadAnswer func(h *fasthttp.ResponseHeader, requestID string) Answer
	// WriteRefusal makes a refusal the response of a caller.
	WriteRefusal func(*fasthttp.RequestCtx, *refusal.Refusal)

	// ProvenNotRun says that the dialect's targets prove when they have not run
	// a request. Without it, the outcome is unknown once a byte was written.
	ProvenNotRun bool
	// UnframedBodies admits responses whose body ends with the connection.
	UnframedBodies bool
	// RetryServerErrors repeats idempotent requests that a target answered with
	// a status of 500 or more.
	RetryServerErrors bool
}

// Verdict is what a target's response says about the request.
type Verdict int

// Verdicts on responses.
const (
	// Final means that the response answers the request.
	Final Verdict = iota
	// Refused means that the target did not run the request because of load.
	Refused
	// Misdirected means that another target has the address; the request has not run.
	Misdirected
	// Foreign means that the response belongs to another request.
	Foreign
	// Unusable means that the response must not reach the caller.
	Unusable
)

// Answer is what the header of a response says.
type Answer struct {
	Verdict Verdict
	Load    Load
}

// defaultDialect is the wire format of docs/target-protocol.md and docs/refusals.md.
func defaultDialect() *Dialect {
	return &Dialect{
		RequestIDHeader: requestIDHeader, TeamHeader: teamHeader, DeadlineHeader: deadlineHeader,
		OwnHeaders: []string{loadHeader, drainingHeader, refusal.CodeHeader, refusal.OutcomeHeader},
		FindKey:    findKey, ReadAnswer: readDefaultAnswer, WriteRefusal: WriteRefusal,
	}
}

func readDefaultAnswer(h *fasthttp.ResponseHeader, _ string) Answer {
	answer := Answer{Load: parseLoad(h)}
	if h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(shedHeader)) == "true" {
		answer.Verdict = Refused
	}
	return answer
}

// callerTimeout returns the shorter of the route's timeout and the time that
// the caller will wait.
func (d *Dialect) callerTimeout(h *fasthttp.RequestHeader, route time.Duration) time.Duration {
	if d.CallerTimeoutHeader == "" {
		return route
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(string(h.Peek(d.CallerTimeoutHeader))), 10, 32)
	if err != nil || ms <= 0 {
		return route
	}
	return min(route, time.Duration(ms)*time.Millisecond)
}
