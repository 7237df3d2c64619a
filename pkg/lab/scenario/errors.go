package scenario

import "fmt"

// UsageError reports that a script uses a command wrongly.
type UsageError struct{ What string }

// Error describes the error in the script.
func (e *UsageError) Error() string { return "usage: " + e.What }

// UnmetError reports that the fleet did not behave as a script expects.
type UnmetError struct{ What string }

// Error describes the observed behavior.
func (e *UnmetError) Error() string { return e.What }

func usage(format string, args ...any) error { return &UsageError{What: fmt.Sprintf(format, args...)} }

func unmet(format string, args ...any) error { return &UnmetError{What: fmt.Sprintf(format, args...)} }
