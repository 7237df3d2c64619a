package control

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/head"
)

// copyOf returns a copy of the platform's table and objects.
func (p *fakePlatform) copyOf() *fakePlatform {
	return &fakePlatform{rows: maps.Clone(p.rows), objects: maps.Clone(p.objects)}
}

// restore replaces the table, and the objects too if these are lost as well.
func (p *fakePlatform) restore(from *fakePlatform, objects bool) {
	p.rows = maps.Clone(from.rows)
	if objects {
		p.objects = maps.Clone(from.objects)
	}
}

// restoredSim is a fleet with version 2 in force whose platform has come back from a copy
// with version 1.
func restoredSim(t *testing.T, seed uint64) (*sim, []*node) {
	s := newSim(t, seed)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	s.writeConfig(nodes[0], 0, addKey("k1"))
	s.until(5*time.Second, "key everywhere", allDelivered(nodes, 1))
	before := s.platform.copyOf()
	s.writeConfig(nodes[1], 1, removeKey("k1"))
	s.until(10*time.Second, "in force", func() bool { return nodes[0].status(2).State == InForce })
	s.platform.restore(before, seed%2 == 0)
	return s, nodes
}

// Guards against a change that is accepted, and reported in force, under a number that the
// fleet already has for another one.
func TestRestoredTableGivesVersionOutAgain(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		s, nodes := restoredSim(t, seed)
		refused := false
		s.propose(nodes[2], 1, addKey("k2"), func(err error) {
			var stale *head.StaleError
			var undelivered *head.UndeliveredError
			refused = errors.As(err, &stale) || errors.As(err, &undelivered)
		})
		s.run(time.Second)
		is.True(refused)
	}
}

// Guards against changes that are refused for good after a restore of the table, and against
// the loss of a confirmed one.
func TestRestoredTableRefusesChanges(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(6) {
		s, nodes := restoredSim(t, seed)
		s.run(5 * time.Second)
		s.writeConfig(nodes[3], 2, addKey("k3"))
		s.until(10*time.Second, "version 3 everywhere", allDelivered(nodes, 3))
		for _, n := range nodes {
			keys := n.applied.config.Config.Keys
			_, withdrawn := keys["k1"]
			_, added := keys["k3"]
			is.True(!withdrawn && added)
			is.True(n.mayServe())
		}
	}
}

// Guards against a fleet that is fenced for good because an instance joined on top of a
// restored table.
func TestInstanceJoinsOnRestoredTable(t *testing.T) {
	for seed := range uint64(6) {
		s, nodes := restoredSim(t, seed)
		joiner := s.start(fmt.Sprintf("10.0.7.%d:1", seed), "b")
		s.until(60*time.Second, fmt.Sprintf("seed %d: joined", seed), func() bool { return joined(append(nodes, joiner)) })
		if _, ok := joiner.applied.config.Config.Keys["k1"]; ok {
			t.Errorf("seed %d: the withdrawn key is valid", seed)
		}
	}
}

// Guards against combinations of restores with other faults under which a confirmed change
// is lost, an instance acts on an older configuration than one in force, or the fleet does
// not recover.
func TestRandomFaultsAndRestores(t *testing.T) {
	seeds := uint64(40)
	if testing.Short() {
		seeds = 5
	}
	for seed := range seeds {
		s := newSim(t, 1000+seed)
		f := &faults{sim: s, nodes: s.fleet(5 + int(seed%3)), noPlatform: map[string]bool{}}
		f.updateList()
		s.platform.fault = func(string, bool) bool { return f.noPlatform[s.platform.caller] || s.random.IntN(20) == 0 }
		s.failOnStaleConfig()
		confirmed := map[string]bool{}
		copies := []*fakePlatform{s.platform.copyOf()}
		for round := range 20 {
			f.inject()
			for try := range 3 {
				s.run(s.delay(1500 * time.Millisecond))
				copies = append(copies, s.platform.copyOf())
				n, key := f.nodes[s.random.IntN(len(f.nodes))], fmt.Sprintf("k%d-%d", round, try)
				expected := n.applied.row.ConfigVersion
				s.propose(n, expected, addKey(key), func(err error) {
					if err == nil && !n.dead && n.applied.row.ConfigVersion == expected+1 {
						f.confirmWhenInForce(n, key, confirmed)
					}
				})
			}
			if s.random.IntN(3) == 0 {
				s.platform.restore(copies[max(0, len(copies)-1-s.random.IntN(8))], s.random.IntN(2) == 0)
				copies = []*fakePlatform{s.platform.copyOf()}
			}
		}
		s.run(10 * time.Second)
		clear(s.cuts)
		clear(f.noPlatform)
		s.until(60*time.Second, fmt.Sprintf("seed %d recovered", seed), func() bool { return joined(f.nodes) })
		if len(confirmed) == 0 {
			t.Errorf("seed %d: no change was confirmed", seed)
		}
		for key := range confirmed {
			for _, n := range f.nodes {
				if _, ok := n.applied.config.Config.Keys[key]; !ok {
					t.Errorf("seed %d: %s lacks the confirmed key %s", seed, n.address, key)
				}
			}
		}
	}
}

// confirmWhenInForce records the key once the version that the node has just applied is in
// force there.
func (f *faults) confirmWhenInForce(n *node, key string, confirmed map[string]bool) {
	version := n.applied.row.ConfigVersion
	f.later(4*time.Second, func() {
		if _, ok := n.applied.config.Config.Keys[key]; ok && !n.dead && n.status(version).State == InForce {
			confirmed[key] = true
		}
	})
}

// Guards against instances that start after a restore and cannot load a document that it
// has lost.
func TestDocumentsLostByARestoreAreWrittenAgain(t *testing.T) {
	s := newSim(t, 1)
	nodes := s.fleet(5)
	before := s.platform.copyOf()
	for n := range 2 {
		nodes = append(nodes, s.start(fmt.Sprintf("10.0.8.%d:1", n), "b"))
		s.until(30*time.Second, "joined", func() bool { return joined(nodes) })
		if n == 0 {
			s.platform.restore(before, true)
			s.run(5 * time.Second)
		}
	}
}

// Guards against a change that counts as delivered because a reinstated row follows it.
func TestReinstatedRowTellsOfNoDelivery(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1)
	n := s.fleet(3)[0]
	next := n.applied
	next.row.ConfigVersion++
	next.row.Delivered = false
	n.apply(next, false)
	is.Equal(n.status(next.row.ConfigVersion).State, Accepted)
	next.row.MembershipVersion++
	next.row.Reinstated = true
	n.apply(next, false)
	is.Equal(n.status(next.row.ConfigVersion).State, Accepted)
}

// Guards against an instance that takes over the number of a configuration and keeps another
// document of that number, which a restored table had lost.
func TestOtherDocumentOfTheSameNumberIsFetched(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1)
	nodes := s.fleet(3)
	s.writeConfig(nodes[0], 0, addKey("k1"))
	s.until(5*time.Second, "key everywhere", allDelivered(nodes, 1))
	have := nodes[0].applied.row
	have.ConfigObject = "config/1-lost"
	reply, err := nodes[0].applied.encodeReply(versionsMessage(have))
	is.NoErr(err)
	is.True(len(reply.Config) > 0)
	is.Equal(len(reply.Membership), 0)
}

// Guards against a witness that confirms a number for which it holds another document, and
// against one that counts as a holder.
func TestOtherDocumentOfTheSameNumberConfirmsNothing(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1)
	n := s.fleet(3)[0]
	other := n.applied.row
	other.MembershipObject = "membership/lost"
	n.holders = map[string]bool{}
	n.handleVersions("other.0", versionsMessage(other), "")
	is.Equal(len(n.holders), 0)
	n.handleVersions("same.0", versionsMessage(n.applied.row), "")
	is.Equal(len(n.holders), 1)
}
