package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Guards against heartbeats that waited in the socket's buffer during a pause and whose
// ages count from their sending.
func TestDatagramsOfAPauseAreStale(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	sources := fleet.NewCopySources(func() time.Duration { return 0 })
	f := &freshness{
		pauses:   clock.NewPauseDetector(c, pauseThreshold),
		follower: follow.New(c, nil, nil, sources, membership.Member{}, &nop, func(bool) {}),
		registry: discovery.NewRegistry(c, nil, nil, sources, &nop, func(bool) {}),
		instance: &Instance{Options: Options{Log: &nop}, clock: c},
	}
	is.True(!f.datagramsMayBeStale())
	c.Advance(pauseThreshold / 2)
	is.True(!f.datagramsMayBeStale())
	c.Advance(pauseThreshold)
	is.True(f.datagramsMayBeStale())
	c.Advance(staleDatagramPeriod / 2)
	is.True(f.datagramsMayBeStale())
	c.Advance(staleDatagramPeriod)
	is.True(!f.datagramsMayBeStale())
}
