package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// healthHarness drives the health components of one instance without a network
// and with a manual clock.
type healthHarness struct {
	clock     *clock.Manual
	config    *config.Config
	collector *health.Collector
	evaluator *health.Evaluator
	follower  *health.Follower
	random    *rand.Rand
}

func newHealthHarness(instances int, s Size) *healthHarness {
	c, log := clock.NewManual(time.Unix(0, 0)), zerolog.Nop()
	m, document := members(instances), s.Config(1, time.Now())
	viewer := viewOf(m, m.Members[0], document)
	collector := health.NewCollector(c)
	return &healthHarness{
		clock: c, config: document, collector: collector, random: rand.New(rand.NewPCG(1, 1)),
		evaluator: health.NewEvaluator(c, viewer, &log), follower: health.NewFollower(c, viewer, collector, &log),
	}
}

// completeRequests begins and ends count successful requests at random targets.
func (r *healthHarness) completeRequests(count int) {
	targets := make([][2]string, 0, count)
	for id, s := range r.config.Services {
		for t := range s.Targets {
			targets = append(targets, [2]string{id, t})
		}
	}
	for range count {
		t := targets[r.random.IntN(len(targets))]
		open := &health.OpenRequest{}
		r.collector.Target(t[0], t[1]).Begin(open)
		open.End(health.Good, 50*time.Millisecond, health.Load{Known: true, InFlight: 2})
	}
}

// measureHealth measures the size and the processing time of health reports and
// verdicts, at a reporting instance and at an evaluator.
func measureHealth(_ context.Context, o *Options) ([]*Table, error) {
	perInstance := &Table{
		Title: "one instance, one report interval (250 ms), 104 requests per second as at the expected scale",
		Columns: []string{
			"percent of the expected scale", "services reported", "targets reported", "report bytes", "verdict targets", "verdict bytes",
			"collect us", "follow us", "evaluators",
		},
	}
	for _, percent := range []int{1, 10, 50, 100} {
		o.progress("observations at %d percent", percent)
		row, err := measureObservationRow(percent)
		if err != nil {
			return nil, err
		}
		perInstance.add(row...)
	}
	evaluator := &Table{
		Title: "one evaluator of one service with 24 targets, one report interval",
		Columns: []string{
			"reporting instances", "targets per report", "us per report", "us per reported target", "us per idle interval",
		},
	}
	for _, instances := range []int{8, 48, 200, expectedInstances} {
		for _, targets := range []int{1, 24} {
			row, err := measureEvaluatorRow(instances, targets)
			if err != nil {
				return nil, err
			}
			evaluator.add(row...)
		}
	}
	return []*Table{perInstance, evaluator}, nil
}

const (
	// requestsPerInterval is 57,000 requests/s over 550 instances in 250 ms.
	requestsPerInterval = 26
	// activeIntervals are 5 s, the time for which a service is reported after its
	// last request.
	activeIntervals = 20
)

// measureObservationRow measures one instance at percent of the expected scale.
func measureObservationRow(percent int) ([]float64, error) {
	r := newHealthHarness(expectedInstances, scaled(float64(percent)/100))
	for range activeIntervals {
		r.completeRequests(requestsPerInterval)
		// The evaluator gives no verdict until it has received reports for some time.
		r.evaluator.HandleReport(&peerpb.ReportRequest{From: incarnationID(1), Services: r.collector.TakeReports()})
		r.clock.Advance(health.ReportInterval)
	}
	r.completeRequests(requestsPerInterval)
	services := r.collector.TakeReports()
	reported, verdicts := 0, 0
	for _, s := range services {
		reported += len(s.Targets)
	}
	m := members(expectedInstances)
	request := &peerpb.ReportRequest{From: incarnationID(1), Services: services}
	reply := r.evaluator.HandleReport(request)
	evaluators := map[string]bool{}
	for _, s := range services {
		for _, e := range health.EvaluatorsOf(m, s.Service) {
			evaluators[e.Incarnation] = true
		}
	}
	for _, v := range reply.Verdicts {
		verdicts += len(v.Targets)
	}
	const calls = 20
	collect, err := cpuPerCall(calls, func() error {
		r.completeRequests(requestsPerInterval)
		r.collector.TakeReports()
		return nil
	})
	if err != nil {
		return nil, err
	}
	follow, err := cpuPerCall(calls, func() error {
		r.clock.Advance(health.ReportInterval)
		now := r.clock.SinceBoot()
		r.follower.Update(services)
		// Each of the two evaluators of a service answers with a verdict.
		for range health.EvaluatorsPerService {
			r.follower.ApplyReply(incarnationID(0), now, reply)
		}
		return nil
	})
	return []float64{
		float64(percent), float64(len(services)), float64(reported), float64(proto.Size(request)), float64(verdicts),
		float64(proto.Size(reply)), microseconds(collect), microseconds(follow), float64(len(evaluators)),
	}, err
}

// measureEvaluatorRow measures an evaluator that receives reports of the given
// number of targets from the given number of instances.
func measureEvaluatorRow(instances, targets int) ([]float64, error) {
	r := newHealthHarness(instances, Size{Teams: 1, Routes: 1, Services: 1, Targets: 24})
	report := &peerpb.ServiceReport{Service: serviceID(0)}
	for n := range targets {
		report.Targets = append(report.Targets, &peerpb.TargetCounts{
			Target: fmt.Sprint("target-", n), Answers: 2, InFlight: 1, ReportedLoad: 2, Latency: []uint32{0, 0, 0, 0, 0, 0, 2},
		})
	}
	const rounds = 10
	round := func() error {
		for n := range instances {
			r.clock.Advance(health.ReportInterval / time.Duration(instances))
			reply := r.evaluator.HandleReport(&peerpb.ReportRequest{From: incarnationID(n), Services: []*peerpb.ServiceReport{report}})
			if _, err := proto.Marshal(reply); err != nil {
				return err
			}
		}
		r.evaluator.EvaluateAll()
		return nil
	}
	busy, err := cpuPerCall(rounds, round)
	if err != nil {
		return nil, err
	}
	idle, err := cpuPerCall(rounds, func() error {
		r.clock.Advance(health.ReportInterval)
		r.evaluator.EvaluateAll()
		for range 5 {
			r.evaluator.DueProbes()
		}
		return nil
	})
	each := microseconds(busy) / float64(instances)
	return []float64{float64(instances), float64(targets), each, each / float64(targets), microseconds(idle)}, err
}
