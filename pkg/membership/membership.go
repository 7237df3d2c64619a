// Package membership defines the versioned list of the instances of a fleet and
// derives roles from it: the witnesses, and the members ranked for a key. Values
// are immutable once they have been published.
package membership

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Member is one incarnation of an instance. A restarted process is a new
// member, and so is a process that rejoins after its removal.
type Member struct {
	// Incarnation is unique to one stay of one process run in the membership.
	Incarnation string `json:"incarnation"`
	// Instance is the id from the settings.
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	// PeerAddress serves other instances, CallerAddress serves callers and
	// OperatorAddress serves operators; IP:port.
	PeerAddress     string `json:"peer_address"`
	CallerAddress   string `json:"caller_address"`
	OperatorAddress string `json:"operator_address"`
}

// Membership is one version of the membership document.
type Membership struct {
	Version int64 `json:"version"`
	// Members are sorted by incarnation.
	Members []Member `json:"members"`
	// Witnesses are the incarnations, sorted, a majority of which must confirm
	// the versions of an instance (package fence) before it may act on them.
	Witnesses []string `json:"witnesses"`
}

// Find returns the member with this incarnation.
func (m *Membership) Find(incarnation string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(m.Members, incarnation, func(member Member, key string) int {
		switch {
		case member.Incarnation < key:
			return -1
		case member.Incarnation > key:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return Member{}, false
	}
	return m.Members[i], true
}

// IsWitness reports whether the incarnation is a witness of this version.
func (m *Membership) IsWitness(incarnation string) bool {
	_, ok := slices.BinarySearch(m.Witnesses, incarnation)
	return ok
}

// Majority is the number of witnesses that form a majority.
func (m *Membership) Majority() int { return len(m.Witnesses)/2 + 1 }

// NextVersion returns the next version with the given members added and removed, and
// with up to maxWitnesses witnesses.
func (m *Membership) NextVersion(add []Member, remove []string, maxWitnesses int) *Membership {
	next := &Membership{Version: m.Version + 1}
	for _, member := range m.Members {
		if !slices.Contains(remove, member.Incarnation) {
			next.Members = append(next.Members, member)
		}
	}
	for _, member := range add {
		if !slices.ContainsFunc(next.Members, func(o Member) bool { return o.Incarnation == member.Incarnation }) {
			next.Members = append(next.Members, member)
		}
	}
	sort.Slice(next.Members, func(i, j int) bool { return next.Members[i].Incarnation < next.Members[j].Incarnation })
	next.Witnesses = chooseWitnesses(next.Members, m.Witnesses, maxWitnesses)
	return next
}

// chooseWitnesses keeps the witnesses that are still members and adds members,
// each from the zone with the fewest witnesses, up to the limit. The loss of
// one zone then leaves a majority if the number of zones permits it.
func chooseWitnesses(members []Member, current []string, limit int) []string {
	perZone := map[string]int{}
	var witnesses []string
	var candidates []Member
	for _, member := range members {
		perZone[member.Zone] += 0
		if slices.Contains(current, member.Incarnation) {
			witnesses = append(witnesses, member.Incarnation)
			perZone[member.Zone]++
		} else {
			candidates = append(candidates, member)
		}
	}
	for len(witnesses) < limit && len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			if perZone[c.Zone] < perZone[candidates[best].Zone] {
				best = i
			}
		}
		witnesses = append(witnesses, candidates[best].Incarnation)
		perZone[candidates[best].Zone]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	sort.Strings(witnesses)
	return witnesses
}

// Rank orders the members for the key by rendezvous hashing: adding or removing
// a member does not change the order of the others.
func (m *Membership) Rank(key string) []Member {
	ranked := slices.Clone(m.Members)
	scores := make(map[string]uint64, len(ranked))
	for _, member := range ranked {
		scores[member.Incarnation] = xxhash.Sum64String(key + "\x00" + member.Incarnation)
	}
	sort.Slice(ranked, func(i, j int) bool {
		a, b := scores[ranked[i].Incarnation], scores[ranked[j].Incarnation]
		if a != b {
			return a > b
		}
		return ranked[i].Incarnation < ranked[j].Incarnation
	})
	return ranked
}
