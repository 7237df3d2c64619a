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
	for {
		wrapped, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		conn = wrapped.NetConn()
	}
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return nothingReceived
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return closedByPeer
	}
	state := closedByPeer
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = dataReceived
		case err == unix.EAGAIN || err == unix.EINTR:
			state = nothingReceived
		}
	})
	if err != nil {
		return closedByPeer
	}
	return state
}

// openWithoutData reports whether an idle connection is open and has received
// nothing, so that it can be reused.
func openWithoutData(conn net.Conn) bool { return peek(conn) == nothingReceived }
