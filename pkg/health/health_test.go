package health

import (
	"context"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

func fourTargets(profile config.Profile) config.Service {
	svc := config.Service{
		FloorPercent: 50, Profile: profile, HealthPath: "/health", ProbeIntervalMS: 1000,
		Targets: map[string]config.Target{},
	}
	for _, name := range []string{"t0", "t1", "t2", "t3"} {
		svc.Targets[name] = config.Target{Slots: 2}
	}
	return svc
}

// fixture drives one evaluator with the reports of three instances about four targets, t0 to t3.
type fixture struct {
	clock     *clock.Manual
	evaluator *Evaluator
	members   *membership.Membership
}

func newFixture(svc config.Service) *fixture {
	c := clock.NewManual(time.Unix(0, 0))
	log := zerolog.Nop()
	m := members(3)
	return &fixture{clock: c, members: m, evaluator: NewEvaluator(c, viewOf(m, svc), &log)}
}

// run reports t0Counts for t0 and others for the other targets, every ReportInterval for
// the time d, and answers all probes with "ok". It returns the states at the end.
func (r *fixture) run(d time.Duration, t0Counts, others *peerpb.TargetCounts) map[string]peerpb.TargetState {
	states := map[string]peerpb.TargetState{}
	for end := r.clock.SinceBoot() + d; r.clock.SinceBoot() < end; r.clock.Advance(ReportInterval) {
		for _, member := range r.members.Members {
			report := &peerpb.ServiceReport{Service: "s"}
			for _, name := range []string{"t0", "t1", "t2", "t3"} {
				source := others
				if name == "t0" {
					source = t0Counts
				}
				report.Targets = append(report.Targets, &peerpb.TargetCounts{
					Target: name, Answers: source.Answers, Errors: source.Errors, Stalls: source.Stalls,
					InFlight: 1, Draining: source.Draining,
				})
			}
			reply := r.evaluator.HandleReport(&peerpb.ReportRequest{
				From: member.Incarnation, Services: []*peerpb.ServiceReport{report},
			})
			for _, v := range reply.Verdicts {
				for _, tv := range v.Targets {
					states[tv.Target] = tv.State
				}
			}
		}
		for _, task := range r.evaluator.DueProbes() {
			r.evaluator.ProbeDone(task, ProbeOK)
		}
	}
	return states
}

// Guards against a target that stalls on requests but is not ejected because its probes
// succeed, and against the ejection of its healthy peers.
func TestStallOutweighsGoodProbes(t *testing.T) {
	for _, profile := range []config.Profile{config.ProfileCareful, config.ProfileFast} {
		is := is.New(t)
		r := newFixture(fourTargets(profile))
		r.run(5*time.Second, &peerpb.TargetCounts{Answers: 5}, &peerpb.TargetCounts{Answers: 5})
		states := r.run(4*time.Second, &peerpb.TargetCounts{Stalls: 2}, &peerpb.TargetCounts{Answers: 5})
		is.True(ejectedOrTrial(states["t0"]))
		is.Equal(states["t1"], active)
	}
}

// Guards against an ejection when all targets fail alike.
func TestSharedFailuresEjectNobody(t *testing.T) {
	is := is.New(t)
	r := newFixture(fourTargets(config.ProfileFast))
	shared := &peerpb.TargetCounts{Answers: 3, Errors: 1, Stalls: 1}
	for _, state := range r.run(10*time.Second, shared, shared) {
		is.Equal(state, active)
	}
}

// Guards against a return without a trial, a trial that never ends and a back-off that does
// not grow for a target that fails again.
func TestTrialAndBackOff(t *testing.T) {
	is := is.New(t)
	r := newFixture(fourTargets(config.ProfileFast))
	good := &peerpb.TargetCounts{Answers: 5}
	r.run(3*time.Second, good, good)
	is.Equal(r.run(time.Second, &peerpb.TargetCounts{Stalls: 3}, good)["t0"], ejected)
	is.Equal(r.run(firstBackOff, &peerpb.TargetCounts{}, good)["t0"], trial)
	is.Equal(r.run(2*ReportInterval, &peerpb.TargetCounts{Stalls: 1}, good)["t0"], ejected)
	is.Equal(r.run(firstBackOff+ReportInterval, &peerpb.TargetCounts{}, good)["t0"], ejected)
	is.Equal(r.run(firstBackOff, &peerpb.TargetCounts{}, good)["t0"], trial)
	is.Equal(r.run(time.Second, good, good)["t0"], active)
}

// Guards against the loss of a drain signal and against a draining target that becomes
// active too early because its health path still answers "ok".
func TestDrainSignal(t *testing.T) {
	is := is.New(t)
	r := newFixture(fourTargets(config.ProfileCareful))
	good := &peerpb.TargetCounts{Answers: 5}
	r.run(3*time.Second, good, good)
	is.Equal(r.run(ReportInterval, &peerpb.TargetCounts{Answers: 1, Draining: true}, good)["t0"], draining)
	is.Equal(r.run(5*time.Second, &peerpb.TargetCounts{}, good)["t0"], draining)
	is.Equal(r.run(10*time.Second, &peerpb.TargetCounts{}, good)["t0"], active)
}

// Guards against two probes in flight at one target and against an ejection
// for a single failed probe.
func TestProbes(t *testing.T) {
	is := is.New(t)
	r := newFixture(fourTargets(config.ProfileCareful))
	open := map[string]bool{}
	for range 100 {
		r.clock.Advance(100 * time.Millisecond)
		for _, task := range r.evaluator.DueProbes() {
			is.True(!open[task.Target])
			open[task.Target] = true
		}
	}
	var p probeState
	p.done(ProbeFailed, time.Second)
	is.True(!p.failing(time.Minute))
	p.done(ProbeFailed, 2*time.Second)
	p.done(ProbeFailed, 3*time.Second)
	is.True(!p.failing(3 * time.Second))
	is.True(p.failing(4 * time.Second))
	is.Equal(ParseProbe(200, []byte(`{"status":"cold"}`)), ProbeCold)
	is.Equal(ParseProbe(503, []byte(`{"status":"ok"}`)), ProbeFailed)
}

// Guards against a stall that is reported only when the request ends, or reported twice.
func TestCollectorCountsOpenStallOnce(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(0, 0))
	collector := NewCollector(c)
	var open OpenRequest
	collector.Target("s", "t0").Begin(&open)
	is.Equal(collector.TakeReports()[0].Targets[0].Stalls, uint32(0))
	c.Advance(initialStallThreshold)
	is.Equal(collector.TakeReports()[0].Targets[0].Stalls, uint32(1))
	open.End(Stalled, 2*time.Second, Load{Known: true, InFlight: 7})
	is.Equal(len(collector.TakeReports()[0].Targets), 0)
	c.Advance(serviceIdleTimeout + time.Second)
	is.Equal(len(collector.TakeReports()), 0) // a service without traffic is not reported
}

// Guards against following a lower-ranked or an outdated verdict, and against requests to a
// target whose drain signal the instance received itself.
func TestFollowerRankAndAge(t *testing.T) {
	is := is.New(t)
	c := clock.NewManual(time.Unix(0, 0))
	log := zerolog.Nop()
	m := members(3)
	collector := NewCollector(c)
	f := NewFollower(c, viewOf(m, fourTargets(config.ProfileFast)), collector, &log)
	ranked := EvaluatorsOf(m, "s")
	receive := func(rank int, state peerpb.TargetState) {
		f.ApplyReply(ranked[rank].Incarnation, c.SinceBoot(), &peerpb.ReportReply{Verdicts: []*peerpb.Verdict{
			{Service: "s", Targets: []*peerpb.TargetVerdict{{Target: "t0", State: state}}},
		}})
	}
	receive(1, active)
	receive(0, ejected)
	receive(1, active)
	is.Equal(f.Standings("s").Targets["t0"].State, ejected)
	c.Advance(verdictTTL)
	receive(1, active)
	is.Equal(f.Standings("s").Evaluator, ranked[1].Incarnation)
	is.Equal(f.Standings("s").Targets["t0"].State, active)
	c.Advance(verdictTTL)
	f.Update(nil)
	is.Equal(f.Standings("s").Evaluator, "")
	var open OpenRequest
	collector.Target("s", "t1").Begin(&open)
	open.End(Good, time.Millisecond, Load{Draining: true})
	is.True(collector.Target("s", "t1").Draining(c.SinceBoot()))
}

// senderFunc implements Sender with a function.
type senderFunc func(membership.Member, *peerpb.ReportRequest) *peerpb.ReportReply

func (f senderFunc) SendReport(_ context.Context, to membership.Member, r *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return f(to, r), nil
}

// Guards against data races between the report and evaluation loops and the requests, and
// against a report that does not reach both evaluators.
func TestLoops(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	m := members(3)
	viewer := viewOf(m, fourTargets(config.ProfileFast))
	collector := NewCollector(clock.System{})
	f := NewFollower(clock.System{}, viewer, collector, &log)
	e := NewEvaluator(clock.System{}, viewer, &log)
	ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
	defer cancel()
	reported := make(chan string, 100)
	sender := senderFunc(func(to membership.Member, r *peerpb.ReportRequest) *peerpb.ReportReply {
		reported <- to.Incarnation
		return e.HandleReport(r)
	})
	go func() { _ = NewReporter(clock.System{}, viewer, collector, f).Run(ctx, sender) }()
	go func() { _ = e.Run(ctx, nil) }()
	for ctx.Err() == nil {
		var open OpenRequest
		collector.Target("s", "t0").Begin(&open)
		time.Sleep(time.Millisecond)
		open.End(Good, time.Millisecond, Load{})
		f.Standings("s")
		_, _ = e.Dump(), f.Dump()
	}
	seen := map[string]bool{}
	for len(reported) > 0 {
		seen[<-reported] = true
	}
	is.Equal(len(seen), EvaluatorsPerService)
}
