package proxy

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

const (
	teamHeader      = "X-Team"
	deadlineHeader  = "X-Deadline-Ms"
	requestIDHeader = "X-Request-Id"
	loadHeader      = "X-Load"
	drainingHeader  = "X-Draining"
	shedHeader      = "X-Shed"
	// maxRequestIDBytes is the length of the longest request id that is accepted
	// from a caller; a longer one is replaced.
	maxRequestIDBytes = 128
)

// hopByHopHeaders are the headers that apply to one connection only (RFC 9110,
// 7.6.1), and Expect, to which the server has responded already.
var hopByHopHeaders = []string{
	fasthttp.HeaderConnection, "Keep-Alive", "Proxy-Connection", fasthttp.HeaderProxyAuthenticate,
	fasthttp.HeaderProxyAuthorization, fasthttp.HeaderTE, fasthttp.HeaderTrailer,
	fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade, fasthttp.HeaderExpect,
}

// requestID returns the caller's request id, or a new one.
func (p *Proxy) requestID(h *fasthttp.RequestHeader) string {
	if id := h.Peek(p.dialect.RequestIDHeader); len(id) > 0 && len(id) <= maxRequestIDBytes {
		return string(id)
	}
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], rand.Uint64())
	binary.LittleEndian.PutUint64(raw[8:], rand.Uint64())
	return hex.EncodeToString(raw[:])
}

// copyHeader copies the caller's header without the key header.
func (c *call) copyHeader() {
	h := &c.header
	c.caller.Request.Header.CopyTo(h)
	h.SetNoDefaultContentType(true)
	if c.key.header != "" {
		h.Del(c.key.header)
	}
}

// cleanHeader removes the headers that apply to the caller's connection only, and
// those that arbutuslink sets itself.
func (c *call) cleanHeader() {
	source, h := &c.caller.Request.Header, &c.header
	h.SetProtocol("HTTP/1.1")
	if len(source.Peek(fasthttp.HeaderConnection)) > 0 {
		for name, value := range source.All() {
			if strings.EqualFold(string(name), fasthttp.HeaderConnection) {
				deleteListedHeaders(string(value), h.Del)
			}
		}
	}
	for _, name := range source.PeekTrailerKeys() {
		h.DelBytes(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	// Set would replace only the first of several lines of a header.
	d := c.p.dialect
	for _, name := range [...]string{d.TeamHeader, d.RequestIDHeader, d.DeadlineHeader, d.TargetHeader} {
		if name != "" {
			h.Del(name)
		}
	}
}

// deleteListedHeaders deletes the headers that a Connection header names. Host and
// Content-Length are part of the message and stay.
func deleteListedHeaders(connection string, del func(string)) {
	for token := range strings.SplitSeq(connection, ",") {
		token = strings.TrimSpace(token)
		if token == "" || strings.EqualFold(token, fasthttp.HeaderHost) || strings.EqualFold(token, fasthttp.HeaderContentLength) {
			continue
		}
		del(token)
	}
}

// buildCommonHeader serialises the part of the header that is the same in all attempts.
func (c *call) buildCommonHeader() {
	h, body := &c.header, c.caller.Request.Body()
	if c.request.Team != "" {
		h.Set(c.p.dialect.TeamHeader, c.request.Team)
	}
	h.Set(c.p.dialect.RequestIDHeader, c.requestID)
	if len(body) > 0 || len(h.Peek(fasthttp.HeaderContentLength)) > 0 {
		h.SetContentLength(len(body))
	}
	c.commonHeader = h.AppendBytes(c.commonHeader[:0])
	c.commonHeader = bytes.TrimSuffix(c.commonHeader, []byte("\r\n"))
}

// appendAttemptHeaders appends the headers that differ per attempt and the empty
// line that ends the header.
func (d *Dialect) appendAttemptHeaders(dst []byte, target string, remainingMS int64) []byte {
	dst = append(append(dst, d.DeadlineHeader...), ": "...)
	dst = strconv.AppendInt(dst, remainingMS, 10)
	if d.TargetHeader != "" {
		dst = append(append(dst, "\r\n"...), d.TargetHeader...)
		dst = append(append(dst, ": "...), target...)
	}
	return append(dst, "\r\n\r\n"...)
}

// parseLoad reads the load that a target reports in the default dialect.
func parseLoad(h *fasthttp.ResponseHeader) Load {
	load := Load{Draining: string(h.Peek(drainingHeader)) == "true"}
	value := string(h.Peek(loadHeader))
	if value == "" {
		return load
	}
	fieldsFound := 0
	for field := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(field), "=")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 {
			return Load{Draining: load.Draining}
		}
		switch name {
		case "in_flight":
			load.InFlight = n
			fieldsFound++
		case "queued":
			load.Queued = n
			fieldsFound++
		}
	}
	load.Known = fieldsFound == 2
	return load
}

// cleanResponse removes the headers of a target's response that are not meant for
// the caller, among them StrippedResponseHeaders. In the default dialect these include the
// refusal headers, which only arbutuslink itself may send.
func (d *Dialect) cleanResponse(h *fasthttp.ResponseHeader) {
	// An empty protocol is written as HTTP/1.1. A target's HTTP/1.0 would make
	// callers expect that their own connection closes.
	h.SetProtocol(nil)
	if len(h.Peek(fasthttp.HeaderConnection)) > 0 {
		var listed []string
		for name, value := range h.All() {
			if strings.EqualFold(string(name), fasthttp.HeaderConnection) {
				listed = append(listed, string(value))
			}
		}
		deleteListedHeaders(strings.Join(listed, ","), h.Del)
	}
	for _, name := range h.PeekTrailerKeys() {
		h.DelBytes(name)
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
	h.ResetConnectionClose()
	for _, name := range d.StrippedResponseHeaders {
		h.Del(name)
	}
}
