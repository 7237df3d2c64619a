package entry

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/detour"
)

// targetConnectTimeout bounds a connection to a target, far above the typical 1 ms and
// below the 1 s after which the kernel resends a lost SYN.
const targetConnectTimeout = 250 * time.Millisecond

// connections records when other instances last connected to a target, as their reports and
// replies say. It is safe for concurrent use.
type connections struct {
	mu sync.Mutex
	// at holds the time since boot by incarnation.
	at map[string]time.Duration
}

// record applies the age that another instance has told, if it has.
func (c *connections) record(incarnation string, ageMS *uint32, now time.Duration) {
	if ageMS == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at == nil {
		c.at = map[string]time.Duration{}
	}
	c.at[incarnation] = max(c.at[incarnation], now-time.Duration(*ageMS)*time.Millisecond)
}

// since returns the incarnations that have connected to a target since a time, and forgets
// those that have not within twice the time for which that counts.
func (c *connections) since(since, now time.Duration) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := map[string]bool{}
	for incarnation, at := range c.at {
		switch {
		case at >= since:
			found[incarnation] = true
		case now-at > 2*detour.WitnessMemory:
			delete(c.at, incarnation)
		}
	}
	return found
}

// newPaths returns the dialer of connections to targets, which knows whether this instance
// has a path to them.
func (i *Instance) newPaths() *detour.Dialer {
	direct := detour.Direct{FaultFile: i.settings.TargetFaultFile}
	monitor := &detour.Monitor{
		Paths: &detour.Paths{}, Clock: i.clock, Log: &i.log, Targets: i.targetAddresses, Connect: direct.Test(targetConnectTimeout),
		Reached: func(since time.Duration) bool { return len(i.connecting.since(since, i.clock.SinceBoot())) > 0 },
	}
	return &detour.Dialer{Monitor: monitor, Zone: i.settings.AvailabilityZone, Direct: direct.Dial, Peers: i.detourPeers, Timeout: targetConnectTimeout}
}

// targetAddresses returns the addresses of the configured targets in use.
func (i *Instance) targetAddresses() []string {
	var addresses []string
	for _, s := range i.control.View().Config.Config.Services {
		for _, t := range s.Targets {
			if !t.OutOfUse() {
				addresses = append(addresses, t.Address)
			}
		}
	}
	return addresses
}

// listsTarget reports whether an address is that of a configured target whose zone is not
// evacuated.
func (i *Instance) listsTarget(address string) bool {
	for _, s := range i.control.View().Config.Config.Services {
		for _, t := range s.Targets {
			if t.Address == address && !t.Evacuated {
				return true
			}
		}
	}
	return false
}

// detourPeers returns the other members; those that have lately connected to a target are
// known to reach some.
func (i *Instance) detourPeers() []detour.Peer {
	now := i.clock.SinceBoot()
	view, connecting := i.control.View(), i.connecting.since(now-detour.WitnessMemory, now)
	var peers []detour.Peer
	for _, m := range view.Membership.Members {
		if m.Incarnation != view.Self.Incarnation {
			peers = append(peers, detour.Peer{Instance: m.Instance, Zone: m.Zone, Address: m.PeerAddress, Reaches: connecting[m.Incarnation]})
		}
	}
	return peers
}

// connectedAge returns the time in ms since this instance last connected to a target, nil if
// it never has.
func (i *Instance) connectedAge() *uint32 {
	at := i.paths.ConnectedAt()
	if at == 0 {
		return nil
	}
	age := uint32((i.clock.SinceBoot() - at).Milliseconds())
	return &age
}
