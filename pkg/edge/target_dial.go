package edge

import (
	"context"
	"net"
	"net/netip"
	"os"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// targetDialer opens direct connections to targets.
type targetDialer struct {
	// faultFile is the setting target_fault_file.
	faultFile string
}

func (d targetDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	if d.faultFile != "" {
		if err := d.injectFault(ctx); err != nil {
			return nil, err
		}
	}
	// Addresses are IP:port, so the resolver and its allocations are not needed.
	remote, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Idle connections are closed within seconds, too soon for keep-alive probes.
	dialer := net.Dialer{KeepAlive: -1}
	conn, err := dialer.DialTCP(ctx, "tcp", netip.AddrPort{}, remote)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	return conn, nil
}

// injectFault fails as the fault file says, if it exists.
func (d targetDialer) injectFault(ctx context.Context) error {
	fault, err := os.ReadFile(d.faultFile)
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
