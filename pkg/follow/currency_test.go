package follow

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Guards against a process on a machine that has just booted and that takes a version which
// nobody has confirmed for a recent one.
func TestUnconfirmedVersionIsNotRecentAfterBoot(t *testing.T) {
	is := is.New(t)
	nop := zerolog.Nop()
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(300 * time.Millisecond)
	s := &scriptedSource{updates: []any{configUpdate(3)}}
	f := New(c, s, unreachablePeers{}, immediateCopySources(), membership.Member{}, &nop, func(bool) {})
	f.EnsureMaxAge(t.Context(), time.Second)
	is.Equal(s.reads, 1)
}
