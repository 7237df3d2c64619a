package http1

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// maxInterimResponses bounds the interim (1xx) responses before the final one.
const maxInterimResponses = 8

// Values of fasthttp's ContentLength for responses without a Content-Length header: the body is
// chunked, or the end of the connection ends it.
const (
	ContentLengthChunked  = -1
	ContentLengthIdentity = -2
)

// headEnd is the end of the last field line and the empty line after it.
var headEnd = []byte("\r\n\r\n")

// ReadFinalHead reads the head of the next final response into h and skips interim ones. Errors:
// *SyntaxError, *TooLongError, *InterimError, io.EOF if nothing was received, io.ErrUnexpectedEOF
// if r ends before the end of the head, other errors of r, and those of fasthttp about the values of
// fields, such as a Trailer that names one that is not permitted there.
func ReadFinalHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	for interimCount := 0; ; interimCount++ {
		if err := ReadHead(r, h); err != nil {
			if interimCount > 0 {
				return unexpectedEnd(err)
			}
			return err
		}
		status := h.StatusCode()
		if status >= fasthttp.StatusOK {
			return nil
		}
		if status == fasthttp.StatusSwitchingProtocols || interimCount == maxInterimResponses {
			return errors.WithStack(&InterimError{Status: status})
		}
		h.Reset()
	}
}

// ReadHead reads one response head into h, that of an interim response included. Errors are those
// of ReadFinalHead except *InterimError. The buffer of r bounds the head.
func ReadHead(r *bufio.Reader, h *fasthttp.ResponseHeader) error {
	head, err := peekHead(r)
	if err != nil {
		return err
	}
	if err := checkHead(head); err != nil {
		return errors.WithStack(err)
	}
	if head[minorAt] > '1' {
		// A later minor version is read as HTTP/1.1 (RFC 9110, 2.5). fasthttp would ignore its
		// Transfer-Encoding. The buffer of r holds head until it is discarded.
		head[minorAt] = '1'
	}
	return errors.WithStack(h.Read(r))
}

// PeekHead waits until r has buffered the next response up to its status. It checks the head, and
// interim ones before it, as far as r has buffered them, and returns the last status. Errors:
// *SyntaxError and those of r.
func PeekHead(r *bufio.Reader) (status int, err error) {
	_, err = r.Peek(statusEnd)
	data, _ := r.Peek(r.Buffered())
	if err != nil {
		return 0, readError(err, data, StatusLine, r)
	}
	for {
		status, reason := parseStatus(data)
		if reason != "" {
			return 0, errors.WithStack(newSyntaxError(StatusLine, reason, data))
		}
		end := bytes.Index(data, headEnd)
		if end < 0 {
			return status, nil
		}
		head := data[:end+len(headEnd)]
		if err := checkHead(head); err != nil {
			return 0, errors.WithStack(err)
		}
		if data = data[len(head):]; status >= fasthttp.StatusOK || len(data) < statusEnd {
			return status, nil
		}
	}
}

// peekHead waits until r has buffered a whole head and returns it. It does not wait for the rest of
// bytes that begin no status line.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for n := 1; ; n = r.Buffered() + 1 {
		_, err := r.Peek(n)
		data, _ := r.Peek(r.Buffered())
		if end := bytes.Index(data, headEnd); end >= 0 {
			return data[:end+len(headEnd)], nil
		}
		if syntaxErr := checkBeginning(data); syntaxErr != nil {
			return nil, errors.WithStack(syntaxErr)
		}
		if err != nil {
			return nil, readError(err, data, Head, r)
		}
	}
}

// checkBeginning checks what has been received of a head.
func checkBeginning(data []byte) error {
	if bytes.IndexByte(data, '\n') >= 0 {
		line, _, err := cutLine(data, StatusLine)
		if err != nil {
			return err
		}
		return checkStatusLine(line)
	}
	n := min(len(data), len(protocol))
	if string(data[:n]) != protocol[:n] {
		return newSyntaxError(StatusLine, "the protocol is not HTTP/1", data)
	}
	return nil
}

// readError returns the reason why a part, of which data was received, could not be read.
func readError(err error, data []byte, part Part, r *bufio.Reader) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return errors.WithStack(&TooLongError{Part: part, Limit: r.Size()})
	case errors.Is(err, io.EOF) && len(data) > 0:
		return errors.WithStack(io.ErrUnexpectedEOF)
	default:
		return errors.WithStack(err)
	}
}
