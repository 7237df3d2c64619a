package placement

import (
	"testing"
	"time"
)

// overloaded returns the number of retries that were refused for load.
func (s *retrySim) overloaded() (sum uint64) {
	for _, m := range s.members {
		for _, n := range m.Retries()[0].Counts.Overloaded {
			sum += n
		}
	}
	return sum
}

// storm plays 25 s without rejections, then 25 s in which targets reject 55% of what arrives
// by chance, at 1,700 requests a second. It returns the largest fraction of the allowed
// retries in any window, and the mean over the windows of the storm's end.
func (s *retrySim) storm(t *testing.T) (most, late float64) {
	s.begin(1700)
	s.run(25 * time.Second)
	s.shed = 0.55
	began := s.clock.SinceBoot()
	s.asked, s.served = [3]int{}, [3]int{}
	s.run(25 * time.Second)
	most, _ = s.mostUsed(began - retrySimWindow)
	_, late = s.mostUsed(began + retrySimWindow)
	t.Logf("used at most %.3f, late %.3f; served by priority %.3f %.3f %.3f", most, late, s.servedRatio(0), s.servedRatio(1), s.servedRatio(2))
	return most, late
}

// Guards against retries that go to less urgent requests or exceed the rule, and against more
// urgent requests that are served less often than with a budget for each instance.
func TestRetriesWhileTargetsRejectByChance(t *testing.T) {
	alone := newRetrySim(1, nil)
	alone.storm(t)
	for _, row := range []struct {
		name       string
		firstShare float64
		lost       func(s *retrySim) func(from, to int) bool
	}{
		{"even demand", 1.0 / retrySimServing, nil},
		{"half of the requests at one instance", 0.5, nil},
		{"lost heartbeats", 1.0 / retrySimServing, func(s *retrySim) func(int, int) bool {
			return func(int, int) bool { return s.rng.Float64() < 0.2 }
		}},
		{"zones cut off", 1.0 / retrySimServing, func(*retrySim) func(int, int) bool {
			return func(from, to int) bool { return from%retrySimZones != to%retrySimZones }
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			s := newRetrySim(1, &retrySimRule)
			s.firstShare = row.firstShare
			if row.lost != nil {
				s.lost = row.lost(s)
			}
			if most, _ := s.storm(t); most > 1 {
				t.Errorf("%.3f of the allowed retries were sent in a window", most)
			}
			if n := s.overloaded(); n > 0 {
				t.Errorf("%d retries were refused for load", n)
			}
			if s.servedRatio(0) < s.servedRatio(1) || s.servedRatio(1) < s.servedRatio(2) {
				t.Error("less urgent requests were served more often")
			}
			if s.servedRatio(0) < alone.servedRatio(0) {
				t.Errorf("urgent requests: %.3f served, %.3f with a budget for each instance", s.servedRatio(0), alone.servedRatio(0))
			}
		})
	}
}

// Guards against allowed retries that stay unused while requests of one priority want them:
// a budget for each instance allowed 0.17 of 0.2 per request.
func TestRetriesOfOnePriorityUseTheRule(t *testing.T) {
	s := newRetrySim(1, &retrySimRule)
	s.onePriority = true
	most, late := s.storm(t)
	if most > 1 || late < 0.17/retrySimRatio {
		t.Errorf("%.3f of the allowed retries were sent in the busiest window, %.3f on average", most, late)
	}
}

// Guards against retries of requests that targets reject because all are full: these add to
// the load, and the requests of others are rejected instead.
func TestNoRetriesWhileTargetsAreFull(t *testing.T) {
	s := newRetrySim(1, &retrySimRule)
	s.slots = retrySimSlots
	s.begin(1700)
	s.run(25 * time.Second)
	s.work = 4 * retrySimWork // the targets carry 972 requests a second
	s.run(3 * time.Second)
	began := s.clock.SinceBoot()
	s.run(12 * time.Second)
	overloaded, retries := s.overloaded(), since(s.retries, began)
	t.Logf("%d retries of %d requests, %d refused for load", retries, since(s.requests, began), overloaded)
	if overloaded == 0 || float64(retries) > 0.1*float64(overloaded) {
		t.Errorf("%d retries were sent and %d refused while targets are full", retries, overloaded)
	}
}

// failByTurns lets 30% of the targets fail at any time, each for about 9 s.
func (s *retrySim) failByTurns() {
	for _, e := range s.catalogue.Services["s"] {
		var turn func()
		turn = func() {
			s.failing[e.ID] = !s.failing[e.ID]
			mean := 9 * time.Second
			if !s.failing[e.ID] {
				mean = 21 * time.Second
			}
			s.after(mean/2+time.Duration(s.rng.Int64N(int64(mean))), turn)
		}
		s.after(time.Duration(s.rng.Int64N(int64(30*time.Second))), turn)
	}
}

// Guards against failed requests that get no retry, and trials that stop, while the rule allows
// more: single instances ran out of their own budgets. 30% of the targets fail by turns; then
// all of a zone fail for 9 s, so that a third of the instances want nearly all retries.
func TestFailuresAtOneZone(t *testing.T) {
	var refused, noTrials [2]int
	for n, rule := range []*RetryRule{nil, &retrySimRule} {
		s := newRetrySim(1, rule)
		s.failByTurns()
		s.begin(990)
		s.run(40 * time.Second)
		s.refused = 0
		from := s.clock.SinceBoot()
		for _, e := range s.catalogue.Services["s"] {
			s.failing[e.ID] = s.failing[e.ID] || e.Zone == "0"
		}
		for range 90 {
			s.run(100 * time.Millisecond)
			for _, m := range s.members {
				if !m.service("s").mayTry(s.clock.SinceBoot()) {
					noTrials[n]++
				}
			}
		}
		refused[n] = s.refused
		most, mean := s.mostUsed(from - retrySimWindow)
		t.Logf("%d of %d requests got no retry, %d of 1080 times no trial; used at most %.3f, mean %.3f",
			s.refused, since(s.requests, from), noTrials[n], most, mean)
		if most > 1 {
			t.Errorf("%.3f of the allowed retries were sent", most)
		}
	}
	if refused[1] > refused[0]/5 || noTrials[1] > noTrials[0] {
		t.Errorf("refused %d and no trials %d, %d and %d with a budget for each instance", refused[1], noTrials[1], refused[0], noTrials[0])
	}
}
