package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scoredMember is the index of a member in Members and its score for a key.
type scoredMember struct {
	score uint64
	index int
}

// RankAcrossZones returns up to n members for the key, spread over the zones: first
// the highest-ranked member of each zone, then the second of each zone, and so
// on, each round in the order of Rank. It reads the members once, because it
// runs for every team and service.
func (m *Membership) RankAcrossZones(key string, n int) []Member {
	zones := m.topMembersPerZone(key, n)
	chosen := make([]Member, 0, min(n, len(m.Members)))
	for round := 0; len(chosen) < n; round++ {
		var candidates []scoredMember
		for _, top := range zones {
			if round < len(top) {
				candidates = append(candidates, top[round])
			}
		}
		if len(candidates) == 0 {
			break
		}
		slices.SortFunc(candidates, compareScores)
		for _, c := range candidates[:min(len(candidates), n-len(chosen))] {
			chosen = append(chosen, m.Members[c.index])
		}
	}
	return chosen
}

// topMembersPerZone returns up to n members of each zone by zone, the highest
// score first.
func (m *Membership) topMembersPerZone(key string, n int) map[string][]scoredMember {
	zones := map[string][]scoredMember{}
	prefix := append([]byte(key), 0)
	for i := range m.Members {
		zone := m.Members[i].Zone
		candidate := scoredMember{xxhash.Sum64(append(prefix, m.Members[i].Incarnation...)), i}
		top := zones[zone]
		if len(top) == n && compareScores(top[n-1], candidate) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, candidate, compareScores)
		top = slices.Insert(top, at, candidate)
		zones[zone] = top[:min(len(top), n)]
	}
	return zones
}

// compareScores orders by descending score, and by index for equal scores.
func compareScores(a, b scoredMember) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	default:
		return a.index - b.index
	}
}
