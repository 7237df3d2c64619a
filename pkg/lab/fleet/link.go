package fleet

import "github.com/arbutuslink/arbutuslink/pkg/lab/relay"

// Link is the relay in front of the peer listener of one instance.
type Link struct{ relay *relay.Relay }

// newLink starts a relay on address that forwards to target.
func newLink(target, address string) (*Link, error) {
	r := relay.New(relay.Options{Address: address, Target: target})
	if err := r.Start(); err != nil {
		return nil, err
	}
	return &Link{relay: r}, nil
}

// Address returns the address that other instances connect to, IP:port.
func (l *Link) Address() string { return l.relay.Addr() }

// Set replaces the faults of all connections. Errors: *relay.FaultsError.
func (l *Link) Set(f relay.Faults) error { return l.relay.SetFaults(f) }

// SetFrom replaces the additional faults of connections from one source IP
// address. Errors: *relay.FaultsError.
func (l *Link) SetFrom(sourceIP string, f relay.Faults) error {
	return l.relay.SetSourceFaults(sourceIP, f)
}

// Close closes the relay and its connections.
func (l *Link) Close() { _ = l.relay.Close() }
