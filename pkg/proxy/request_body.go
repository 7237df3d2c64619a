package proxy

import (
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// unbudgetedBody is the size up to which a body is held without a reservation:
	// the buffers of a connection are of that order.
	unbudgetedBody = 64 << 10
	// bodyStep is the smallest size by which the memory of a body without a length
	// grows; it doubles, so that copies cost no more than the body.
	bodyStep = 64 << 10
	// minBodyRate is the lowest rate in bytes per second at which a caller may send a
	// body that takes part of the budget.
	minBodyRate = 64 << 10
	// minBodyTime is how long a caller may take for a body of any size.
	minBodyTime = 2 * time.Second
	// maxFramingRatio and maxFramingBytes bound what a body in chunks takes on the wire:
	// chunks of a single byte take six bytes each.
	maxFramingRatio = 8
	maxFramingBytes = 16 << 10
	// budgetRetryAfter is the delay after which a caller that was refused for lack of
	// memory should retry: bodies hold it for about as long as a request takes.
	budgetRetryAfter = 500 * time.Millisecond
)

// BodyTooSlowError says that a caller did not send its body in time.
type BodyTooSlowError struct{ Received int }

// Error describes the failure.
func (*BodyTooSlowError) Error() string { return "the caller sent its body too slowly" }

// BudgetError says that the memory for bodies is in use.
type BudgetError struct{ Bytes int }

// Error describes the failure.
func (*BudgetError) Error() string { return "the memory for bodies is in use" }

// receiveBody reads the body of the caller's request into memory, within the budget.
// Errors are *refusal.Refusal (request_too_large, overloaded, request_invalid); the
// request has not run then.
func (c *call) receiveBody() error {
	stream := c.caller.RequestBodyStream()
	if stream == nil {
		return nil
	}
	length := c.caller.Request.Header.ContentLength()
	limit := min(c.p.options.MaxRequestBody, int(c.p.budget.Limit()))
	if length > limit {
		return c.abandonBody(refusal.New(refusal.RequestTooLarge, fasthttp.ErrBodyTooLarge))
	}
	began := time.Now()
	if err := c.caller.Conn().SetReadDeadline(began.Add(c.bodyTime(max(length, 0)))); err != nil {
		return c.abandonBody(refusal.New(refusal.RequestInvalid, err))
	}
	if length > unbudgetedBody && !c.reserve(length) {
		return c.abandonBody(budgetRefusal(length))
	}
	body := c.body[:0]
	if cap(body) < length {
		body = make([]byte, 0, length)
	}
	for {
		if len(body) == cap(body) {
			if len(body) >= limit {
				return c.abandonBody(refusal.New(refusal.RequestTooLarge, fasthttp.ErrBodyTooLarge))
			}
			step := max(cap(body), bodyStep)
			if cap(body) >= unbudgetedBody && !c.reserve(step) {
				return c.abandonBody(budgetRefusal(len(body) + step))
			}
			body = append(make([]byte, 0, min(cap(body)+step, limit+1)), body...)
		}
		c.allowRead(cap(body) - len(body))
		n, err := stream.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if length < 0 && err == nil {
			// The time for a body without a length grows with what has arrived.
			err = c.caller.Conn().SetReadDeadline(began.Add(c.bodyTime(len(body) + bodyStep)))
		}
		if errors.Is(err, io.EOF) || (length >= 0 && len(body) == length) {
			break
		}
		if err != nil {
			return c.abandonBody(bodyRefusal(err, len(body)))
		}
	}
	c.allowRead(0)
	if length >= 0 && len(body) < length {
		return c.abandonBody(refusal.New(refusal.RequestInvalid, io.ErrUnexpectedEOF))
	}
	if length < 0 {
		c.header.SetContentLength(len(body))
	}
	if cap(body) <= unbudgetedBody {
		c.body = body
	}
	c.caller.Request.SetBodyRaw(body)
	return nil
}

// bodyTime is how long the caller may take for n bytes of its body.
func (c *call) bodyTime(n int) time.Duration {
	return min(minBodyTime+time.Duration(n)*time.Second/minBodyRate, c.p.options.CallerTimeout)
}

// allowRead bounds the bytes on the wire for the next n bytes of a body; 0 ends the
// bound.
func (c *call) allowRead(n int) {
	if conn, ok := c.caller.Conn().(*callerConn); ok {
		if n > 0 {
			n = n*maxFramingRatio + maxFramingBytes
		}
		conn.readAllowance = n
	}
}

// reserve takes n bytes of the budget until the call ends.
func (c *call) reserve(n int) bool {
	if !c.p.reserve(n) {
		return false
	}
	c.reserved += int64(n)
	return true
}

// reserve takes n bytes of the budget and logs when they are not left.
func (p *Proxy) reserve(n int) bool {
	if p.budget.Reserve(int64(n)) {
		return true
	}
	event.BudgetExhausted.Log(p.Log).Int("bytes", n).Int64("limit", p.budget.Limit()).Send()
	return false
}

// abandonBody ends the connection after the refusal, since the rest of the body would
// be read as the next request.
func (c *call) abandonBody(r *refusal.Refusal) error {
	c.allowRead(0)
	c.caller.SetConnectionClose()
	c.closeCaller = true
	return r
}

func budgetRefusal(bytes int) *refusal.Refusal {
	r := refusal.WithRetryAfter(refusal.Overloaded, budgetRetryAfter)
	r.Cause = errors.WithStack(&BudgetError{Bytes: bytes})
	return r
}

// bodyRefusal returns the refusal for a body that could not be read.
func bodyRefusal(err error, received int) *refusal.Refusal {
	var timeout interface{ Timeout() bool }
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return refusal.New(refusal.RequestTooLarge, err)
	case errors.As(err, &timeout) && timeout.Timeout():
		return refusal.New(refusal.RequestInvalid, &BodyTooSlowError{Received: received})
	default:
		return refusal.New(refusal.RequestInvalid, err)
	}
}
