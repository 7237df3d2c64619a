package edge

import (
	"context"
	"net"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
)

// newPaths returns the dialer of connections to targets, which knows whether this instance
// has a path to them.
func (i *Instance) newPaths() *detour.Dialer {
	direct := detour.Direct{FaultFile: i.Settings.TargetFaultFile}
	monitor := &detour.Monitor{
		Paths: &detour.Paths{}, Clock: i.clock, Log: i.Log, Targets: i.targetAddresses, Connect: direct.Test(connectTimeout),
		OnChange: i.pathsChanged, OnAsk: func() { i.fleet.Push(true) },
		Reached: func(since time.Duration) bool { return len(i.fleet.Connecting(since)) > 0 },
	}
	return &detour.Dialer{Monitor: monitor, Zone: i.Settings.AvailabilityZone, Direct: direct.Dial, Peers: i.detourPeers, Timeout: connectTimeout}
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
			if !e.Draining && !i.follower.Evacuated(e.Zone) {
				addresses = append(addresses, e.Address)
			}
		}
	}
	return addresses
}

// detourPeers returns the instances that may connect to targets for this one: those that
// have lately connected to one, and the others that serve and have not lost their paths.
func (i *Instance) detourPeers() []detour.Peer {
	var peers []detour.Peer
	known := map[string]bool{i.Settings.Instance: true}
	add := func(members []fleet.Member, reaches bool) {
		for _, m := range members {
			if !known[m.Instance] {
				known[m.Instance] = true
				peers = append(peers, detour.Peer{Instance: m.Instance, Zone: m.Zone, Address: m.GossipAddress, Reaches: reaches})
			}
		}
	}
	add(i.fleet.Connecting(i.clock.SinceBoot()-detour.WitnessMemory), true)
	view := i.fleet.View()
	add(view.Attached(view.Peers), false)
	return peers
}

// lists reports whether an address is that of a listed target whose zone is not evacuated:
// an instance that does not know of an order must not get around it through this one.
func lists(c *discovery.Catalogue, evacuations placement.Evacuations, address string) bool {
	for _, entries := range c.Services {
		for _, e := range entries {
			if e.Address == address && !evacuations.Evacuated(e.Zone) {
				return true
			}
		}
	}
	return false
}

// servePeers serves other instances at the gossip address until ctx ends: their calls, and
// their connections to targets.
func (i *Instance) servePeers(ctx context.Context, listener net.Listener) error {
	calls := detour.Split(ctx, listener, i.detours)
	server := &stateServer{viewer: i.follower, listing: i.registry.Listing}
	return drpcpeer.Serve(ctx, calls, peer.Handlers{OnFetch: server.fetch})
}
