package membership

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func member(n int) Member {
	return Member{Incarnation: fmt.Sprintf("m%03d", n), Zone: string(rune('a' + n%4))}
}

// Guards against witnesses that are not members, too few or too many witnesses,
// unsorted witnesses, and the replacement of a witness that is still a member.
func TestWithKeepsWitnesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		limit := rapid.IntRange(1, 15).Draw(t, "limit")
		m := &Membership{}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			var add []Member
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, 60), 0, 8).Draw(t, "add") {
				add = append(add, member(n))
			}
			var remove []string
			for _, old := range m.Members {
				if rapid.IntRange(0, 5).Draw(t, "remove") == 0 {
					remove = append(remove, old.Incarnation)
				}
			}
			next := m.NextVersion(add, remove, limit)
			is.Equal(next.Version, int64(step+1))
			is.Equal(len(next.Witnesses), min(limit, len(next.Members)))
			is.True(slices.IsSorted(next.Witnesses))
			for _, w := range next.Witnesses {
				_, ok := next.Find(w)
				is.True(ok)
			}
			for _, w := range m.Witnesses {
				if _, stays := next.Find(w); stays {
					is.True(next.IsWitness(w)) // kept while a member
				}
			}
			m = next
		}
	})
}

// Guards against one zone holding so many witnesses that its loss leaves no majority.
func TestWitnessesSpreadOverZones(t *testing.T) {
	for _, zones := range []int{3, 4} {
		is := is.New(t)
		m := &Membership{}
		for n := range 48 {
			m = m.NextVersion([]Member{{Incarnation: fmt.Sprintf("m%03d", n), Zone: string(rune('a' + n%zones))}}, nil, 15)
		}
		perZone := map[string]int{}
		for _, w := range m.Witnesses {
			found, _ := m.Find(w)
			perZone[found.Zone]++
		}
		for _, count := range perZone {
			is.True(len(m.Witnesses)-count >= m.Majority())
		}
	}
}

// Guards against the removal of one member changing the order of the others.
func TestRankMovesOnlyTheChangedMember(t *testing.T) {
	is := is.New(t)
	m := &Membership{}
	for n := range 20 {
		m = m.NextVersion([]Member{member(n)}, nil, 15)
	}
	smaller := m.NextVersion(nil, []string{"m007"}, 15)
	for k := range 50 {
		key := fmt.Sprint("team-", k)
		without := slices.DeleteFunc(m.Rank(key), func(x Member) bool { return x.Incarnation == "m007" })
		is.Equal(smaller.Rank(key), without)
	}
}

// referenceRankAcrossZones is a simple, slower implementation of RankAcrossZones: it
// repeatedly takes the highest-ranked member of a zone with the fewest chosen
// members so far.
func referenceRankAcrossZones(m *Membership, key string, n int) []Member {
	ranked := m.Rank(key)
	perZone := map[string]int{}
	var chosen []Member
	for len(chosen) < n && len(ranked) > 0 {
		best := 0
		for i, x := range ranked {
			if perZone[x.Zone] < perZone[ranked[best].Zone] {
				best = i
			}
		}
		perZone[ranked[best].Zone]++
		chosen = append(chosen, ranked[best])
		ranked = slices.Delete(ranked, best, best+1)
	}
	return chosen
}

// Guards against the one-pass implementation choosing other members than the
// reference implementation; instances of different releases must agree on roles.
func TestRankSpreadEqualsThePlainForm(t *testing.T) {
	is := is.New(t)
	for _, size := range []int{0, 1, 5, 48} {
		var add []Member
		for i := range size {
			add = append(add, Member{Incarnation: fmt.Sprintf("%x", i*7919), Zone: fmt.Sprint(i % 7 % 4)})
		}
		m := (&Membership{}).NextVersion(add, nil, 15)
		for k := range 100 {
			for _, n := range []int{1, 2, 8, 16} {
				want, got := referenceRankAcrossZones(m, fmt.Sprint(k), n), m.RankAcrossZones(fmt.Sprint(k), n)
				is.Equal(len(got), len(want))
				is.True(slices.Equal(got, want))
			}
		}
	}
}

func BenchmarkRankAcrossZones(b *testing.B) {
	var add []Member
	for i := range 550 {
		add = append(add, Member{Incarnation: fmt.Sprintf("%024x", i*7919), Zone: fmt.Sprint(i % 11)})
	}
	m := (&Membership{}).NextVersion(add, nil, 15)
	b.Run("plain", func(b *testing.B) {
		for b.Loop() {
			referenceRankAcrossZones(m, "team", 16)
		}
	})
	b.Run("one-pass", func(b *testing.B) {
		for b.Loop() {
			m.RankAcrossZones("team", 16)
		}
	})
}

// Guards against all members chosen for a role being in one zone.
func TestRankSpreadUsesAllZones(t *testing.T) {
	is := is.New(t)
	m := &Membership{}
	for n := range 20 {
		m = m.NextVersion([]Member{member(n)}, nil, 15)
	}
	zones := map[string]bool{}
	for _, chosen := range m.RankAcrossZones("health/portal", 4) {
		zones[chosen.Zone] = true
	}
	is.Equal(len(zones), 4)
	is.Equal(len(m.RankAcrossZones("x", 100)), 20)
}
