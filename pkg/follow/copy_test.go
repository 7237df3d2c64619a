package follow

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// peerConfig returns an empty configuration with a set version and records the
// addresses that it was requested from.
type peerConfig struct {
	version   int64
	requested []string
}

func (p *peerConfig) Config(_ context.Context, address string, _ int64) (int64, *config.Config, error) {
	p.requested = append(p.requested, address)
	return p.version, config.Empty(), nil
}

// newStandby returns a follower whose Run is not called, so that it reads the
// source only for a request or a heartbeat.
func newStandby(peerConfigs PeerConfigs, updates ...any) (*Follower, *scriptedSource, *clock.Manual) {
	c := clock.NewManual(time.Unix(0, 0))
	c.Advance(time.Hour)
	nop := zerolog.Nop()
	s := &scriptedSource{updates: updates}
	return New(c, s, peerConfigs, immediateCopySources(), membership.Member{}, &nop, func(bool) {}), s, c
}

// mergeAndWait delivers a heartbeat of this release to a follower and waits for the copy that it
// may start.
func mergeAndWait(t *testing.T, f *Follower, h *peerpb.Heartbeat) {
	t.Helper()
	if h.EvacuatedZones == nil { // the senders are of this release
		h.EvacuatedZones = &peerpb.EvacuatedZones{}
	}
	f.Merge("e1", h)
	eventually(t, "the copy did not finish", func() bool { return f.copySources.Idle() })
}

// Guards against instances that each read the store at every change: on the
// enlarged deployments a change cost 115 reads, and instances whose calls the
// store refused stayed on the old version.
func TestConfigIsCopied(t *testing.T) {
	is := is.New(t)
	copies := &peerConfig{version: 3}
	f, s, _ := newStandby(copies)
	mergeAndWait(t, f, &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, GossipAddress: "10.0.0.1:7360"})
	is.Equal(f.View().Config.Version, int64(3))
	is.Equal(copies.requested, []string{"10.0.0.1:7360"})
	is.Equal(s.reads, 0)
	// An older copy does not replace a newer one.
	copies.version = 2
	mergeAndWait(t, f, &peerpb.Heartbeat{Serving: true, ConfigVersion: 4, GossipAddress: "10.0.0.1:7360"})
	is.Equal(f.View().Config.Version, int64(3))
}

// Guards against a version that is taken to be the newest because of a report by an
// instance that itself has not reached the store for a long time.
func TestConfirmationKeepsItsAge(t *testing.T) {
	is := is.New(t)
	f, s, c := newStandby(unreachablePeers{}, configUpdate(3), configUpdate(4))
	f.EnsureMaxAge(context.Background(), time.Second)
	is.Equal(s.reads, 1)
	for range 4 { // an instance without access to the store reports a growing age
		c.Advance(500 * time.Millisecond)
		configAge := uint32(f.Age().Milliseconds())
		mergeAndWait(t, f, &peerpb.Heartbeat{Serving: true, ConfigVersion: 3, ConfigAgeMs: configAge})
	}
	f.EnsureMaxAge(context.Background(), time.Second)
	is.Equal(s.reads, 2)
	is.Equal(f.View().Config.Version, int64(4))
	h := &peerpb.Heartbeat{}
	c.Advance(300 * time.Millisecond)
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(h.ConfigAgeMs, uint32(300))
	mergeAndWait(t, f, &peerpb.Heartbeat{Serving: true, ConfigVersion: 4, ConfigAgeMs: 100})
	f.Fill(h, fleet.SameZonePeers)
	is.Equal(h.ConfigAgeMs, uint32(100))
}

// Guards against an instance that calls the store each second although it is
// waiting for changes from it, and against a change that is missed because a
// reachable store is mistaken for one whose changes the instance is waiting for.
func TestConfirmNeedsAnOpenWait(t *testing.T) {
	is := is.New(t)
	f, s, c := newStandby(unreachablePeers{}, configUpdate(3))
	f.EnsureMaxAge(context.Background(), time.Second)
	c.Advance(2 * time.Second)
	f.ConfirmReachable(c.SinceBoot(), 0)
	is.True(f.Age() >= 2*time.Second) // Run is not waiting for changes
	f.waitingSince.Store(int64(c.SinceBoot()))
	c.Advance(time.Second)
	f.ConfirmReachable(c.SinceBoot()-1100*time.Millisecond, 0)
	is.True(f.Age() >= 2*time.Second) // the store was reached before the wait began
	f.ConfirmReachable(c.SinceBoot()-100*time.Millisecond, 1)
	is.True(f.Age() >= 2*time.Second) // the store was reached in another era than that of the wait
	f.ConfirmReachable(c.SinceBoot()-100*time.Millisecond, 0)
	is.Equal(f.Age(), 100*time.Millisecond)
	c.Advance(MaxWait)
	f.ConfirmReachable(c.SinceBoot(), 0)
	is.True(f.Age() > MaxWait) // the answer to the wait is due
	is.Equal(s.reads, 1)
}
