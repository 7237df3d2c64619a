package edge

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"storj.io/drpc/drpcmigrate"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
)

// prefixTimeout is how long another instance may take for the first bytes on a connection to
// the gossip address, which tell calls from detours.
const prefixTimeout = 5 * time.Second

// newPaths returns the dialer of connections to targets, which knows whether this instance
// has a path to them.
func (i *Instance) newPaths() *detour.Dialer {
	dial := targetDialer{faultFile: i.Settings.TargetFaultFile}.dial
	monitor := &detour.Monitor{
		Paths: &detour.Paths{}, Clock: i.clock, Log: i.Log, Targets: i.targetAddresses, OnChange: i.pathsChanged, OnAsk: func() { i.fleet.Push(true) },
		Reached: func(since time.Duration) bool { return len(i.fleet.Connecting(since)) > 0 },
		Connect: func(ctx context.Context, address string) error {
			limited, cancel := context.WithTimeout(ctx, connectTimeout)
			defer cancel()
			conn, err := dial(limited, address)
			if err != nil {
				return err
			}
			return errors.WithStack(conn.Close())
		},
	}
	return &detour.Dialer{Monitor: monitor, Zone: i.Settings.AvailabilityZone, Direct: dial, Peers: i.detourPeers, Timeout: connectTimeout}
}

// answerPaths tells another instance that this one reaches targets, if it does.
func (i *Instance) answerPaths(address string) {
	i.paths.Answer(context.Background(), func() { i.fleet.Greet(address) })
}

// pathsChanged is called when the paths to the targets are lost or regained.
func (i *Instance) pathsChanged() {
	i.balancer.ForgetPaths()
	i.fleet.Recheck()
}

// targetAddresses returns the addresses of the targets that take requests.
func (i *Instance) targetAddresses() []string {
	var addresses []string
	for _, entries := range i.registry.Catalogue().Services {
		for _, e := range entries {
			if !e.Draining {
				addresses = append(addresses, e.Address)
			}
		}
	}
	return addresses
}

// detourPeers returns the instances that may connect to targets for this one: those that
// have lately connected to one, or else all that serve.
func (i *Instance) detourPeers() []detour.Peer {
	members := i.fleet.Connecting(i.clock.SinceBoot() - detour.WitnessMemory)
	if len(members) == 0 {
		members = i.fleet.View().Peers
	}
	var peers []detour.Peer
	for _, m := range members {
		if m.Instance != i.Settings.Instance {
			peers = append(peers, detour.Peer{Instance: m.Instance, Zone: m.Zone, Address: m.GossipAddress})
		}
	}
	return peers
}

// lists reports whether an address is that of a listed target.
func lists(c *discovery.Catalogue, address string) bool {
	for _, entries := range c.Services {
		for _, e := range entries {
			if e.Address == address {
				return true
			}
		}
	}
	return false
}

// servePeers serves other instances at the gossip address until ctx ends: their calls, and
// their connections to targets.
func (i *Instance) servePeers(ctx context.Context, listener net.Listener) error {
	mux := drpcmigrate.NewListenMux(prefixListener{listener}, len(detour.Prefix))
	tunnels := &detour.Server{
		Listed: func(address string) bool { return lists(i.registry.Catalogue(), address) }, Direct: i.paths.Direct, Timeout: connectTimeout, Log: i.Log,
	}
	go tunnels.Serve(mux.Route(detour.Prefix))
	go func() {
		server := &stateServer{viewer: i.follower, listing: i.registry.Listing}
		// It ends with the listener.
		_ = drpcpeer.Serve(ctx, callListener{mux.Default()}, peer.Handlers{OnFetch: server.fetch})
	}()
	return errors.WithStack(mux.Run(ctx))
}

// prefixListener bounds the time for the first bytes of each connection.
type prefixListener struct{ net.Listener }

// Accept waits for the next connection.
func (l prefixListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.SetReadDeadline(time.Now().Add(prefixTimeout)) // fails only on a closed connection
	}
	return conn, err
}

// callListener ends the bound of prefixListener.
type callListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	}
	return conn, err
}
