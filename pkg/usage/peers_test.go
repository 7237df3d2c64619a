package usage

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// heartbeat is one of a serving instance that has admitted some requests of the team in all.
func heartbeat(incarnation, admitted uint64) *peerpb.Heartbeat {
	return &peerpb.Heartbeat{Incarnation: incarnation, Serving: true, Teams: []*peerpb.TeamUse{{Team: "red", Admitted: admitted}}}
}

// level returns the team's level after a request, which brings it up to date.
func level(l *Limiter) float64 {
	_ = l.Take(context.Background(), "red")
	return l.Level("red")
}

// Guards against both sides of a cut that spend the whole burst.
func TestUnresponsiveInstanceTakesItsPartOfTheBurst(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, true)
	l := c.limiters[0]
	l.Merge("1", heartbeat(1, 0))
	c.clock.Advance(unresponsiveTimeout - time.Millisecond)
	is.True(level(l) > 0.9*testBurst)
	c.clock.Advance(time.Millisecond)
	is.True(level(l) < 0.6*testBurst)
}

// Guards against a cut-off instance that takes all, and against parts of ended ones.
func TestUnresponsiveInstancesAreForgotten(t *testing.T) {
	for _, row := range []struct {
		name   string
		silent int // of four others
		after  time.Duration
		known  int
	}{
		{"few, too early", 1, forgetTimeout - time.Second, 4},
		{"few", 1, forgetTimeout, 3},
		{"most", 3, forgetTimeout, 4},
		{"most, later", 3, partitionForgetTimeout, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1, true)
			l := c.limiters[0]
			names := []string{"1", "2", "3", "4"}
			for _, name := range names {
				l.Merge(name, heartbeat(1, 0))
			}
			c.clock.Advance(row.after)
			for _, name := range names[row.silent:] {
				l.Merge(name, heartbeat(1, 0))
			}
			is.Equal(int(l.instanceCount()), row.known+1)
		})
	}
}

// Guards against an instance that has left and keeps its part of the rate.
func TestInstanceThatLeavesIsForgotten(t *testing.T) {
	is := is.New(t)
	l := newCluster(1, true).limiters[0]
	l.Merge("1", heartbeat(1, 3))
	is.Equal(int(l.instanceCount()), 2)
	leaving := heartbeat(1, 3)
	leaving.Leaving = true
	l.Merge("1", leaving)
	is.Equal(int(l.instanceCount()), 1)
	l.Merge("1", heartbeat(1, 3))
	l.Merge("1", &peerpb.Heartbeat{Incarnation: 1}) // it has become a standby
	is.Equal(int(l.instanceCount()), 1)
}

// Guards against requests that are not counted because an instance counts from 0 again.
func TestRestartedInstanceCountsAnew(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, true)
	l := c.limiters[0]
	l.Merge("1", heartbeat(1, 500))
	c.clock.Advance(100 * time.Millisecond)
	restarted := heartbeat(2, 40)
	restarted.Teams[0].Lately = 40
	l.Merge("1", restarted)
	is.True(l.Level("red") <= testBurst-40)
}

// Guards against a team that is not served again in time after it has sent too much.
func TestDebtIsBounded(t *testing.T) {
	is := is.New(t)
	c := newCluster(2, true)
	l := c.limiters[0]
	l.Merge("1", heartbeat(1, 0))
	c.clock.Advance(100 * time.Millisecond)
	l.Merge("1", heartbeat(1, 100*testBurst))
	c.clock.Advance(time.Millisecond)
	is.True(level(l) >= -maxDebtBursts*testBurst-1)
}
