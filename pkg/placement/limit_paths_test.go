package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

// detach makes instances lose their paths to the targets, or regain them.
func (s *limitSim) detach(lost func(fleet.Member) bool) {
	detached := map[string]bool{}
	for _, m := range s.members {
		detached[m.view.Self.Instance] = lost(m.view.Self)
	}
	for _, m := range s.members {
		view := *m.view
		view.Version++
		view.Detached = detached
		m.view = &view
	}
}

// Guards against callers of instances without paths that are served less often than others.
func TestLostPathsLoseNamedRates(t *testing.T) {
	for name, lost := range map[string]func(fleet.Member) bool{
		"one instance":   func(m fleet.Member) bool { return m.Instance == "e00" },
		"most of a zone": func(m fleet.Member) bool { return m.Zone == "0" && m.Instance != "e00" },
		"a zone":         func(m fleet.Member) bool { return m.Zone == "0" },
		"most":           func(m fleet.Member) bool { return m.Instance > "e02" },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newLimitSim(seed, 9, 26, 130, 1, 0.5)
				for step := range 4000 {
					switch step {
					case 1200:
						s.detach(lost)
					case 1500: // the time in which an instance learns of its loss
						clear(s.askedAt)
						clear(s.startedAt)
					case 3600:
						s.detach(func(fleet.Member) bool { return false })
					}
					s.step(130*simStep.Seconds(), false)
				}
				s.checkBound(t)
				var asked, started [2]float64 // at instances without paths, and at others
				for _, m := range s.members {
					at, instance := 1, m.view.Self
					if lost(instance) {
						at = 0
					}
					asked[at] += float64(s.askedAt[instance.Instance])
					started[at] += float64(s.startedAt[instance.Instance])
				}
				if there, others := started[0]/asked[0], started[1]/asked[1]; there < others*2/3 {
					t.Errorf("seed %d: %.2f are served at instances without paths, %.2f at others", seed, there, others)
				}
			}
		})
	}
}

// Guards against rates of a zone without paths that other zones hold.
func TestZoneWithoutPathsKeepsNamedRates(t *testing.T) {
	is := is.New(t)
	a, b, c := fleet.Member{Instance: "a", Zone: "0"}, fleet.Member{Instance: "b", Zone: "0"}, fleet.Member{Instance: "c", Zone: "1"}
	all, own := []fleet.Member{a, b, c}, []fleet.Member{a, b}
	for _, row := range []struct {
		zone            string
		detached        []fleet.Member
		owners, sharing []fleet.Member
	}{
		{"0", nil, own, own},
		{"0", []fleet.Member{a}, []fleet.Member{b}, own},
		{"0", own, []fleet.Member{c}, own},
		{"0", all, all, own},
		{"2", own, []fleet.Member{c}, all},
	} {
		v := &fleet.View{Self: a, Peers: all, Detached: map[string]bool{}}
		for _, m := range row.detached {
			v.Detached[m.Instance] = true
		}
		owners, sharing := responsible(v, row.zone)
		is.Equal(owners, row.owners)
		is.Equal(sharing, row.sharing)
	}
}
