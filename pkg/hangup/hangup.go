// Package hangup receives SIGHUP from the initialization of the program on. Until a
// program registers for the signal, SIGHUP terminates the process, and a platform
// may send it right after starting the process. The package imports only what it
// needs for the signal, so that it is among the first to be initialized.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received buffers one signal: several that arrive before it is read mean the same.
var received = make(chan os.Signal, 1)

func init() { signal.Notify(received, syscall.SIGHUP) }

// Received returns the channel on which the signals are delivered.
func Received() <-chan os.Signal { return received }
