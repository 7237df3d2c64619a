package targetsim

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DisconnectError is the cause of a request context that was canceled because
// the caller closed its connection.
type DisconnectError struct{}

// Error states the cause.
func (*DisconnectError) Error() string { return "targetsim: the caller closed the connection" }

// watchDisconnect calls cancel when the peer closes the connection. fasthttp does
// not read from the connection while a handler runs, so the watcher waits for the
// socket to become readable and peeks without consuming data. A pipelined request
// ends the watch, because a close after it cannot be detected by peeking. The
// returned function ends the watch; call it before the handler returns.
func watchDisconnect(conn net.Conn, cancel context.CancelCauseFunc) (stop func()) {
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
				cancel(&DisconnectError{})
			}
			return true
		})
	}()
	return func() {
		// A deadline in the past wakes the watcher. An error means that the
		// connection is closed, which fasthttp detects on its next read.
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = conn.SetReadDeadline(time.Time{})
	}
}
