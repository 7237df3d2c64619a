// Package fleet tells which instances of a fleet are alive and which of them serve
// callers. Instances find each other in the platform's store when they start and
// exchange datagrams (heartbeats) from then on. Those that should serve follow the roster in the
// store, so that no two of them stay unknown to each other; without the store, what they know
// remains.
//
// An instance either serves callers or is a standby, which takes over when a
// serving instance of its zone fails or when the load rises. Each instance decides
// by itself, from the heartbeats that it receives and a common ranking.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member describes one incarnation of an instance: one run of its process. The
// roster stores it as JSON under the names of its fields.
type Member struct {
	Instance string
	// Incarnation grows with each start of the instance. It is made from the time of
	// day, so it can be lower after a clock step.
	Incarnation uint64
	Zone        string
	// CallerAddress takes requests of callers and GossipAddress heartbeats; both are IP:port.
	CallerAddress, GossipAddress string
	// DiagnosticsAddress serves the dump, IP:port; heartbeats do not carry it, so it
	// is known from the roster only.
	DiagnosticsAddress string
	// Capacity is the number of requests per second that the instance should carry.
	Capacity uint32
}

// Transport sends datagrams. Lost datagrams are not reported.
type Transport interface {
	Send(address string, data []byte)
}

// memberState is what this instance knows about another one from the roster and
// from heartbeats.
type memberState struct {
	Member
	// lastReceived is the time since boot of the last heartbeat from it, or of the
	// read of the roster that listed it.
	lastReceived time.Duration
	// heard says that a heartbeat has come from it.
	heard   bool
	serving bool
	leaving bool
	quiet   bool
	// pathsLost says that it connects to no target, connectedAt is the time since boot at
	// which it last connected to one, as far as it is known.
	pathsLost   bool
	connectedAt time.Duration
	rate        float64
	// hash is that of the name, 0 until it is needed; the name never changes.
	hash uint64
	// zoneNumber is the number of Zone in Fleet.zones, 0 until it is needed.
	zoneNumber int
	// lastSent is the time since boot of the last heartbeat to it.
	lastSent time.Duration
}

// capacityStep, in requests per second, groups capacities for the ranking: larger
// instances serve before smaller ones, and those in the same group are ordered by
// hash.
const capacityStep = 50

// compareRank orders the members of a zone: the first ones serve callers.
func compareRank(a, b *memberState) int {
	return cmp.Or(
		cmp.Compare(b.Capacity/capacityStep, a.Capacity/capacityStep),
		cmp.Compare(a.nameHash(), b.nameHash()),
		cmp.Compare(a.Instance, b.Instance),
	)
}

// nameHash returns the hash of the instance's name.
func (k *memberState) nameHash() uint64 {
	if k.hash == 0 {
		k.hash = xxhash.Sum64String(k.Instance)
	}
	return k.hash
}

// zoneNumber returns the number of a member's zone. The caller holds mu.
func (f *Fleet) zoneNumber(k *memberState) int {
	if k.zoneNumber == 0 {
		number, ok := f.zones[k.Zone]
		if !ok {
			number = len(f.zones) + 1
			f.zones[k.Zone] = number
		}
		k.zoneNumber = number
	}
	return k.zoneNumber
}

// addMember adds a member under its name. The caller holds mu.
func (f *Fleet) addMember(name string, k *memberState) {
	f.members[name] = k
	f.list, f.sameZone = append(f.list, k), nil
}

// zoneMembers returns the other members of the own zone in order of rank. The caller holds mu.
func (f *Fleet) zoneMembers() []*memberState {
	if f.sameZone == nil {
		own := f.zoneNumber(f.self)
		f.sameZone = make([]*memberState, 0, len(f.list))
		for _, k := range f.list {
			if f.zoneNumber(k) == own {
				f.sameZone = append(f.sameZone, k)
			}
		}
		slices.SortFunc(f.sameZone, compareRank)
	}
	return f.sameZone
}

// RanksBefore reports whether m ranks before other. It decides which of several
// instances takes on a task.
func (m Member) RanksBefore(other Member) bool {
	return compareRank(&memberState{Member: m}, &memberState{Member: other}) < 0
}

// View says which instances serve, as seen by this instance. It is immutable. Dumps
// show it as JSON under the names of its fields.
type View struct {
	// Version counts the changes of the set of serving instances.
	Version uint64
	Self    Member
	// Called says that this instance should serve. Serving says that it does: it was
	// called and Options.Ready reports that it is prepared.
	Called, Serving bool
	// Peers are the serving instances, including this one if it serves, ordered by
	// instance name.
	Peers []Member
	// Quiet holds the names of the peers that get too few requests to own targets.
	Quiet map[string]bool
	// Detached holds the names of the peers that connect to no target. They go on serving
	// those who know their address, but callers are not sent there.
	Detached map[string]bool
	// SharesVersion counts the changes of Peers and of the next three fields.
	SharesVersion uint64
	// Silent are the instances that are no peers and may serve nevertheless: nothing is
	// received from them, which a network partition may cause.
	Silent []Member
	// Settled says that this instance serves for so long that the others know it.
	Settled bool
	// ZoneSizes counts the known instances of each zone, standbys and this one included.
	ZoneSizes map[string]int
	// FixedShare is the fraction of a constant of the whole fleet that this instance may use
	// alone; 0 until it has read the roster.
	FixedShare float64
}

// Owners returns the serving instances of a zone that own targets; none if no instance of the
// zone connects to any.
func (v *View) Owners(zone string) []Member {
	if owners := v.Attached(v.Busy(zone)); len(owners) > 0 {
		return owners
	}
	return v.Attached(v.InZone(zone))
}

// Busy returns the serving instances of a zone to which callers send requests, whether they
// connect to targets or not; all of the zone if there are none.
func (v *View) Busy(zone string) []Member {
	members := v.InZone(zone)
	busy := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return v.Quiet[m.Instance] })
	if len(busy) == 0 {
		return members
	}
	return busy
}

// Attached returns those of some peers that connect to targets.
func (v *View) Attached(members []Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return v.Detached[m.Instance] })
}

// InZone returns the serving instances of a zone.
func (v *View) InZone(zone string) []Member {
	var members []Member
	for _, m := range v.Peers {
		if m.Zone == zone {
			members = append(members, m)
		}
	}
	return members
}

// minAddresses is the minimum number of addresses to return to a caller, so that
// it has an alternative when one instance fails.
const minAddresses = 2

// Addresses returns the addresses for a caller in zone: the serving instances of
// its zone, and those of other zones when there are fewer than minAddresses. If
// no instance is known to serve, it returns this instance's own address.
func (v *View) Addresses(zone string) []string {
	var sameZone, otherZones []string
	for _, m := range v.Attached(v.Peers) {
		if m.Zone == zone {
			sameZone = append(sameZone, m.CallerAddress)
		} else {
			otherZones = append(otherZones, m.CallerAddress)
		}
	}
	if len(sameZone) < minAddresses {
		sameZone = append(sameZone, otherZones...)
	}
	if len(sameZone) == 0 {
		sameZone = append(sameZone, v.Self.CallerAddress)
	}
	return sameZone
}
