package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// runWithStandbys is run with the first limiters as standbys, which get no requests, send
// nothing, and receive heartbeats without counts at an interval.
func (c *cluster) runWithStandbys(d, interval time.Duration, demand float64, standbys int) {
	serving := func(i int) bool { return i >= standbys }
	for elapsed := time.Duration(0); elapsed < d; elapsed += interval {
		c.run(interval, demand, serving)
		for to := range standbys {
			for from := standbys; from < len(c.limiters); from++ {
				c.limiters[to].Merge(fmt.Sprint(from), &peerpb.Heartbeat{Incarnation: 1, Serving: true})
			}
		}
	}
	// The next heartbeat is half an interval away when they serve again.
	c.run(interval/2, demand, serving)
}

// Guards against an instance that serves again after a time as a standby, and charges a team
// for all that was admitted meanwhile.
func TestInstanceThatServesAgainServesTeamsWithinRate(t *testing.T) {
	// Instances of the own zone send to standbys each 500 ms, others each 3 s.
	for _, interval := range []time.Duration{500 * time.Millisecond, 3 * time.Second} {
		for _, away := range []time.Duration{3 * time.Second, 12 * time.Second, time.Minute} {
			t.Run(fmt.Sprintf("%s/%s", interval, away), func(t *testing.T) {
				is := is.New(t)
				c := newCluster(12, true)
				c.run(5*time.Second, 0.62*testRate, all)
				c.runWithStandbys(away, interval, 0.62*testRate*12/9, 3)
				c.refused = 0
				c.run(10*time.Second, 0.62*testRate, all)
				is.Equal(c.refused, 0)
			})
		}
	}
}

// Guards against a team that gets more than its rate and burst because instances that serve
// again do not know what the others have admitted.
func TestInstancesThatServeAgainKeepLimit(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := newSeededCluster(12, true, seed)
			c.run(5*time.Second, 4.7*testRate, all)
			for range 4 {
				c.runWithStandbys(6*time.Second, []time.Duration{c.interval, 3 * time.Second}[seed%2], 4.7*testRate, 6)
				c.run(4*time.Second, 4.7*testRate, all)
			}
			if got := c.maxAdmitted(); got > maxAllowed() {
				t.Errorf("%d admitted in %s, allowed %d", got, limitWindow, maxAllowed())
			}
		})
	}
}
