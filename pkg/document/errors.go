package document

import (
	"fmt"
	"strings"
)

// FieldError describes one invalid value.
type FieldError struct {
	// Path is the JSON path, for example $.teams.school.burst.
	Path    string
	Value   any
	Allowed string
}

// Error names the path, the value and the allowed values.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %v is not allowed; allowed: %s", e.Path, e.Value, e.Allowed)
}

// InvalidError lists every invalid value of a document.
type InvalidError struct{ Fields []*FieldError }

// Error joins the errors of the fields.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		lines[i] = f.Error()
	}
	return "document is invalid: " + strings.Join(lines, "; ")
}

// SyntaxError reports that a document is not well-formed JSON.
type SyntaxError struct {
	// Offset is the byte offset of the error, or -1 if it is not known.
	Offset int64
	Cause  error
}

// Error names the offset and the cause.
func (e *SyntaxError) Error() string {
	if e.Offset < 0 {
		return "malformed JSON: " + e.Cause.Error()
	}
	return fmt.Sprintf("malformed JSON at byte %d: %s", e.Offset, e.Cause)
}

// Unwrap returns the cause.
func (e *SyntaxError) Unwrap() error { return e.Cause }

// TrailingDataError reports that a document is followed by further data.
type TrailingDataError struct{}

// Error implements error.
func (*TrailingDataError) Error() string { return "data follows the document" }
