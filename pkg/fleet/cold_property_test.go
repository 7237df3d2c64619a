package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// most returns the largest number of counted arrivals at one target in one second.
func (s *coldFleet) most() (most int, target string) {
	for _, t := range s.targets {
		first := 0
		for i, at := range t.arrivals {
			for at-t.arrivals[first] >= time.Second {
				first++
			}
			if i-first+1 > most {
				most, target = i-first+1, t.entry.ID
			}
		}
	}
	return most, target
}

// Guards against more requests at a cold target than it bears, from instances that are
// separated, killed, started, promoted or cut off while several targets are cold at once.
func TestColdTargetsGetTooMuch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{1, 2.5, 4.5, 12, 40}).Draw(t, "per second")
		warmup := time.Duration(rapid.IntRange(3, 6).Draw(t, "warmup")) * time.Second
		s := newColdFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "instances of a zone"), 2, 2, perSecond, warmup)
		s.demand = rapid.SampledFrom([]float64{10, 60}).Draw(t, "demand")
		s.run(3 * time.Second)
		for _, kind := range rapid.SliceOfN(rapid.IntRange(0, faults-1), 4, 10).Draw(t, "faults") {
			s.fault(kind)
			s.run(time.Duration(s.rng.IntN(2500)) * time.Millisecond)
			s.fault(firstTargetFault + s.rng.IntN(lastTargetFault-firstTargetFault+1))
		}
		s.run(5 * time.Second)
		if most, target := s.most(); float64(most) > warmupExcess*perSecond+warmupSlack {
			t.Errorf("%s got %d requests in a second, %.2f are allowed", target, most, warmupExcess*perSecond+warmupSlack)
		}
	})
}

// Guards against cold targets that get much less than their rate while nothing fails and the
// demand takes all that there is.
func TestRateOfColdTargetsIsUsed(t *testing.T) {
	const leastUse, span = 0.6, 10 * time.Second
	for _, perSecond := range []float64{1, 4.5, 12, 20} { // six slots bear 25/s
		for _, perZone := range []int{1, 2, 4, 6} {
			s := newColdFleet(7, perZone, 2, 3, perSecond, span+5*time.Second)
			s.demand = 600 / float64(perZone)
			s.run(4 * time.Second)
			for _, target := range s.targets[:4] {
				s.setCold(target, s.clock.SinceBoot()+listingAge)
			}
			s.run(listingAge + span)
			for _, target := range s.targets[:4] {
				if used := float64(len(target.arrivals)) / (perSecond * span.Seconds()); used < leastUse {
					t.Errorf("%v/s, %d instances in a zone: %.2f of the rate of %s is used", perSecond, perZone, used, target.entry.ID)
				}
			}
			if most, target := s.most(); float64(most) > warmupExcess*perSecond+warmupSlack {
				t.Errorf("%s got %d requests in a second", target, most)
			}
		}
	}
}

// Guards against targets that get hardly anything after a restart, because each holder has to
// wait for its first request.
func TestRateOfRestartedTargetIsUsed(t *testing.T) {
	const leastUse, warmup = 0.6, 3 * time.Second
	for _, perSecond := range []float64{1, 4.5, 12} {
		arrived, runs := 0, 10
		for seed := range uint64(runs) {
			s := newColdFleet(seed, 5, 2, 4, perSecond, warmup)
			s.run(4 * time.Second)
			target := s.targets[0]
			target.up = false
			s.run(1500 * time.Millisecond)
			target.up = true
			target.entry.Started++
			s.setCold(target, s.clock.SinceBoot())
			s.run(warmup)
			arrived += len(target.arrivals)
		}
		if used := float64(arrived) / (perSecond * warmup.Seconds() * float64(runs)); used < leastUse {
			t.Errorf("%v/s: %.2f of the rate is used", perSecond, used)
		}
	}
}
