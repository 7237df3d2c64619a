package daemon

import (
	"net"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

// failingListener fails with the given errors before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	conn, _ := net.Pipe()
	return conn, nil
}

// Guards against a process that ends because it has no file descriptor left for one
// connection.
func TestAcceptOutlivesTemporaryErrors(t *testing.T) {
	is := is.New(t)
	lack := &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	conn, err := TolerantListener{&failingListener{failures: []error{lack, lack}}}.Accept()
	is.NoErr(err)
	is.True(conn != nil)
	_, err = TolerantListener{&failingListener{failures: []error{net.ErrClosed}}}.Accept()
	is.True(err != nil)
}
