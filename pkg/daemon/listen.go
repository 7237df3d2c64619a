package daemon

// ListenError says that a listener could not be opened.
type ListenError struct {
	Address string
	Cause   error
}

// Error names the address and the cause.
func (e *ListenError) Error() string { return "listen on " + e.Address + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// SilentLogger drops the log lines of fasthttp, which report every connection
// that a client broke off and may hold a client's input.
type SilentLogger struct{}

// Printf drops the line.
func (SilentLogger) Printf(string, ...any) {}
