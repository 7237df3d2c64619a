package evacuation

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// store is the rows of the evacuated zones in a store that can be restored from a copy.
type store struct {
	version  Version
	zones    map[string]bool
	previous []change
	copies   []store
}

// change is one write of a row.
type change struct {
	number    int64
	zone      string
	evacuated bool
}

func (s *store) write(zone string, evacuated bool) {
	s.version.Number++
	if evacuated {
		s.zones[zone] = true
	} else {
		delete(s.zones, zone)
	}
	s.previous = append(s.previous, change{s.version.Number, zone, evacuated})
}

func (s *store) copy() store {
	zones := map[string]bool{}
	for zone := range s.zones {
		zones[zone] = true
	}
	return store{version: s.version, zones: zones, previous: slices.Clone(s.previous)}
}

func (s *store) restore(c store) {
	era := s.version.Era
	copies := s.copies
	*s = c.copy()
	s.version.Era, s.copies = era+1, copies
}

func (s *store) read() Change {
	c := Change{Version: s.version, Complete: true}
	for zone := range s.zones {
		c.Evacuated = append(c.Evacuated, zone)
	}
	return c
}

// feed returns the changes after a number.
func (s *store) feed(after int64) Change {
	last := map[string]bool{}
	for _, p := range s.previous {
		if p.number > after {
			last[p.zone] = p.evacuated
		}
	}
	c := Change{Version: s.version}
	for zone, evacuated := range last {
		if evacuated {
			c.Evacuated = append(c.Evacuated, zone)
		} else {
			c.Restored = append(c.Restored, zone)
		}
	}
	return c
}

// Guards against an order that an instance loses, or one that was withdrawn and comes back,
// because its answers and the sets of other instances arrive late or in another order, or the
// store was restored from a copy.
func TestSetsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &store{zones: map[string]bool{}}
		sets := make([]*Set, 3)
		var late []*Set
		take := func(n int, next *Set) {
			if next.Supersedes(sets[n]) {
				if sets[n] != nil && next.Version().Before(sets[n].Version()) {
					t.Fatal("a set was replaced by an older one")
				}
				sets[n] = next
				late = append(late, next)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			n := rapid.IntRange(0, len(sets)-1).Draw(t, "instance")
			zone := fmt.Sprintf("z%d", rapid.IntRange(0, 3).Draw(t, "zone"))
			switch rapid.IntRange(0, 7).Draw(t, "step") {
			case 0, 1:
				s.write(zone, rapid.Bool().Draw(t, "evacuated"))
			case 2:
				s.copies = append(s.copies, s.copy())
			case 3:
				if len(s.copies) > 0 {
					s.restore(rapid.SampledFrom(s.copies).Draw(t, "copy"))
				}
			case 4:
				take(n, sets[n].Apply(s.read()))
			case 5: // the call may have begun before the instance learned of later changes
				if sets[n] != nil && sets[n].Version().Era == s.version.Era {
					after := rapid.Int64Range(0, sets[n].Version().Number).Draw(t, "after")
					take(n, sets[n].Apply(s.feed(after)))
				}
			default: // a heartbeat, however old
				if len(late) > 0 {
					take(n, rapid.SampledFrom(late).Draw(t, "told"))
				}
			}
			if sets[n] != nil && sets[n].Version() == s.version && !slices.Equal(sets[n].Zones(), NewSet(Version{}, s.read().Evacuated...).Zones()) {
				t.Fatalf("at version %v, the store has %v and the instance %v", s.version, s.zones, sets[n].Zones())
			}
		}
	})
}

// Guards against an unknown set that counts as one without evacuated zones in an exchange.
func TestUnknownSet(t *testing.T) {
	is := is.New(t)
	var unknown *Set
	known := NewSet(Version{})
	is.True(known.Supersedes(unknown))
	is.True(!unknown.Supersedes(unknown) && !unknown.Supersedes(known))
	is.True(!unknown.Evacuated("a") && len(unknown.Zones()) == 0)
	is.Equal(unknown.Apply(Change{Evacuated: []string{"a"}}), nil) // a part of the changes tells no set
	is.Equal(NewSet(Version{Era: 1}, "a").Apply(Change{Version: Version{Era: 2, Number: 9}}), nil)
}
