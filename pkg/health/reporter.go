package health

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"golang.org/x/sync/errgroup"
)

// reportTimeout bounds one call. A later reply is of no use, since a verdict is
// followed for verdictTTL.
const reportTimeout = 750 * time.Millisecond

// Sender brings a report to one instance. Implementations fill in the versions
// of the request and handle those of the reply.
type Sender interface {
	SendReport(ctx context.Context, to membership.Member, request *peerpb.ReportRequest) (*peerpb.ReportReply, error)
}

// OutgoingReport is the report for one evaluator instance with all its services.
type OutgoingReport struct {
	To      membership.Member
	Request *peerpb.ReportRequest
	// Asked is the boot time at which the report was made.
	Asked time.Duration
}

// Reporter sends the observations of one instance to the evaluators.
type Reporter struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *Collector
	follower  *Follower

	mu       sync.Mutex
	inFlight map[string]bool

	evaluatorCache evaluatorCache
}

// NewReporter returns a reporter of the collector's observations.
func NewReporter(c clock.Clock, viewer control.Viewer, collector *Collector, follower *Follower) *Reporter {
	return &Reporter{clock: c, viewer: viewer, collector: collector, follower: follower, inFlight: map[string]bool{}}
}

// Collect ends the current window, updates the follower and returns the
// reports to send, one for each evaluator instance.
func (r *Reporter) Collect() []OutgoingReport {
	view := r.viewer.View()
	now := r.clock.SinceBoot()
	reports := r.collector.Report()
	r.follower.Tick(reports)
	byEvaluator := map[string]int{}
	var outgoing []OutgoingReport
	for _, report := range reports {
		for _, member := range r.evaluatorCache.of(view.Membership, report.Service) {
			i, ok := byEvaluator[member.Incarnation]
			if !ok {
				i = len(outgoing)
				byEvaluator[member.Incarnation] = i
				request := &peerpb.ReportRequest{From: view.Self.Incarnation}
				outgoing = append(outgoing, OutgoingReport{To: member, Request: request, Asked: now})
			}
			outgoing[i].Request.Services = append(outgoing[i].Request.Services, report)
		}
	}
	return outgoing
}

// Run reports every ReportInterval until ctx ends. It returns the error of ctx.
// A failed call loses its window at that evaluator; the other one has it.
func (r *Reporter) Run(ctx context.Context, sender Sender) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		for {
			if err := r.clock.Sleep(ctx, ReportInterval); err != nil {
				return err
			}
			for _, out := range r.Collect() {
				if !r.tryStart(out.To.Incarnation) {
					continue
				}
				group.Go(func() error {
					defer r.finish(out.To.Incarnation)
					r.send(ctx, sender, out)
					return nil
				})
			}
		}
	})
	return group.Wait()
}

// tryStart reserves the single place for a call to the evaluator, so that calls
// to a silent evaluator do not pile up.
func (r *Reporter) tryStart(evaluator string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[evaluator] {
		return false
	}
	r.inFlight[evaluator] = true
	return true
}

func (r *Reporter) finish(evaluator string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, evaluator)
}

// send has no use for an error: without a reply the follower moves on to the
// next evaluator after verdictTTL.
func (r *Reporter) send(ctx context.Context, sender Sender, out OutgoingReport) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := sender.SendReport(bounded, out.To, out.Request)
	if err == nil {
		r.follower.Hear(out.To.Incarnation, out.Asked, reply)
	}
}
