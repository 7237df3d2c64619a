package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Dialect is a wire format: the headers and rules that differ between
// deployments whose callers and targets speak different protocols. It is
// immutable.
type Dialect struct {
	// RequestIDHeader carries the request id in requests and responses.
	RequestIDHeader string
	// TeamHeader tells a target the team. A value from the caller is overwritten.
	TeamHeader string
	// DeadlineHeader tells a target the time left until the request's deadline in ms.
	DeadlineHeader string
	// CallerTimeoutHeader carries the time in ms that the caller will wait. If it
	// is empty, the timeout of the route applies.
	CallerTimeoutHeader string
	// TargetHeader names the target that must run the request. If it is empty,
	// the header is not sent.
	TargetHeader string
	// StrippedResponseHeaders are the names of target response headers that are not passed to callers.
	StrippedResponseHeaders []string

	// FindKey returns the key of a request and the name of the header that carries it.
	// Errors are *refusal.Refusal.
	FindKey func(*fasthttp.RequestHeader) (key, header string, err error)
	// ReadResponseInfo interprets the header of a target's response to the request with
	// this id.
	ReadResponseInfo func(h *fasthttp.ResponseHeader, requestID string) ResponseInfo
	// WriteRefusal writes a refusal as the response to a caller.
	WriteRefusal func(*fasthttp.RequestCtx, *refusal.Refusal)

	// ProvenNotRun says that a RejectedByTarget or Misdirected response proves that
	// the target has not run the request. Without it, the outcome is unknown as
	// soon as a byte was written.
	ProvenNotRun bool
	// CloseDelimitedBodies permits responses whose body is delimited by the end of the connection.
	CloseDelimitedBodies bool
	// LiteralPaths makes routes match the path as it was sent. Without it they match the
	// decoded path without repeated slashes, and a request whose path as sent has another
	// route is refused.
	LiteralPaths bool
	// RetryServerErrors makes the proxy retry idempotent requests to which a target
	// responded with a status of 500 or more.
	RetryServerErrors bool
}

// Verdict is what a target's response says about the request.
type Verdict int

const (
	// Final means that the response is the result of the request.
	Final Verdict = iota
	// RejectedByTarget means that the target did not run the request because of load.
	RejectedByTarget
	// Misdirected means that another target than the chosen one has the address;
	// the request has not run.
	Misdirected
	// Mismatched means that the response belongs to another request, or may, such as an
	// earlier one on the same connection.
	Mismatched
	// Unusable means that the response must not reach the caller.
	Unusable
)

// ResponseInfo is the information that the header of a target's response carries.
type ResponseInfo struct {
	Verdict Verdict
	Load    Load
}

// defaultDialect is the wire format of docs/target-protocol.md and docs/refusals.md.
func defaultDialect() *Dialect {
	return &Dialect{
		RequestIDHeader: requestIDHeader, TeamHeader: teamHeader, DeadlineHeader: deadlineHeader,
		StrippedResponseHeaders: []string{loadHeader, drainingHeader, refusal.CodeHeader, refusal.OutcomeHeader},
		FindKey:                 findKey, ReadResponseInfo: readDefaultResponseInfo, WriteRefusal: WriteRefusal,
	}
}

// readDefaultResponseInfo is ReadResponseInfo of the default dialect, whose responses do not
// name the request.
func readDefaultResponseInfo(h *fasthttp.ResponseHeader, _ string) ResponseInfo {
	info := ResponseInfo{Load: parseLoad(h)}
	if h.StatusCode() == fasthttp.StatusServiceUnavailable && string(h.Peek(shedHeader)) == "true" {
		info.Verdict = RejectedByTarget
	}
	return info
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
