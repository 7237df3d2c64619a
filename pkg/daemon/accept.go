package daemon

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// acceptRetryDelay is the delay before the next Accept after a temporary error.
const acceptRetryDelay = 100 * time.Millisecond

// TolerantListener is a listener whose Accept retries after errors that pass, such as
// a lack of file descriptors. A server ends at the first error of Accept, and the
// process with it.
type TolerantListener struct{ net.Listener }

// Accept waits for the next connection. It fails only for good, for example once the
// listener is closed.
func (l TolerantListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !temporary(err) {
			return conn, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// temporary reports whether an error of Accept can pass by itself.
func temporary(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.ENOBUFS) ||
		errors.Is(err, syscall.ENOMEM) || errors.Is(err, syscall.ECONNABORTED)
}
