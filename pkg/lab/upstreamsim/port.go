package upstreamsim

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// reusePort lets a listener share its address with a Reservation.
var reusePort = net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) { failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	return errors.CombineErrors(err, failed)
}}

// Reservation keeps a port on loopback from other sockets while a target that uses it is down.
// Connections are refused meanwhile, as nothing listens.
type Reservation struct {
	// Address is the IP:port.
	Address string
	fd      int
}

// Reserve reserves a free port.
func Reserve() (*Reservation, error) {
	listener, err := reusePort.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = listener.Close() }()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	port := listener.Addr().(*net.TCPAddr).Port
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return nil, errors.CombineErrors(errors.WithStack(err), unix.Close(fd))
	}
	if err := unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, errors.CombineErrors(errors.WithStack(err), unix.Close(fd))
	}
	return &Reservation{Address: listener.Addr().String(), fd: fd}, nil
}

// Release gives the port back.
func (r *Reservation) Release() { _ = unix.Close(r.fd) }
