package upstreamsim

import (
	"bytes"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/rawhttp"
)

// fault is the fault injected into one request; noFault serves it correctly.
// The fields of Faults describe the other values.
type fault int

const (
	noFault fault = iota
	fail
	hang
	loseResponse
	truncate
	resetDuringResponse
	trailingBytes
	duplicate
	lateDuplicate
	noContentLength
	garbage
	earlyResponse
	connectionClose
	endless
	refuse
	repeatRefusal
	truncateHeader
)

// pickFault returns the fault of one request; draw is a random number, uniform
// in [0, 1).
func (m Faults) pickFault(draw float64) fault {
	fractions := []float64{
		fail - 1: m.Fail, hang - 1: m.Hang, loseResponse - 1: m.LoseResponse, truncate - 1: m.Truncate, resetDuringResponse - 1: m.ResetDuringResponse,
		trailingBytes - 1: m.TrailingBytes, duplicate - 1: m.DuplicateResponse, lateDuplicate - 1: m.LateDuplicate, noContentLength - 1: m.NoContentLength, garbage - 1: m.Garbage,
		earlyResponse - 1: m.EarlyResponse, connectionClose - 1: m.Close, endless - 1: m.Endless,
		refuse - 1: m.Refuse, repeatRefusal - 1: m.RepeatRefusal, truncateHeader - 1: m.TruncateHeader,
	}
	for i, fraction := range fractions {
		if draw < fraction {
			return fault(i + 1)
		}
		draw -= fraction
	}
	return noFault
}

// lateDuplicateDelay is the time between a response and its late duplicate.
const lateDuplicateDelay = 30 * time.Millisecond

// writeResponse writes the response with the injected fault. It reports whether
// the connection stays open for further requests.
func (s *Server) writeResponse(c net.Conn, id string, status int, injected fault) bool {
	body := Body(id)
	if s.BodyBytes > 0 {
		body = bytes.Repeat([]byte("b"), s.BodyBytes)
	}
	if status != http.StatusOK {
		body = []byte("failed")
	}
	if injected == noFault && s.garbageIsDue() {
		injected = garbage
	}
	fields := fmt.Sprintf("%s: %s\r\n%s: %s\r\n%s: 1,0,%d\r\n%s", RequestIDHeader, id, SignatureHeader, Signature(s.ID, id), LoadHeader, s.Slots, s.statementLines())
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s", status, fields)
	withLength := func(extraHeaders string) []byte {
		return append(fmt.Appendf(nil, "%s%sContent-Length: %d\r\n\r\n", head, extraHeaders, len(body)), body...)
	}
	switch injected {
	case truncate:
		complete := withLength("")
		_, _ = c.Write(complete[:len(complete)-len(body)/2])
		return false
	case truncateHeader:
		complete := withLength("")
		s.mu.Lock()
		cut := s.rng.IntN(len(complete) - len(body))
		s.mu.Unlock()
		_, _ = c.Write(complete[:cut])
		return false
	case resetDuringResponse:
		complete := withLength("")
		s.mu.Lock()
		cut := s.rng.IntN(len(complete))
		s.mu.Unlock()
		_, _ = c.Write(complete[:cut])
		reset(c)
		return false
	case trailingBytes:
		_, _ = c.Write(append(withLength(""), "surplus bytes"...))
		return false
	case duplicate:
		_, err := c.Write(append(withLength(""), withLength("")...))
		return err == nil
	case lateDuplicate:
		_, err := c.Write(withLength(""))
		time.AfterFunc(lateDuplicateDelay, func() { _, _ = c.Write(withLength("")) })
		return err == nil
	case noContentLength:
		_, _ = c.Write(append([]byte(head+"\r\n"), body...))
		return false
	case garbage:
		_, err := c.Write([]byte(s.nextGarbage(fields)))
		return err == nil
	case endless:
		s.mu.Lock()
		form := s.faults.Form
		s.mu.Unlock()
		writeEndless(c, form, head, withLength(""))
		return false
	case connectionClose:
		_, _ = c.Write(withLength("Connection: close\r\n"))
		return false
	default:
		_, err := c.Write(withLength(""))
		return err == nil
	}
}

// SetGarbageEvery makes every n-th response garbage, whatever the other faults are, or none with 0.
func (s *Server) SetGarbageEvery(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.garbageEvery = n
}

// garbageIsDue counts a response and reports whether SetGarbageEvery makes it garbage.
func (s *Server) garbageIsDue() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responseCount++
	return s.garbageEvery > 0 && s.responseCount%s.garbageEvery == 0
}

// nextGarbage returns bytes that are not an HTTP response, each time of another form. A lenient
// reader takes most of them for a response with fields and a body that the target did not produce.
func (s *Server) nextGarbage(fields string) string {
	malformed := rawhttp.Malformed(fields, "malformed")
	names := slices.Sorted(maps.Keys(malformed))
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.garbageCount % (len(names) + 1)
	s.garbageCount++
	if n == len(names) {
		return "\x00\x01 no response\r\n\r\n"
	}
	return malformed[names[n]]
}

// maxEndlessTime bounds an endless response to a caller that never closes.
const maxEndlessTime = 10 * time.Second

// WriteEndless writes a response of the form, without the headers of the platform, until the
// caller closes the connection.
func WriteEndless(c net.Conn, form EndlessForm) {
	const head = "HTTP/1.1 200 OK\r\n"
	writeEndless(c, form, head, []byte(head+"Content-Length: 0\r\n\r\n"))
}

// writeEndless writes a response of the form until the caller closes the connection.
// head is the header without its end, complete a whole response.
func writeEndless(c net.Conn, form EndlessForm, head string, complete []byte) {
	start, repeated := head, ""
	switch form {
	case EndlessHeaders:
		repeated = "X-More: 0123456789\r\n"
	case EndlessHeaderLine:
		start, repeated = head+"X-More: ", "0123456789"
	case EndlessInterim:
		start, repeated = "", "HTTP/1.1 103 x\r\nX-More: 1\r\n\r\n"
	case EndlessChunks:
		start, repeated = head+"Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"
	case EndlessChunkExtension:
		start, repeated = head+"Transfer-Encoding: chunked\r\n\r\n10;", "extension"
	case EndlessChunkSize:
		start, repeated = head+"Transfer-Encoding: chunked\r\n\r\n", "0000000000"
	case EndlessTrailers:
		start, repeated = head+"Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-More: 0123456789\r\n"
	case EndlessBody:
		start, repeated = head+"\r\n", "0123456789"
	case EndlessSurplus:
		start, repeated = string(complete), "0123456789"
	case EndlessGarbage:
		start, repeated = "", "\x00\xffgarbage"
	case EndlessGarbageLines:
		start, repeated = "", "garbage\r\n"
	case EndlessBlankLines:
		start, repeated = "", "\r\n"
	case EndlessStatusLine:
		start, repeated = "HTTP/1.1 200 ", "OK "
	default:
		start, repeated = head+"Content-Length: 1000000000000\r\n\r\n", "0123456789"
	}
	block := bytes.Repeat([]byte(repeated), 64<<10/len(repeated))
	_ = c.SetWriteDeadline(time.Now().Add(maxEndlessTime))
	for _, err := c.Write([]byte(start)); err == nil; {
		_, err = c.Write(block)
	}
}

// repeatRefusal writes the last refusal on the connection once more.
func (s *Server) repeatRefusal(c net.Conn, refused *string) bool {
	s.mu.Lock()
	anonymous := s.faults.AnonymousRefusals
	s.mu.Unlock()
	if anonymous {
		*refused = ""
	}
	return s.writeNotExecuted(c, *refused, http.StatusServiceUnavailable, "")
}

// writeNotExecuted responds that the request was not executed, with further header lines.
func (s *Server) writeNotExecuted(c net.Conn, id string, status int, lines string) bool {
	if id != "" {
		id = fmt.Sprintf("%s: %s\r\n", RequestIDHeader, id)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%s: 1\r\n%s%s%sContent-Length: 0\r\n\r\n", status, NotExecutedHeader, id, lines, s.statementLines())
	return err == nil
}
