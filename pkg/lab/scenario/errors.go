package scenario

import "fmt"

// UsageError says that a command of a script is wrong.
type UsageError struct{ What string }

// Error describes the mistake.
func (e *UsageError) Error() string { return "usage: " + e.What }

// UnmetError says that the fleet did not do what a script expects.
type UnmetError struct{ What string }

// Error describes what was seen instead.
func (e *UnmetError) Error() string { return e.What }

func usage(format string, args ...any) error { return &UsageError{What: fmt.Sprintf(format, args...)} }

func unmet(format string, args ...any) error { return &UnmetError{What: fmt.Sprintf(format, args...)} }
