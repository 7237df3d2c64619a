package detour

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Direct opens direct connections to targets.
type Direct struct {
	// FaultFile is the setting target_fault_file; empty injects no faults.
	FaultFile string
}

// Dial connects to the target at an address (IP:port).
func (d Direct) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.FaultFile != "" {
		if err := d.injectFault(ctx); err != nil {
			return nil, err
		}
	}
	// Addresses are IP:port, so the resolver and its allocations are not needed.
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Idle connections are closed within seconds, too soon for keep-alive probes,
	// whose setup would cost four system calls for each connection.
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialTCP(ctx, "tcp", netip.AddrPort{}, remote)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return conn, nil
}

// Test returns a function that opens a connection to a target, within the timeout, and
// closes it.
func (d Direct) Test(timeout time.Duration) func(ctx context.Context, address string) error {
	return func(ctx context.Context, address string) error {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		conn, err := d.Dial(limited, address)
		if err != nil {
			return err
		}
		return errors.WithStack(conn.Close())
	}
}

// injectFault fails as the fault file says, if it exists.
func (d Direct) injectFault(ctx context.Context) error {
	fault, err := os.ReadFile(d.FaultFile)
	switch {
	case err != nil:
		return nil
	case strings.TrimSpace(string(fault)) == "hang":
		<-ctx.Done()
		return errors.WithStack(ctx.Err())
	default:
		return errors.WithStack(syscall.ECONNREFUSED)
	}
}
