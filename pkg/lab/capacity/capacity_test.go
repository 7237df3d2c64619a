package capacity

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
)

// Guards against measurements with a configuration that an instance would reject
// or that does not have the requested size.
func TestConfigIsValidAndOfTheSize(t *testing.T) {
	is := is.New(t)
	s := scaled(0.02)
	raw, err := s.Config(1, time.Now()).Encode()
	is.NoErr(err)
	c, err := config.Parse(raw)
	is.NoErr(err)
	targets := 0
	for _, service := range c.Services {
		targets += len(service.Targets)
	}
	is.Equal(Size{len(c.Teams), len(c.Routes), len(c.Services), targets}, s)
	is.Equal(len(c.Keys), s.Teams)
}

// Guards against slopes that do not match the rows: the cost grows by 0.5 per unit.
func TestFit(t *testing.T) {
	is := is.New(t)
	table := &Table{Columns: []string{"n", "cost"}}
	for _, n := range []float64{8, 16, 48} {
		table.add(n, 3+0.5*n)
	}
	table.fit()
	is.True(math.Abs(table.Slopes[0]-1) < 1e-9)
	is.True(math.Abs(table.Slopes[1]-0.5) < 1e-9)
}

// Guards against counting calls and bytes from before the measured interval.
func TestCallsOf(t *testing.T) {
	is := is.New(t)
	before := map[string]drpcpeer.CallCounts{"fetch": {Calls: 1, SentBytes: 10, ReceivedBytes: 100}}
	after := map[string]drpcpeer.CallCounts{"fetch": {Calls: 3, SentBytes: 30, ReceivedBytes: 500}, "borrow": {Calls: 1, SentBytes: 5}}
	calls, bytes := callsOf(before, after)
	is.Equal(calls, 3.0)
	is.Equal(bytes, map[string]float64{"fetch": 420, "borrow": 5})
}
