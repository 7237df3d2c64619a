package config

import "github.com/arbutuslink/arbutuslink/pkg/document"

// Errors of documents; see package document.
type (
	// FieldError names one invalid value.
	FieldError = document.FieldError
	// InvalidError lists every invalid value of a document.
	InvalidError = document.InvalidError
	// SyntaxError says that a document is not well-formed JSON.
	SyntaxError = document.SyntaxError
)

// PatchError says that a patch could not be applied.
type PatchError struct{ Cause error }

// Error gives the cause.
func (e *PatchError) Error() string { return "patch cannot be applied: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *PatchError) Unwrap() error { return e.Cause }
