package fleet

import "github.com/arbutuslink/arbutuslink/pkg/lab/relay"

// PeerRelay is the relay in front of the peer listener of one instance.
type PeerRelay struct{ relay *relay.Relay }

// newPeerRelay starts a relay on address that forwards to target.
func newPeerRelay(target, address string) (*PeerRelay, error) {
	r := relay.New(relay.Options{Address: address, Target: target})
	if err := r.Start(); err != nil {
		return nil, err
	}
	return &PeerRelay{relay: r}, nil
}

// Address returns the address that other instances connect to, IP:port.
func (l *PeerRelay) Address() string { return l.relay.Addr() }

// SetFaults replaces the faults of all connections. Errors: *relay.FaultsError.
func (l *PeerRelay) SetFaults(f relay.Faults) error { return l.relay.SetFaults(f) }

// SetSourceFaults replaces the additional faults of connections from one source IP
// address. Errors: *relay.FaultsError.
func (l *PeerRelay) SetSourceFaults(sourceIP string, f relay.Faults) error {
	return l.relay.SetSourceFaults(sourceIP, f)
}

// Close closes the relay and its connections.
func (l *PeerRelay) Close() { _ = l.relay.Close() }
