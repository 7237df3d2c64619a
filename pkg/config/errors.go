package config

import "github.com/arbutuslink/arbutuslink/pkg/document"

// Errors in documents; see package document.
type (
	// FieldError describes one invalid value.
	FieldError = document.FieldError
	// InvalidError lists every invalid value of a document.
	InvalidError = document.InvalidError
	// SyntaxError says that a document is not well-formed JSON.
	SyntaxError = document.SyntaxError
)

// PatchError says that a patch could not be applied.
type PatchError struct{ Cause error }

// Error includes the cause.
func (e *PatchError) Error() string { return "patch cannot be applied: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Cause }
