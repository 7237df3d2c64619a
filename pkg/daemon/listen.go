package daemon

// ListenError reports that a listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// SilentLogger discards the log lines of fasthttp, which report every connection
// that a client aborts and may contain client input.
type SilentLogger struct{}

// Printf discards the line.
func (SilentLogger) Printf(string, ...any) {}
