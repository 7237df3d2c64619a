// Package http1 reads HTTP/1.x responses by the grammar of RFC 9110 and RFC 9112, and is the one
// place that decides what is a response. The parsers of fasthttp and net/http accept more: statuses
// that do not exist, names with blanks, control characters in a reason phrase.
//
// Where the RFCs let a recipient choose, it refuses: line ends without CR (RFC 9112, 2.2), folded
// lines (5.2), blanks before a colon (5.1), a Content-Length that is repeated (6.3) or comes with a
// Transfer-Encoding (6.1). It accepts a status line that ends after the status, without the blank
// before an empty reason phrase (section 4), because that cannot be read in two ways.
package http1

import "strconv"

// Part is the part of a response that an error is about. Its value is part of error texts.
type Part string

// Parts of a response.
const (
	Head            Part = "head"
	StatusLine      Part = "status line"
	FieldLine       Part = "field line"
	Framing         Part = "framing"
	ChunkLine       Part = "chunk line"
	ChunkExtensions Part = "chunk extensions"
	Trailer         Part = "trailer"
)

// maxErrorText bounds the text of a response in an error, in bytes.
const maxErrorText = 64

// SyntaxError reports bytes that are no HTTP/1.x response.
type SyntaxError struct {
	Part   Part
	Reason string
	// Text is the beginning of the line that is malformed.
	Text string
}

// newSyntaxError returns a SyntaxError about a line.
func newSyntaxError(part Part, reason string, line []byte) error {
	return &SyntaxError{Part: part, Reason: reason, Text: string(line[:min(len(line), maxErrorText)])}
}

// Error names the part, the reason and the text.
func (e *SyntaxError) Error() string {
	return "malformed response: " + string(e.Part) + ": " + e.Reason + ": " + strconv.Quote(e.Text)
}

// TooLongError reports a part of a response that is longer than is accepted.
type TooLongError struct {
	Part Part
	// Limit is the length that is accepted, in bytes.
	Limit int
}

// Error names the part and the limit.
func (e *TooLongError) Error() string {
	return string(e.Part) + " of more than " + strconv.Itoa(e.Limit) + " bytes"
}

// InterimError reports too many interim (1xx) responses, or 101 (Switching Protocols) although no
// upgrade was requested.
type InterimError struct{ Status int }

// Error names the status.
func (e *InterimError) Error() string {
	return "unexpected interim response with status " + strconv.Itoa(e.Status)
}
