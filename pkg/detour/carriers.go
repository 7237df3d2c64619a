package detour

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// maxCarriers bounds the instances whose results are remembered.
const maxCarriers = 4096

// Peer is an instance that may connect to targets for this one.
type Peer struct {
	Instance, Zone, Address string
	// Reaches says that the instance is known to have connected to a target lately. Without
	// it the instance may have no path, or may have needed no new connection.
	Reaches bool
}

// carrierResult is when this instance last connected through another one, and when it last
// could not.
type carrierResult struct{ connectedAt, failedAt time.Duration }

// carriers records through which instances detours lead, and decides in which order they are
// tried. It is safe for concurrent use; times are those since boot.
type carriers struct {
	mu      sync.Mutex
	results map[string]carrierResult
}

// record records the result of a detour.
func (c *carriers) record(instance string, connected bool, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.results == nil || len(c.results) >= maxCarriers {
		c.results = map[string]carrierResult{}
	}
	r := c.results[instance]
	if connected {
		r.connectedAt = now
	} else {
		r.failedAt = now
	}
	c.results[instance] = r
}

// order returns peers in the order in which they are tried: by turns one that reaches
// targets and another. Those that reached targets shortly before a cut may be the ones that
// it concerns, and those that kept their connections the ones that it spared. Among both,
// those that failed lately come last, and those of the own zone come first.
func (c *carriers) order(peers []Peer, zone string, now time.Duration) []Peer {
	type ranked struct {
		Peer
		rank int
	}
	c.mu.Lock()
	var groups [2][]ranked
	for _, p := range peers {
		r, group, rank := c.results[p.Instance], 1, 0
		if p.Reaches || r.reaches(now) {
			group = 0
		}
		if r.failed(now) {
			rank += 2
		}
		if p.Zone != zone {
			rank++
		}
		groups[group] = append(groups[group], ranked{p, rank})
	}
	c.mu.Unlock()
	for _, g := range groups {
		rand.Shuffle(len(g), func(i, j int) { g[i], g[j] = g[j], g[i] })
		slices.SortStableFunc(g, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	}
	ordered := make([]Peer, 0, len(peers))
	for n := range max(len(groups[0]), len(groups[1])) {
		for _, g := range groups {
			if n < len(g) {
				ordered = append(ordered, g[n].Peer)
			}
		}
	}
	return ordered
}

// usable reports whether a connection through an instance should take a new request: the
// instance must be one of peers, and reach targets if any of them is known to.
func (c *carriers) usable(instance string, peers []Peer, now time.Duration) bool {
	listed, anyReaches := false, false
	for _, p := range peers {
		if p.Instance == instance {
			if p.Reaches {
				return true
			}
			listed = true
		}
		anyReaches = anyReaches || p.Reaches
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return listed && (!anyReaches || c.results[instance].reaches(now))
}

// reaches reports whether a detour has lately led through the instance.
func (r carrierResult) reaches(now time.Duration) bool {
	return r.connectedAt > r.failedAt && now-r.connectedAt < WitnessMemory
}

// failed reports whether a detour through the instance has lately failed.
func (r carrierResult) failed(now time.Duration) bool {
	return r.failedAt > r.connectedAt && now-r.failedAt < failureMemory
}
