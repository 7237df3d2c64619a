package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/rs/zerolog"
	"pgregory.net/rapid"
)

// fixedView implements control.Viewer with a constant view.
type fixedView struct{ view *control.View }

func (f *fixedView) View() *control.View { return f.view }

// members returns a membership of n instances, i0 and so on, in the zones a, b and c.
func members(n int) *membership.Membership {
	list := make([]membership.Member, n)
	for i := range list {
		list[i] = membership.Member{Incarnation: fmt.Sprintf("i%d", i), Zone: string(rune('a' + i%3))}
	}
	return (&membership.Membership{}).NextVersion(list, nil, 3)
}

// viewOf returns a view of the first member with the single service "s".
func viewOf(m *membership.Membership, svc config.Service) *fixedView {
	c := config.Empty()
	c.Services["s"] = svc
	return &fixedView{&control.View{
		Config: config.NewSnapshot(1, c), Membership: m, Self: m.Members[0], Member: true,
	}}
}

func drawService(t *rapid.T) config.Service {
	svc := config.Service{
		FloorPercent: rapid.IntRange(0, 100).Draw(t, "floor"), HealthPath: "/health", ProbeIntervalMS: 500,
		Profile: rapid.SampledFrom([]config.Profile{config.ProfileCareful, config.ProfileFast}).Draw(t, "profile"),
		Targets: map[string]config.Target{},
	}
	for i := range rapid.IntRange(1, 10).Draw(t, "targets") {
		svc.Targets[fmt.Sprintf("t%d", i)] = config.Target{
			Slots:   rapid.IntRange(1, 4).Draw(t, "slots"),
			Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		}
	}
	return svc
}

// drawReport returns a random report. kinds holds the current behavior of each target; few
// targets change theirs at a time, because targets that change with each report are never
// ejected.
func drawReport(t *rapid.T, kinds []int) *peerpb.ServiceReport {
	report := &peerpb.ServiceReport{Service: "s"}
	for i := range kinds {
		if rapid.IntRange(0, 49).Draw(t, "change") == 0 {
			kinds[i] = rapid.IntRange(0, 5).Draw(t, "kind")
		}
		c := &peerpb.TargetCounts{Target: fmt.Sprintf("t%d", i), Latency: make([]uint32, latencyBuckets)}
		switch kinds[i] {
		case 0:
			c.Stalls = 30
		case 1:
			c.Errors, c.Answers = 20, 20
		case 2:
			c.Draining = rapid.Bool().Draw(t, "draining")
		default:
			c.Answers = 30
		}
		c.Latency[rapid.IntRange(3, 9).Draw(t, "bucket")] = c.Answers
		report.Targets = append(report.Targets, c)
	}
	return report
}

// floorKept reports whether the ejections leave RequiredSlots in use. Drains and cold starts
// may leave fewer, but then no target may stay ejected.
func floorKept(svc config.Service, state func(string) peerpb.TargetState) bool {
	for name, target := range svc.Targets {
		if !target.Leaving && ejectedOrTrial(state(name)) {
			return SlotsInUse(svc, state) >= RequiredSlots(svc)
		}
	}
	return true
}

// Guards against ejections that leave fewer slots in use than the floor requires, at the
// evaluator and at the follower, for any sequence of reports, probe results and drains and
// for any floor.
func TestFloorIsNeverCrossed(t *testing.T) {
	ejections := 0
	rapid.Check(t, func(t *rapid.T) {
		c := clock.NewManual(time.Unix(0, 0))
		log := zerolog.Nop()
		svc := drawService(t)
		m := members(3)
		viewer := viewOf(m, svc)
		e := NewEvaluator(c, viewer, &log)
		collector := NewCollector(c)
		f := NewFollower(c, viewer, collector, &log)
		kinds := make([]int, len(svc.Targets))
		for i := range kinds {
			kinds[i] = rapid.SampledFrom([]int{0, 1, 3, 3, 3, 3, 3, 3}).Draw(t, "kind")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.Advance(time.Duration(rapid.IntRange(50, 400).Draw(t, "step_ms")) * time.Millisecond)
			for _, task := range e.DueProbes() {
				status := ProbeOK
				if rapid.IntRange(0, 7).Draw(t, "odd_probe") == 0 {
					status = ProbeStatus(rapid.IntRange(0, 3).Draw(t, "probe"))
				}
				e.ProbeDone(task, status)
			}
			if rapid.IntRange(0, 9).Draw(t, "local_drain") == 0 {
				var open OpenRequest
				collector.Target("s", "t0").Begin(&open)
				open.End(Good, time.Millisecond, Load{Draining: true})
			}
			report := drawReport(t, kinds)
			reply := e.HandleReport(&peerpb.ReportRequest{
				From:     m.Members[rapid.IntRange(0, 2).Draw(t, "from")].Incarnation,
				Services: []*peerpb.ServiceReport{report},
			})
			f.Update([]*peerpb.ServiceReport{report})
			if rapid.Bool().Draw(t, "heard") {
				f.ApplyReply(EvaluatorsOf(m, "s")[0].Incarnation, c.SinceBoot(), reply)
			}
			for _, v := range reply.Verdicts {
				states := map[string]peerpb.TargetState{}
				for _, tv := range v.Targets {
					states[tv.Target] = tv.State
					if tv.State == ejected {
						ejections++
					}
				}
				if !floorKept(svc, func(name string) peerpb.TargetState { return states[name] }) {
					t.Fatalf("evaluator left fewer slots in use than the floor requires: %v", states)
				}
			}
			standings := f.Standings("s")
			if !floorKept(svc, func(name string) peerpb.TargetState { return standings.Targets[name].State }) {
				t.Fatalf("follower left fewer slots in use than the floor requires: %v", standings)
			}
		}
	})
	t.Logf("%d ejected targets in all verdicts", ejections)
	if ejections == 0 {
		t.Fatal("no sequence ejected a target, so nothing was tested")
	}
}
