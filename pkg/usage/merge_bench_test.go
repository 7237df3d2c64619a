package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// BenchmarkMergeStandby is the cost of a heartbeat of a standby with 190 teams. Of 441 instances,
// most are standbys, and each sends twice a second to the serving ones of its zone.
func BenchmarkMergeStandby(b *testing.B) {
	c := newCluster(2, true)
	l := c.limiters[0]
	for n := range 190 {
		l.team(fmt.Sprintf("team-%d", n), config.Team{RatePerSecond: testRate, Burst: testBurst}, time.Hour)
	}
	h := &peerpb.Heartbeat{Incarnation: 1}
	for b.Loop() {
		l.Merge("standby", h)
	}
}
