package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Guards against an instance that rejoins after its removal and never issues
// again, or that issues before the settling time has passed although others may
// still hold its former share.
func TestRejoinIssuesAfterTheHold(t *testing.T) {
	is := is.New(t)
	params := DefaultParams(2 * time.Second)
	c := config.Empty()
	c.Teams["school"] = config.Team{RatePerSecond: 100, Burst: 100}
	viewAs := func(incarnation string, version int64, delivered time.Duration) *control.View {
		m := membership.Member{Incarnation: incarnation, Zone: "a"}
		return &control.View{
			Config: config.NewSnapshot(1, c), Self: m, Member: true, DeliveredAt: delivered,
			Membership: &membership.Membership{Version: version, Members: []membership.Member{m}, Witnesses: []string{incarnation}},
		}
	}
	h := NewHistory("a.0", params)
	h.Observe(0, viewAs("a.0", 1, time.Millisecond))
	pool := NewPool("school", h, params, 0)
	granted := func(now time.Duration) bool {
		ticket := pool.Take(now, now+time.Millisecond)
		pool.Poll(now, true)
		return ticket.Decision == Granted
	}
	settled := params.SettlingTime + 100*time.Millisecond
	is.True(granted(settled))

	rejoined := 10 * time.Second
	h.Observe(rejoined, viewAs("a.1", 2, rejoined))
	is.True(!granted(rejoined))
	is.True(!granted(rejoined + params.SettlingTime/2))
	is.True(granted(rejoined + settled))
}
