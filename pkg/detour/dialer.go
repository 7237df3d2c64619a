package detour

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// maxDetours is the number of instances through which one connection is tried.
const maxDetours = 2

// NoDetourError says that no other instance may reach targets.
type NoDetourError struct{ Target string }

// Error names the target.
func (e *NoDetourError) Error() string {
	return "connect to " + e.Target + ": no other instance reaches targets"
}

// Dialer opens connections to targets, directly or through other instances.
type Dialer struct {
	*Monitor
	// Zone is the availability zone of the instance.
	Zone string
	// Direct opens a direct connection.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	// Peers returns the instances that may reach targets.
	Peers func() []Peer
	// Timeout bounds a direct connection and the connection to a peer.
	Timeout time.Duration

	carriers carriers
}

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	dialer *Dialer
	// Via is the name of the instance through which it leads; empty for a direct one.
	Via string
}

// NetConn returns the wrapped connection.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Detour returns the name of the instance through which the connection leads.
func (c *Conn) Detour() string { return c.Via }

// Usable reports whether a new request should use the connection: not if it is a direct one
// while the paths are lost, or leads through an instance that no longer reaches targets.
func (c *Conn) Usable() bool {
	if c.Via == "" {
		return !c.dialer.Lost()
	}
	return c.dialer.carriers.usable(c.Via, c.dialer.Peers(), c.dialer.Clock.SinceBoot())
}

// Dial connects to the target at an address (IP:port). Errors also: *RefusedError.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Avoid(address, d.Clock.SinceBoot()) {
		conn, err := d.detour(ctx, address)
		var none *NoDetourError
		if errors.As(err, &none) {
			return d.direct(ctx, address)
		}
		return conn, err
	}
	conn, err := d.direct(ctx, address)
	if err == nil || !d.Suspect(address, d.Clock.SinceBoot()) {
		return conn, err
	}
	if conn, detourErr := d.detour(ctx, address); detourErr == nil {
		return conn, nil
	}
	return nil, err
}

// direct opens a direct connection and records the result.
func (d *Dialer) direct(ctx context.Context, address string) (net.Conn, error) {
	limited, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	conn, err := d.Direct(limited, address)
	if err != nil {
		if ctx.Err() == nil {
			d.Failed(address)
		}
		return nil, err
	}
	d.Connected(address, d.Clock.SinceBoot())
	return &Conn{Conn: conn, dialer: d}, nil
}

// detour connects through another instance.
func (d *Dialer) detour(ctx context.Context, address string) (net.Conn, error) {
	err := errors.WithStack(error(&NoDetourError{Target: address}))
	for n, p := range d.carriers.order(d.Peers(), d.Zone, d.Clock.SinceBoot()) {
		if n == maxDetours {
			break
		}
		var conn net.Conn
		conn, err = Connect(ctx, p.Address, address, d.Timeout)
		if err == nil || ctx.Err() == nil {
			d.carriers.record(p.Instance, err == nil, d.Clock.SinceBoot())
		}
		if err == nil {
			return &Conn{Conn: conn, dialer: d, Via: p.Instance}, nil
		}
	}
	return nil, err
}
