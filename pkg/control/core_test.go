package control

import (
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// failOnStaleConfig fails the test when an instance acts on a configuration
// older than one that any instance reports in force.
func (s *sim) failOnStaleConfig() {
	var inForce int64
	s.check = func() {
		for _, n := range s.nodes {
			v := n.applied.row.ConfigVersion
			if !n.dead && v > inForce && n.frozenUntil <= s.clock.SinceBoot() && n.status(v).State == InForce {
				inForce = v
			}
		}
		for _, n := range s.nodes {
			if !n.dead && n.mayServe() && n.applied.row.ConfigVersion < inForce {
				s.t.Fatalf("%s acts on version %d while %d is in force", n.address, n.applied.row.ConfigVersion, inForce)
			}
		}
	}
}

// writeConfig proposes the change until it is written.
func (s *sim) writeConfig(n *node, expected int64, change ChangeFunc) {
	s.t.Helper()
	done := false
	var try func()
	try = func() {
		s.propose(n, expected, change, func(err error) {
			var undelivered *head.UndeliveredError
			var conflict *head.ConflictError
			switch {
			case err == nil:
				done = true
			case errors.As(err, &undelivered), errors.As(err, &conflict):
				s.at(50*time.Millisecond, n, try)
			default:
				s.t.Fatalf("propose: %v", err)
			}
		})
	}
	try()
	s.until(10*time.Second, "write", func() bool { return done })
}

// allDelivered returns a condition that holds once all nodes have applied the
// configuration version and know that it is delivered.
func allDelivered(nodes []*node, version int64) func() bool {
	return func() bool {
		for _, n := range nodes {
			if n.applied.row.ConfigVersion < version || !n.applied.row.Delivered {
				return false
			}
		}
		return true
	}
}

// Guards against many instances that join at the same time taking long or
// loading the platform.
func TestFleetOf48JoinsAtOnce(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 1)
	s.fleet(48)
	took := s.clock.SinceBoot()
	t.Logf("48 joins took %v, %d reads, %d writes", took, s.platform.reads, s.platform.writes)
	is.True(took < 8*time.Second)
	is.True(float64(s.platform.reads)/took.Seconds() < 2000)
	is.True(float64(s.platform.writes)/took.Seconds() < 300)
}

// Guards against an instance that receives nothing, or from which nothing is
// received, accepting a withdrawn key for longer than the fence validity plus
// clock drift after the delivery of the withdrawal.
func TestWithdrawnKeyStopsUnderOneWayCut(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSim(t, seed)
		nodes := s.fleet(6)
		s.failOnStaleConfig()
		s.writeConfig(nodes[0], 0, addKey("k1"))
		s.until(5*time.Second, "key everywhere", allDelivered(nodes, 1))
		isolated := nodes[5]
		setCut := func(cut bool) {
			for _, n := range nodes[:5] {
				if seed%2 == 0 {
					s.cut(n, isolated, cut)
				} else {
					s.cut(isolated, n, cut)
				}
			}
		}
		setCut(true)
		s.platform.fault = func(string, bool) bool { return s.platform.caller == isolated.address }
		s.writeConfig(nodes[0], 1, removeKey("k1"))
		s.until(3*time.Second, "delivery", func() bool { return nodes[0].applied.row.Delivered })
		s.until(fence.SettleTime(nodes[0].options.FenceValidity), "key stopped", func() bool {
			return !isolated.mayServe() || isolated.applied.row.ConfigVersion == 2
		})
		s.until(5*time.Second, "in force", func() bool { return nodes[0].status(2).State == InForce })
		is.Equal(nodes[0].status(3).State, Unknown)
		is.True(!isolated.mayServe())
		setCut(false)
		s.platform.fault = func(string, bool) bool { return false }
		s.until(10*time.Second, "recovered", allDelivered(nodes, 2))
	}
}

// Guards against a process that was frozen acting on outdated versions when it
// resumes.
func TestFrozenProcessIsFencedWhenItResumes(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 3)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	frozen := nodes[2]
	frozen.frozenUntil = s.clock.SinceBoot() + 8*time.Second
	s.run(2500 * time.Millisecond)
	is.True(!frozen.mayServe())
	s.writeConfig(nodes[0], 0, addKey("k1"))
	s.run(5 * time.Second)
	_, listed := nodes[0].applied.membership.Find(frozen.self.Incarnation)
	is.True(!listed) // removed after 3 s without a message from it
	old := frozen.self.Incarnation
	s.until(10*time.Second, "rejoined", func() bool { return frozen.phase == phaseMember && frozen.mayServe() })
	is.True(frozen.self.Incarnation != old)
	is.Equal(frozen.applied.row.ConfigVersion, int64(1))
}

// Guards against a reply that was delayed in a frozen process counting from its
// processing instead of from the start of the round trip.
func TestAnswersThatWaitedInFrozenProcess(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(t, seed)
		nodes := s.fleet(5)
		s.failOnStaleConfig()
		check, frozen, armed := s.check, nodes[2], false
		s.check = func() {
			check()
			if !armed && len(frozen.heartbeatsInFlight) == 4 {
				armed = true
				s.at(s.delay(3*time.Millisecond), &node{}, func() {
					frozen.frozenUntil = s.clock.SinceBoot() + 8*time.Second
				})
			}
		}
		s.run(time.Second)
		s.writeConfig(nodes[0], 0, addKey("k1"))
		s.run(10 * time.Second)
		s.until(15*time.Second, "rejoined", func() bool { return joined(nodes) })
	}
}

// Guards against a change blocking all others because its proposer died after
// its write.
func TestChangeIsCompletedWhenProposerDies(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 4)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	proposer := nodes[4]
	base := proposer.applied
	_, err := proposeConfig(t.Context(), &proposer.options, base, 0, addKey("k1"), head.Metadata{})
	is.NoErr(err)
	proposer.dead = true
	took := s.until(5*time.Second, "completed", allDelivered(nodes[:4], 1))
	t.Logf("completed after %v", took)
	s.until(10*time.Second, "dead member removed", func() bool { return len(nodes[0].applied.membership.Members) == 4 })
}

// Guards against two concurrent changes by operators both succeeding or being
// merged.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 5)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	var won, stale int
	for i, n := range nodes {
		s.propose(n, 0, addKey([]string{"k0", "k1", "k2", "k3", "k4"}[i]), func(err error) {
			var e *head.StaleError
			switch {
			case err == nil:
				won++
			case errors.As(err, &e):
				is.Equal(e.Current, int64(1))
				stale++
			default:
				t.Errorf("unexpected: %v", err)
			}
		})
	}
	s.until(5*time.Second, "settled", allDelivered(nodes, 1))
	is.Equal(won, 1)
	is.Equal(stale, 4)
	is.Equal(len(nodes[3].applied.config.Config.Keys), 1)
}

// Guards against lost answers of the platform causing a second version, a lost
// version or a fleet that does not converge.
func TestLostAnswers(t *testing.T) {
	for seed := range uint64(10) {
		is := is.New(t)
		s := newSim(t, seed)
		s.platform.fault = func(string, bool) bool { return s.random.IntN(5) == 0 }
		nodes := s.fleet(5)
		s.failOnStaleConfig()
		for version := range int64(5) {
			for {
				var result error
				done := false
				s.propose(nodes[version], version, addKey("k1"), func(err error) { result, done = err, true })
				s.until(10*time.Second, "answer", func() bool { return done })
				if result == nil {
					break
				}
				var stale *head.StaleError
				if errors.As(result, &stale) {
					// Only an attempt whose outcome was reported unknown may have been written.
					is.Equal(stale.Current, version+1)
					break
				}
				s.run(100 * time.Millisecond)
			}
			s.until(10*time.Second, "delivered", allDelivered(nodes, version+1))
		}
		is.Equal(nodes[0].applied.row.ConfigVersion, int64(5))
	}
}

// Guards against a fleet that stays fenced after most witnesses were lost at
// once.
func TestLostMajority(t *testing.T) {
	for _, operator := range []bool{false, true} {
		is := is.New(t)
		s := newSim(t, 7)
		nodes := s.fleet(6)
		s.failOnStaleConfig()
		s.run(6 * time.Second)
		var gone []string
		var alive []*node
		for _, n := range nodes {
			if n.isWitness() && len(gone) < 3 {
				n.dead = true
				gone = append(gone, n.self.Incarnation)
			} else {
				alive = append(alive, n)
			}
		}
		if operator {
			s.platform.fault = func(operation string, _ bool) bool { return operation == "list" }
			s.run(20 * time.Second)
			is.True(!alive[0].mayServe()) // nothing is replaced without the list or an operator
			is.NoErr(alive[0].declareGone(gone))
			is.True(alive[0].declareGone([]string{alive[1].self.Incarnation}) != nil)
		} else {
			for _, n := range alive {
				s.platform.listed = append(s.platform.listed, listedOf(n))
			}
		}
		s.until(20*time.Second, "replaced", func() bool { return joined(alive) })
	}
}

// Guards against an outage of the platform stopping traffic or the start of new
// instances, and against guests that do not become members afterwards.
func TestPlatformOutage(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 8)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	s.platform.fault = func(string, bool) bool { return true }
	newcomer := s.start("10.0.1.1:1", "a", nodes[0].address)
	outage := 2 * time.Hour
	if testing.Short() {
		outage = 10 * time.Minute // the race detector makes each step slow
	}
	s.run(outage)
	for _, n := range nodes {
		is.True(n.mayServe())
	}
	is.Equal(newcomer.phase, phaseGuest)
	is.True(newcomer.mayServe())
	is.True(!newcomer.view.Load().Member)
	s.platform.fault = func(string, bool) bool { return false }
	s.until(10*time.Second, "joined", func() bool { return joined(append(nodes, newcomer)) })
}

// Guards against a leaving instance staying listed or joining again, and
// against a fleet whose instances were all restarted waiting forever for
// witnesses that no longer run.
func TestLeaveAndRestart(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 9)
	nodes := s.fleet(4)
	s.failOnStaleConfig()
	nodes[0].leave()
	s.until(5*time.Second, "left", func() bool { return nodes[0].phase == phaseLeft && nodes[0].applied.row.Delivered })
	s.run(5 * time.Second)
	is.Equal(nodes[0].phase, phaseLeft)
	is.Equal(len(nodes[1].applied.membership.Members), 3)
	for _, n := range nodes {
		n.dead = true
	}
	restarted := []*node{s.start("10.0.0.1:1", "b"), s.start("10.0.2.1:1", "a")}
	for _, n := range restarted {
		s.platform.listed = append(s.platform.listed, listedOf(n))
	}
	took := s.until(60*time.Second, "restarted", func() bool { return joined(restarted) })
	t.Logf("restart of the whole fleet took %v", took)
}

// Guards against a change that can never be delivered because it removes a
// majority of the witnesses, whose processes continue under new incarnations.
func TestRemovalOfLivingMajorityIsDelivered(t *testing.T) {
	s := newSim(t, 10)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	s.removeMajority(nodes)
	s.until(minTakeoverDelay, "delivered", func() bool { return nodes[0].applied.row.Delivered })
	s.until(5*time.Second, "all are members again", func() bool { return joined(nodes) })
}

// Guards against a change being delivered without a majority of the previous
// witnesses: here that majority serves on its own side of a partition, and the
// instance list contains it.
func TestRemovalOfSeparateMajorityIsNotDelivered(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 11)
	nodes := s.fleet(5)
	s.failOnStaleConfig()
	isolated := map[string]bool{}
	for _, n := range nodes[1:4] {
		isolated[n.address] = true
		for _, o := range []*node{nodes[0], nodes[4]} {
			s.cut(o, n, true)
			s.cut(n, o, true)
		}
	}
	s.platform.fault = func(string, bool) bool { return isolated[s.platform.caller] }
	s.removeMajority(nodes)
	s.run(20 * time.Second)
	is.True(nodes[1].mayServe())
	is.True(!nodes[0].applied.row.Delivered)
	clear(s.cuts)
	s.until(10*time.Second, "delivered after the partition", func() bool { return nodes[0].applied.row.Delivered })
}

// removeMajority writes a membership without three of five running witnesses.
func (s *sim) removeMajority(nodes []*node) {
	var removed []string
	for _, n := range nodes {
		s.platform.listed = append(s.platform.listed, listedOf(n))
	}
	for _, n := range nodes[1:4] {
		removed = append(removed, n.self.Incarnation)
	}
	nodes[0].proposeMembership(nodes[0].applied, nodes[0].applied.membership.NextVersion(nil, removed, 5))
	before := nodes[0].appliedVersions().Membership
	s.until(time.Second, "written", func() bool { return nodes[0].appliedVersions().Membership > before })
}
