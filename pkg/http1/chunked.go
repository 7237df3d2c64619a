package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxSizeDigits bounds the digits of a chunk size, so that it fits into 64 bits.
	maxSizeDigits = 16
	// maxExtensionBytes bounds the chunk extensions of one body, which nobody reads.
	maxExtensionBytes = 16 << 10
)

// chunkedReader reads a body in the chunked transfer coding (RFC 9112, 7.1).
type chunkedReader struct {
	r *bufio.Reader
	h *fasthttp.ResponseHeader
	// left is the number of bytes of the current chunk that have not been read.
	left uint64
	// begun is set after the first chunk line, from when on data ends with CRLF.
	begun bool
	// extensionBytes is the length of all extensions so far.
	extensionBytes int
	// err is what ended the body; io.EOF after a whole one.
	err error
}

// NewChunkedReader returns a reader of the chunked body that r is at. It ends with io.EOF after
// the trailer section, whose fields it adds to h. Errors: *SyntaxError, *TooLongError for a line or
// a trailer section that exceeds the buffer of r or for too many extensions, io.ErrUnexpectedEOF if r
// ends before the body, other errors of r, and those of fasthttp about fields that are not permitted
// in a trailer.
func NewChunkedReader(r *bufio.Reader, h *fasthttp.ResponseHeader) io.Reader {
	return &chunkedReader{r: r, h: h}
}

// Read implements io.Reader. It fills p from several chunks as far as they are buffered.
func (c *chunkedReader) Read(p []byte) (n int, err error) {
	for c.err == nil && len(p) > 0 {
		if c.left == 0 {
			if n > 0 && !c.lineBuffered() {
				return n, nil
			}
			c.err = c.nextChunk()
			continue
		}
		read, err := c.r.Read(p[:min(uint64(len(p)), c.left)])
		n, p, c.left = n+read, p[read:], c.left-uint64(read)
		if err != nil {
			c.err = unexpectedEnd(err)
		}
	}
	return n, c.err
}

// lineBuffered reports whether the next chunk line can be read without waiting.
func (c *chunkedReader) lineBuffered() bool {
	data, _ := c.r.Peek(c.r.Buffered())
	return bytes.IndexByte(data[min(len(data), len("\r\n")):], '\n') >= 0
}

// nextChunk reads the end of the current chunk and the line of the next one. It returns io.EOF
// after the last one and the trailers.
func (c *chunkedReader) nextChunk() error {
	if c.begun {
		var end [2]byte
		if _, err := io.ReadFull(c.r, end[:]); err != nil {
			return unexpectedEnd(err)
		}
		if string(end[:]) != "\r\n" {
			return errors.WithStack(newSyntaxError(ChunkLine, "the data of the chunk before does not end with CRLF", end[:]))
		}
	}
	c.begun = true
	data, err := c.r.ReadSlice('\n')
	if err != nil {
		return unexpectedEnd(readError(err, data, ChunkLine, c.r))
	}
	if err := c.parseLine(data); err != nil {
		return errors.WithStack(err)
	}
	if c.left > 0 {
		return nil
	}
	if err := c.readTrailers(); err != nil {
		return err
	}
	return io.EOF
}

// parseLine parses a chunk line with its line end.
func (c *chunkedReader) parseLine(data []byte) error {
	line, _, err := cutLine(data, ChunkLine)
	if err != nil {
		return err
	}
	digits := 0
	for c.left = 0; digits < len(line); digits++ {
		value, ok := hexValue(line[digits])
		if !ok {
			break
		}
		c.left = c.left<<4 | uint64(value)
	}
	switch {
	case digits == 0 || digits > maxSizeDigits:
		return newSyntaxError(ChunkLine, "the size is no hexadecimal number of up to 16 digits", line)
	case !isExtensions(line[digits:]):
		return newSyntaxError(ChunkLine, "the size is followed by something else than extensions", line)
	}
	if c.extensionBytes += len(line) - digits; c.extensionBytes > maxExtensionBytes {
		return &TooLongError{Part: ChunkExtensions, Limit: maxExtensionBytes}
	}
	return nil
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) (value byte, ok bool) {
	switch {
	case isDigit(c):
		return c - '0', true
	case c|0x20 >= 'a' && c|0x20 <= 'f':
		return c | 0x20 - 'a' + 10, true
	default:
		return 0, false
	}
}

// isExtensions reports whether b consists of chunk extensions: ";" name [ "=" value ], with
// blanks around the signs (RFC 9112, 7.1.1).
func isExtensions(b []byte) bool {
	for len(b) > 0 {
		b = skipBlanks(b)
		if len(b) == 0 || b[0] != ';' {
			return false
		}
		b = skipBlanks(b[1:])
		n := prefixOf(b, tokenByte)
		if n == 0 {
			return false
		}
		b = b[n:]
		if value := skipBlanks(b); len(value) > 0 && value[0] == '=' {
			value = skipBlanks(value[1:])
			if n = valueLength(value); n == 0 {
				return false
			}
			b = value[n:]
		}
	}
	return true
}

func skipBlanks(b []byte) []byte { return bytes.TrimLeft(b, " \t") }

// valueLength returns the length of the token or quoted string (RFC 9110, 5.6.4) that b begins
// with; 0 if it begins with neither.
func valueLength(b []byte) int {
	if len(b) == 0 || b[0] != '"' {
		return prefixOf(b, tokenByte)
	}
	for i := 1; i < len(b); i++ {
		switch {
		case b[i] == '"':
			return i + 1
		case b[i] == '\\':
			i++
		}
		if i == len(b) || classes[b[i]]&textByte == 0 {
			return 0
		}
	}
	return 0
}

// readTrailers reads the trailer section and adds its fields to the header.
func (c *chunkedReader) readTrailers() error {
	section, err := c.peekTrailers()
	if err != nil {
		return err
	}
	if err := checkFields(section, Trailer, nil); err != nil {
		return errors.WithStack(err)
	}
	return unexpectedEnd(errors.WithStack(c.h.ReadTrailer(c.r)))
}

// peekTrailers waits until r has buffered the whole trailer section and returns it.
func (c *chunkedReader) peekTrailers() ([]byte, error) {
	for n := len("\r\n"); ; n = c.r.Buffered() + 1 {
		_, err := c.r.Peek(n)
		data, _ := c.r.Peek(c.r.Buffered())
		if bytes.HasPrefix(data, headEnd[:2]) {
			return data[:2], nil
		}
		if end := bytes.Index(data, headEnd); end >= 0 {
			return data[:end+len(headEnd)], nil
		}
		if err != nil {
			return nil, unexpectedEnd(readError(err, data, Trailer, c.r))
		}
	}
}

// unexpectedEnd returns err with io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.WithStack(io.ErrUnexpectedEOF)
	}
	return err
}
