package targetsim

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// HangUpError is the cause of a request context that ended because the caller
// closed its connection.
type HangUpError struct{}

// Error states the cause.
func (*HangUpError) Error() string { return "targetsim: the caller closed the connection" }

// watchHangUp cancels when the peer closes the connection. fasthttp does not
// read from the connection while a handler runs, so the watcher waits for the
// socket to become readable and peeks without consuming. A pipelined request
// ends the watch, as the close behind it cannot be seen. The returned function
// ends the watch and must be called before the handler returns.
func watchHangUp(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return func() {}
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return func() {}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = control.Read(func(fd uintptr) bool {
			var probe [1]byte
			n, _, err := unix.Recvfrom(int(fd), probe[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			switch {
			case err == unix.EAGAIN || err == unix.EINTR:
				return false
			case err != nil || n == 0:
				cancel(&HangUpError{})
			}
			return true
		})
	}()
	return func() {
		// A deadline in the past wakes the watcher; the errors are those of a
		// closed connection, which fasthttp meets next.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}
