package proxy

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// receiveState is the state of a connection's receive buffer.
type receiveState int

const (
	nothingReceived receiveState = iota
	dataReceived
	closedByPeer
)

// peek returns the state of a connection's receive buffer without blocking and
// without consuming data. It uses Control because Read fails once a read deadline
// has passed. A connection without a file descriptor counts as nothingReceived.
func peek(conn net.Conn) receiveState {
	state := nothingReceived
	err := withDescriptor(conn, func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = dataReceived
		case err != unix.EAGAIN && err != unix.EINTR:
			state = closedByPeer
		}
	})
	if err != nil {
		return closedByPeer
	}
	return state
}

// hasUnsentData reports whether the peer has yet to acknowledge data written to the
// connection. It is false where the system does not tell.
func hasUnsentData(conn net.Conn) bool {
	unsent := 0
	err := withDescriptor(conn, func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return err == nil && unsent > 0
}

// withDescriptor calls f with the file descriptor of a connection, if it has one. It fails
// if the connection has been closed.
func withDescriptor(conn net.Conn, f func(fd uintptr)) error {
	sc, ok := unwrap(conn).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(f)
}

// openWithoutData reports whether an idle connection is open and has received
// nothing, so that it can be reused.
func openWithoutData(conn net.Conn) bool { return peek(conn) == nothingReceived }

// unwrap returns the connection below wrappers.
func unwrap(conn net.Conn) net.Conn {
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return conn
		}
		conn = wrapped.NetConn()
	}
}
