package allowance

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// Guards against shares of instances with the same reports that exceed the allowance.
func TestSharesAddUpToTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demand := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 40).Draw(t, "demand")
		sum := 0.0
		for i, own := range demand {
			var others []Party
			for j, d := range demand {
				if j != i {
					others = append(others, Party{Demand: d})
				}
			}
			sum += Share(own, slices.Values(others))
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Fatal(sum)
		}
	})
}

// Guards against a share that is given to others because its instance is not heard from.
func TestSilentShareStaysReserved(t *testing.T) {
	for _, reserved := range []float64{0, 0.3, 1, 1.2} {
		got := Share(5, slices.Values([]Party{{Demand: 90, Reserved: true, Share: reserved}}))
		if math.Abs(got-max(0, 1-reserved)) > 1e-9 {
			t.Errorf("%g reserved: %g", reserved, got)
		}
	}
}

// Guards against an instance that gets no share when it begins to receive demand.
func TestInstanceWithoutDemandHasAShare(t *testing.T) {
	if got := Share(0, slices.Values([]Party{{Demand: 10}})); got != EvenFraction/2 {
		t.Error(got)
	}
}
