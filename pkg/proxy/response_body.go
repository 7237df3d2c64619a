package proxy

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/http1"
)

// maxBufferedBody is the part of a response that is held before any of it goes to the
// caller. A response that breaks off before can be replaced by one of another target.
const maxBufferedBody = 512 << 10

// readBody reads the body of a response: up to unbudgetedBody into the response, up
// to maxBufferedBody into memory of the budget. What is left then stays in x.rest.
// fasthttp on its own would accept a body that is delimited by the end of the
// connection, which may be truncated, and hold any body whole.
func (x *exchange) readBody(response *fasthttp.Response) error {
	status, length := response.StatusCode(), response.Header.ContentLength()
	x.rest = nil
	switch {
	case x.method == fasthttp.MethodHead:
		response.SkipBody = true
		return nil
	case status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified:
		return nil
	case length == http1.ContentLengthIdentity && !x.p.dialect.CloseDelimitedBodies:
		return newExchangeError(ReadingBody, &CloseDelimitedBodyError{})
	case length > x.p.options.MaxResponseBody:
		return newExchangeError(ReadingBody, fasthttp.ErrBodyTooLarge)
	}
	x.conn.watch(x.checkCaller, x.p.options.PollInterval, x.ioDeadline)
	if length >= 0 && length <= unbudgetedBody {
		if err := response.ReadBody(x.conn.reader, unbudgetedBody); err != nil {
			return newExchangeError(ReadingBody, err)
		}
		x.conn.unwatch()
		x.bodyBytes = int64(length)
		return nil
	}
	body := x.bodyReader(response, length)
	first, ended, err := readUpTo(body, nil, unbudgetedBody)
	if err != nil {
		return newExchangeError(ReadingBody, err)
	}
	if ended {
		response.SetBodyRaw(first)
		x.bodyBytes = int64(len(first))
		x.conn.unwatch()
		return nil
	}
	return x.readLarge(response, body, first, length)
}

// readLarge reads the part of a large body that is held in memory, of which first has
// been read.
func (x *exchange) readLarge(response *fasthttp.Response, body io.Reader, first []byte, length int) error {
	if x.skipped() {
		// Nobody gets this body, and reading it would take longer than a new connection.
		return newExchangeError(ReadingBody, fasthttp.ErrBodyTooLarge)
	}
	size := maxBufferedBody
	if length >= 0 {
		size = min(length, maxBufferedBody)
	}
	// The body outlives the call, which is reused after it.
	budget := x.p.budget
	if x.p.reserve(size) {
		held := append(make([]byte, 0, size), first...)
		held, ended, err := readUpTo(body, held, size)
		if err != nil {
			budget.Release(int64(size))
			return newExchangeError(ReadingBody, err)
		}
		release := func() { budget.Release(int64(size)) }
		if ended {
			x.conn.unwatch()
			x.bodyBytes = int64(len(held))
			response.SetBodyStream(&heldBody{Reader: bytes.NewReader(held), release: release}, len(held))
			return nil
		}
		x.held, x.releaseHeld = held, release
	} else {
		x.held, x.releaseHeld = bytes.Clone(first), func() {}
	}
	x.rest = body
	x.bodyBytes = int64(len(x.held))
	return nil
}

// skipped reports whether the response is not for this request or is replaced by a
// refusal.
func (x *exchange) skipped() bool { return x.responseInfo.Verdict != Final }

// readUpTo appends to held what body has, up to size bytes in all, and reports whether
// the body has ended.
func readUpTo(body io.Reader, held []byte, size int) ([]byte, bool, error) {
	for len(held) < size {
		if len(held) == cap(held) {
			held = append(held, 0)[:len(held)]
		}
		n, err := body.Read(held[len(held):min(cap(held), size)])
		held = held[:len(held)+n]
		if errors.Is(err, io.EOF) {
			return held, true, nil
		}
		if err != nil {
			return held, false, err
		}
	}
	return held, false, nil
}

// bodyReader returns a reader of exactly the body. It fails for a body that breaks
// off or exceeds MaxResponseBody.
func (x *exchange) bodyReader(response *fasthttp.Response, length int) io.Reader {
	limit := int64(x.p.options.MaxResponseBody)
	switch {
	case length >= 0:
		return &fixedBody{r: x.conn.reader, left: int64(length)}
	case length == http1.ContentLengthChunked:
		return &limitedBody{left: limit, r: http1.NewChunkedReader(x.conn.reader, &response.Header)}
	default:
		return &limitedBody{left: limit, r: x.conn.reader}
	}
}

// fixedBody is a body with a length. Its last read reports io.EOF with the last byte.
type fixedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	default:
		return n, err
	}
}

// limitedBody fails for a body of more than left bytes.
type limitedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if b.left -= int64(n); b.left < 0 {
		return n, fasthttp.ErrBodyTooLarge
	}
	return n, err
}

// heldBody is a whole body in memory of the budget.
type heldBody struct {
	*bytes.Reader
	release func()
}

// Close gives the memory back.
func (b *heldBody) Close() error {
	b.release()
	b.release = func() {}
	return nil
}

// checkCaller fails if the caller has closed its connection.
func (x *exchange) checkCaller() error {
	if peek(x.caller.Conn()) == closedByPeer {
		return &CallerGoneError{}
	}
	return nil
}

// watch makes reads of the connection fail after deadline, and call check whenever
// nothing has arrived for interval.
func (c *targetConn) watch(check func() error, interval time.Duration, deadline time.Time) {
	c.check, c.checkInterval, c.readDeadline = check, interval, deadline
}

// unwatch ends watch.
func (c *targetConn) unwatch() { c.check = nil }

// Read implements net.Conn.
func (c *targetConn) Read(b []byte) (int, error) {
	if c.check == nil {
		return c.Conn.Read(b)
	}
	for {
		if err := c.SetReadDeadline(earliest(time.Now().Add(c.checkInterval), c.readDeadline)); err != nil {
			return 0, err
		}
		n, err := c.Conn.Read(b)
		var timeout net.Error
		if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() || !time.Now().Before(c.readDeadline) {
			return n, err
		}
		if err := c.check(); err != nil {
			return 0, err
		}
	}
}
