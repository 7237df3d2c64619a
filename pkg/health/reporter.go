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

// reportTimeout is the time limit of one call. A later reply would be of little use,
// because its verdicts are only followed for verdictTTL from the sending of the report.
const reportTimeout = 750 * time.Millisecond

// Sender sends a report to one instance and returns the reply. Implementations fill in
// the versions of the request and process those of the reply.
type Sender interface {
	SendReport(ctx context.Context, to membership.Member, request *peerpb.ReportRequest) (*peerpb.ReportReply, error)
}

// OutgoingReport is the report to one instance about all services that it evaluates.
type OutgoingReport struct {
	To      membership.Member
	Request *peerpb.ReportRequest
	// CreatedAt is the time since boot at which the report was made.
	CreatedAt time.Duration
}

// Reporter sends the observations of one instance to the evaluators.
type Reporter struct {
	clock     clock.Clock
	viewer    control.Viewer
	collector *Collector
	follower  *Follower

	mu sync.Mutex
	// inFlight holds the incarnations of the evaluators with a call in progress.
	inFlight map[string]bool

	evaluatorCache evaluatorCache
}

// NewReporter returns a reporter that sends the collector's observations and passes the
// replies to the follower.
func NewReporter(c clock.Clock, viewer control.Viewer, collector *Collector, follower *Follower) *Reporter {
	return &Reporter{clock: c, viewer: viewer, collector: collector, follower: follower, inFlight: map[string]bool{}}
}

// Collect ends the current window, updates the follower and returns the reports to send,
// one for each instance that is an evaluator of a reported service.
func (r *Reporter) Collect() []OutgoingReport {
	view := r.viewer.View()
	now := r.clock.SinceBoot()
	reports := r.collector.TakeReports()
	r.follower.Update(reports)
	byEvaluator := map[string]int{}
	var outgoing []OutgoingReport
	for _, report := range reports {
		for _, member := range r.evaluatorCache.of(view.Membership, report.Service) {
			i, ok := byEvaluator[member.Incarnation]
			if !ok {
				i = len(outgoing)
				byEvaluator[member.Incarnation] = i
				request := &peerpb.ReportRequest{From: view.Self.Incarnation}
				outgoing = append(outgoing, OutgoingReport{To: member, Request: request, CreatedAt: now})
			}
			outgoing[i].Request.Services = append(outgoing[i].Request.Services, report)
		}
	}
	return outgoing
}

// Run reports every ReportInterval until ctx ends. It returns the error of ctx. When a
// call fails, that evaluator misses the observations of the window; the other evaluator
// of the service has them.
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

// tryStart marks a call to the evaluator as in progress. It returns false when there is
// one already, so that calls to an unresponsive evaluator do not accumulate.
func (r *Reporter) tryStart(evaluator string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight[evaluator] {
		return false
	}
	r.inFlight[evaluator] = true
	return true
}

// finish marks a call to the evaluator as ended; see tryStart.
func (r *Reporter) finish(evaluator string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.inFlight, evaluator)
}

// send sends one report and passes the reply to the follower. It ignores errors: without
// a reply the follower changes to the next evaluator after verdictTTL.
func (r *Reporter) send(ctx context.Context, sender Sender, out OutgoingReport) {
	bounded, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := sender.SendReport(bounded, out.To, out.Request)
	if err == nil {
		r.follower.ApplyReply(out.To.Incarnation, out.CreatedAt, reply)
	}
}
