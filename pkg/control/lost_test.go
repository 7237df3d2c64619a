package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// Guards against the minority of a partition declaring the majority gone
// because the platform's instance list is empty, for example after a restart of
// the platform.
func TestEmptyListTellsNothing(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 21)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	s.run(6 * time.Second)
	for i := range 2 {
		for j := 2; j < 5; j++ {
			s.cuts[[2]string{nodes[i].address, nodes[j].address}] = true
			s.cuts[[2]string{nodes[j].address, nodes[i].address}] = true
		}
	}
	s.run(30 * time.Second)
	is.True(!nodes[0].mayServe())
	is.True(!nodes[1].mayServe())
	is.True(nodes[2].mayServe())
	is.Equal(len(nodes[0].gone), 0)
}

// Guards against a fleet that needs an operator after all processes were
// restarted at their addresses, when the instance list contains addresses only.
func TestAllRestartedInPlace(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 22)
	nodes := s.fleet(5)
	s.run(6 * time.Second)
	before := nodes[0].applied.row.MembershipVersion
	var successors []*node
	for _, n := range nodes {
		n.dead = true
		s.platform.listed = append(s.platform.listed, platform.InstanceListEntry{Address: n.address, State: platform.Live})
	}
	for _, n := range nodes {
		successors = append(successors, s.start(n.address, "a"))
	}
	s.until(30*time.Second, "all joined", func() bool { return joined(successors) })
	is.True(successors[0].applied.row.MembershipVersion > before)
	is.True(successors[0].mayServe())
}
