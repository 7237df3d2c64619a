package upstreamsim

import (
	"fmt"
	"net"
	"net/http"
	"time"
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
)

// pickFault returns the fault of one request; draw is a random number, uniform
// in [0, 1).
func (m Faults) pickFault(draw float64) fault {
	fractions := []float64{
		fail - 1: m.Fail, hang - 1: m.Hang, loseResponse - 1: m.LoseResponse, truncate - 1: m.Truncate, resetDuringResponse - 1: m.ResetDuringResponse,
		trailingBytes - 1: m.TrailingBytes, duplicate - 1: m.DuplicateResponse, lateDuplicate - 1: m.LateDuplicate, noContentLength - 1: m.NoContentLength, garbage - 1: m.Garbage,
		earlyResponse - 1: m.EarlyResponse, connectionClose - 1: m.Close,
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
	if status != http.StatusOK {
		body = []byte("failed")
	}
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s: %s\r\n%s: %s\r\n%s: 1,0,%d\r\n", status, RequestIDHeader, id, SignatureHeader,
		Signature(s.ID, id), LoadHeader, s.Slots)
	withLength := func(extraHeaders string) []byte {
		return append(fmt.Appendf(nil, "%s%sContent-Length: %d\r\n\r\n", head, extraHeaders, len(body)), body...)
	}
	switch injected {
	case truncate:
		complete := withLength("")
		_, _ = c.Write(complete[:len(complete)-len(body)/2])
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
		_, _ = c.Write([]byte("\x00\x01 no response\r\n\r\n"))
		return false
	case connectionClose:
		_, _ = c.Write(withLength("Connection: close\r\n"))
		return false
	default:
		_, err := c.Write(withLength(""))
		return err == nil
	}
}
