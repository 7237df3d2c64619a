package health

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against probes of an evacuated target, and against ejections that the floor allows
// or forbids because of slots that an order has taken out of use.
func TestEvacuatedTargetIsLeftAlone(t *testing.T) {
	is := is.New(t)
	svc := fourTargets(config.ProfileFast)
	for name, zone := range map[string]string{"t0": "a", "t1": "b", "t2": "a", "t3": "b"} {
		target := svc.Targets[name]
		target.Zone = zone
		svc.Targets[name] = target
	}
	c := config.Empty()
	c.Services["s"] = svc
	c.EvacuatedZones = map[string]config.Evacuation{"a": {}}
	r := newFixture(svc)
	view := viewOf(r.members, svc).view
	view.Config = config.NewSnapshot(2, c)
	svc = view.Config.Config.Services["s"]
	log := zerolog.Nop()
	r.evaluator = NewEvaluator(r.clock, &fixedView{view}, &log)
	good := &peerpb.TargetCounts{Answers: 5}
	states := r.run(5*time.Second, &peerpb.TargetCounts{}, good)
	is.Equal(states["t0"], draining)
	is.Equal(states["t1"], active)
	is.Equal(RequiredSlots(svc), 2) // half of those of zone b
	is.Equal(SlotsInUse(svc, func(string) peerpb.TargetState { return active }), 4)
	for range 40 {
		for _, task := range r.evaluator.DueProbes() {
			is.True(task.Target == "t1" || task.Target == "t3")
			r.evaluator.ProbeDone(task, ProbeOK)
		}
		r.clock.Advance(ReportInterval)
	}
	c.EvacuatedZones = nil
	view.Config = config.NewSnapshot(3, c)
	is.Equal(r.run(time.Second, good, good)["t0"], active)
}
