package drain_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/drain"
)

// Guards against a request that is accepted late in a shutdown and broken off at its end, and
// against one that is refused although it can end in time.
func TestAccepts(t *testing.T) {
	const began = time.Minute
	for name, tc := range map[string]struct {
		length, after, timeout time.Duration
		want                   bool
	}{
		"at once":                        {5500 * time.Millisecond, 0, 3 * time.Second, true},
		"at once, longer than the stop":  {5500 * time.Millisecond, 0, 10 * time.Second, true},
		"early, may be broken off":       {5500 * time.Millisecond, 2 * time.Second, 6 * time.Second, true},
		"ends with the stop":             {5500 * time.Millisecond, 2500 * time.Millisecond, 3 * time.Second, true},
		"late, may be broken off":        {5500 * time.Millisecond, 2750 * time.Millisecond, 3 * time.Second, false},
		"late, ends in time":             {5500 * time.Millisecond, 4 * time.Second, 1500 * time.Millisecond, true},
		"late, 1 ms too long":            {5500 * time.Millisecond, 4 * time.Second, 1501 * time.Millisecond, false},
		"after the end":                  {5500 * time.Millisecond, 6 * time.Second, time.Millisecond, false},
		"long stop, may be broken off":   {30 * time.Second, 2750 * time.Millisecond, 28 * time.Second, false},
		"long stop, ends in time":        {30 * time.Second, 20 * time.Second, 5 * time.Second, true},
		"short stop, open in part of it": {time.Second, 400 * time.Millisecond, 3 * time.Second, true},
		"short stop, late":               {time.Second, 500 * time.Millisecond, 3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			plan := drain.NewPlan(began, tc.length)
			is.New(t).Equal(plan.Accepts(began+tc.after, began+tc.after+tc.timeout), tc.want)
		})
	}
}

// Guards against requests that are refused without a shutdown.
func TestNoPlanAcceptsAll(t *testing.T) {
	var none *drain.Plan
	is.New(t).True(none.Accepts(time.Hour, 2*time.Hour))
}

// Guards against a request sent over 3 s after the begin of a shutdown that can be broken off.
func TestNothingIsBrokenOffThatWasSentLate(t *testing.T) {
	for length := 500 * time.Millisecond; length <= time.Minute; length += 500 * time.Millisecond {
		plan := drain.NewPlan(0, length)
		for now := 3 * time.Second; now < length; now += 100 * time.Millisecond {
			if plan.Accepts(now, length+time.Millisecond) {
				t.Fatalf("a shutdown of %s accepts a request at %s that it may break off", length, now)
			}
		}
	}
}
