package proxy

import (
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

// responseStream passes the rest of a large response on while the caller reads it, so
// that a slow caller slows the target down. It ends the exchange and the call.
type responseStream struct {
	x *exchange
	// held is the part of the body in memory that has not been passed on.
	held []byte
	// err is what ended the body; io.EOF after a complete one.
	err    error
	closed bool
}

// stream makes the response to x, of which only the first part has been read, the
// caller's response. The call ends with the stream.
func (x *exchange) stream(response *fasthttp.Response) {
	size := response.Header.ContentLength()
	if size < 0 {
		size = -1
	}
	x.p.cleanResponse(response, x.requestID)
	s := &responseStream{x: x, held: x.held}
	x.call.streaming = true
	response.SetBodyStream(s, size)
}

// Read implements io.Reader.
func (s *responseStream) Read(p []byte) (int, error) {
	if len(s.held) > 0 {
		n := copy(p, s.held)
		s.held = s.held[n:]
		return n, nil
	}
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.x.rest.Read(p)
	s.x.bodyBytes += int64(n)
	s.err = err
	return n, err
}

// CloseWithError ends the exchange; err is the reason why the caller did not get the
// rest, or nil.
func (s *responseStream) CloseWithError(err error) error {
	if s.closed {
		return nil
	}
	s.closed = true
	x := s.x
	// fasthttp calls this outside of the handler, whose panics are contained.
	defer event.Contain(x.p.Log, "end of a response", nil)
	x.releaseHeld()
	complete := errors.Is(s.err, io.EOF) || s.lengthReached()
	switch {
	case complete:
		x.conn.unwatch()
		x.releaseConn()
		x.reportResult(x.result)
	case s.err != nil:
		x.p.pool.discard(x.conn)
		_ = x.reportFailure(newExchangeError(ReadingBody, s.err))
	default:
		// The caller has closed its connection or did not read in time.
		x.p.pool.discard(x.conn)
		x.reportResult(Canceled)
		event.CallerTooSlow.Log(x.p.Log).Str("request_id", x.requestID).Str("target", x.attempt.Target()).AnErr("cause", err).Send()
	}
	x.call.finish()
	return nil
}

// Close does nothing: fasthttp calls CloseWithError after it.
func (s *responseStream) Close() error { return nil }

// lengthReached reports whether a body with a length was read whole; the reader of such
// a body is not asked for its end.
func (s *responseStream) lengthReached() bool {
	fixed, ok := s.x.rest.(*fixedBody)
	return ok && fixed.left == 0 && len(s.held) == 0
}
