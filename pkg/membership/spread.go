package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// scored is a member by its index with its score for a key.
type scored struct {
	score uint64
	index int
}

// RankSpread returns the n best members of Rank, but in rounds: first the best
// of each zone, then the second best of each zone, and so on. It reads the
// members once, because it runs for every team and service.
func (m *Membership) RankSpread(key string, n int) []Member {
	zones := m.bestOfZones(key, n)
	chosen := make([]Member, 0, min(n, len(m.Members)))
	for round := 0; len(chosen) < n; round++ {
		var candidates []scored
		for _, best := range zones {
			if round < len(best) {
				candidates = append(candidates, best[round])
			}
		}
		if len(candidates) == 0 {
			break
		}
		slices.SortFunc(candidates, byScore)
		for _, c := range candidates[:min(len(candidates), n-len(chosen))] {
			chosen = append(chosen, m.Members[c.index])
		}
	}
	return chosen
}

// bestOfZones returns up to n members of each zone, the highest score first.
func (m *Membership) bestOfZones(key string, n int) map[string][]scored {
	zones := map[string][]scored{}
	prefix := append([]byte(key), 0)
	for i := range m.Members {
		zone := m.Members[i].Zone
		candidate := scored{xxhash.Sum64(append(prefix, m.Members[i].Incarnation...)), i}
		best := zones[zone]
		if len(best) == n && byScore(best[n-1], candidate) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, candidate, byScore)
		best = slices.Insert(best, at, candidate)
		zones[zone] = best[:min(len(best), n)]
	}
	return zones
}

// byScore orders by descending score; equal scores keep the order of the members.
func byScore(a, b scored) int {
	switch {
	case a.score > b.score:
		return -1
	case a.score < b.score:
		return 1
	default:
		return a.index - b.index
	}
}
