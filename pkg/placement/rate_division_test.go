package placement

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

// Guards against instances with hardly any part, and against parts beyond the rate.
func TestRatesAreDividedEvenly(t *testing.T) {
	for _, d := range []struct {
		instances, targets int
		lost               string  // instances without paths
		least              float64 // the smallest part of an instance, of the mean
	}{
		{4, 1, "", 1},
		{4, 1, "e0", 1},
		{4, 1, "e1 e2 e3", 1},
		{4, 2, "", 1},
		{4, 3, "", 1},
		{4, 3, "e3", 1},
		{8, 4, "", 1},
		{8, 4, "e0 e5", 0.8},
		{7, 3, "", 0.8},
		{4, 4, "", 1},
		{4, 4, "e0 e1", 0.6},
		{4, 8, "", 1},
		{2, 1, "", 1},
		{1, 1, "", 1},
		{1, 3, "", 1},
		{10, 2, "", 0}, // an instance has none where there are more than four for each target
	} {
		t.Run(fmt.Sprintf("%d instances, %d targets, lost %s", d.instances, d.targets, d.lost), func(t *testing.T) {
			is := is.New(t)
			v := &fleet.View{Detached: map[string]bool{}}
			for n := range d.instances {
				v.Peers = append(v.Peers, fleet.Member{Instance: fmt.Sprintf("e%d", n), Zone: "0"})
			}
			for n := 0; n+1 < len(d.lost); n += 3 {
				v.Detached[d.lost[n:n+2]] = true
			}
			owners, sharing := responsible(v, "0")
			ownerOf := make([]fleet.Member, d.targets)
			for n := range ownerOf {
				ownerOf[n] = owners[n%len(owners)]
			}
			parts := map[string]float64{}
			for _, division := range divideRates(v, v.Busy("0"), sharing, ownerOf) {
				sum := 0.0
				for _, m := range v.Peers {
					share := division.share(m)
					parts[m.Instance] += share
					sum += share
				}
				is.True(math.Abs(sum-1) < 1e-9)
				is.True(len(division.sharers) <= maxRateSharers)
			}
			for _, m := range v.Peers {
				is.True(parts[m.Instance] >= d.least*float64(d.targets)/float64(d.instances)-1e-9) // m has too small a part
			}
		})
	}
}

// Guards against callers of some instances that are refused more often than others.
func TestFewTargetsServeCallersOfAllInstances(t *testing.T) {
	for seed := range uint64(5) {
		const rate = 30
		s := newLimitSim(seed, 12, 6, rate, 1, 0.5)
		for step := range 4000 {
			if step == 1500 {
				clear(s.askedAt)
				clear(s.startedAt)
			}
			s.step(rate*simStep.Seconds(), false)
		}
		s.checkBound(t)
		asked, started := map[string]float64{}, map[string]float64{}
		for _, m := range s.members {
			asked[m.view.Self.Zone] += float64(s.askedAt[m.view.Self.Instance])
			started[m.view.Self.Zone] += float64(s.startedAt[m.view.Self.Instance])
		}
		for _, m := range s.members {
			self := m.view.Self
			served, mean := float64(s.startedAt[self.Instance])/float64(s.askedAt[self.Instance]), started[self.Zone]/asked[self.Zone]
			if served < mean*2/3 {
				t.Errorf("seed %d: %.2f are served at %s, %.2f in its zone", seed, served, self.Instance, mean)
			}
		}
	}
}
