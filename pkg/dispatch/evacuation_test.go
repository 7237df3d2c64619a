package dispatch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// withdrawnInner is an attempt whose target has gone out of use.
type withdrawnInner struct{ proxy.Attempt }

func (withdrawnInner) Withdrawn() bool { return true }

// Guards against a reservation of a slot in an evacuated zone, and against an attempt at a
// reserved target that hides that the target was withdrawn.
func TestNoReservationInEvacuatedZone(t *testing.T) {
	is := is.New(t)
	v, _ := fleetView(4)
	c := *v.view.Config.Config
	targets := map[string]config.Target{}
	for i := range 4 {
		targets[targetName(i)] = config.Target{Slots: 2, MaxConnections: 100, Zone: []string{"a", "b"}[i%2]}
	}
	c.Services = map[string]config.Service{"s": {Targets: targets}}
	r := newFixture(4, Options{})
	r.dispatcher.viewer = v
	for version, evacuated := range []map[string]config.Evacuation{{"a": {}}, {"a": {}, "b": {}}} {
		c.EvacuatedZones = evacuated
		v.view.Config = config.NewSnapshot(int64(version+2), &c)
		for range 4 {
			reply := r.ask("big", "x")
			is.True(!reply.Full)
			is.Equal(reply.Target == "", len(evacuated) == 2)
			is.True(reply.Target != targetName(0) && reply.Target != targetName(2))
		}
	}
	is.True(proxy.IsWithdrawn(&attempt{Attempt: withdrawnInner{}}))
	is.True(!proxy.IsWithdrawn(&attempt{Attempt: &innerAttempt{}}))
}
