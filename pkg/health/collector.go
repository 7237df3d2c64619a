// Package health decides which targets get requests. Every instance counts the
// results of its own requests (Collector) and reports them (Reporter) to the
// health evaluators of each service. These merge the reports with probe results
// and return verdicts (Evaluator), which every instance applies (Follower).
package health

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// ReportInterval is the time between two reports of an instance.
const ReportInterval = 250 * time.Millisecond

const (
	// latencyBuckets is the number of histogram buckets, which cover 1 ms to 32 s
	// by powers of two. Bucket 0 is below 1 ms, bucket i is [2^(i-1), 2^i) ms, and
	// the last one is open-ended.
	latencyBuckets = 17
	// serviceIdleTimeout is the time for which a service stays in the reports after
	// its last request, so that a service with sparse traffic still receives
	// current verdicts.
	serviceIdleTimeout = 5 * time.Second
	// localDrainTTL is the time for which a drain signal that this instance received
	// stops new requests unless it is repeated. It covers the time until the
	// evaluators' verdict arrives.
	localDrainTTL = 10 * time.Second
	// drainReportTime is the time for which a drain signal is included in the
	// reports. It spans several reports, so that a lost report does not lose the
	// signal.
	drainReportTime = time.Second
)

// Outcome classifies a finished request for health decisions.
type Outcome int

// Outcomes of requests.
const (
	// Good is a complete answer that is not a server error.
	Good Outcome = iota
	// Failed is a server error, a broken answer or a failed connection.
	Failed
	// Stalled is a request without a complete answer at its deadline.
	Stalled
	// Shed is a rejection by the target because of load.
	Shed
	// Ignored is a result that says nothing about the target's health, for example
	// a canceled request.
	Ignored
)

// Load is the state that a target reports about itself in a response.
type Load struct {
	// Known is false when the response carried no load header.
	Known bool
	// InFlight counts the requests that the target runs or queues.
	InFlight int
	// Draining is set when the target announces that it is leaving.
	Draining bool
}

// Collector counts the results of one instance's requests per target, for the
// reports to the evaluators. It is safe for concurrent use.
type Collector struct {
	clock    clock.Clock
	mu       sync.RWMutex
	services map[string]*serviceObservations
}

// serviceObservations holds what one instance observed at one service.
type serviceObservations struct {
	mu      sync.Mutex
	targets map[string]*TargetObservations
	// lastRequestAt is the time since boot at which a request last began or ended.
	// It is valid when hadRequest is true.
	lastRequestAt time.Duration
	hadRequest    bool
	threshold     stallThreshold
}

// TargetObservations holds the observations of one target since the previous report.
type TargetObservations struct {
	service *serviceObservations
	clock   clock.Clock

	// drainSignalAt is the time since boot of the newest drain signal plus one
	// nanosecond, or 0 without a signal.
	drainSignalAt atomic.Int64

	// The following fields are guarded by service.mu.
	counts peerpb.TargetCounts
	// latency is the histogram of the good answers' latencies.
	latency [latencyBuckets]uint32
	// oldest and newest are the ends of the list of open requests.
	oldest, newest *OpenRequest
	inFlight       uint32
	// loadAt is the time since boot of counts.ReportedLoad. It is valid when
	// loadKnown is true.
	loadAt    time.Duration
	loadKnown bool
}

// OpenRequest is one request that a target has not finished. Open requests form a list in
// order of their start, so that stalled ones are found without scanning all.
type OpenRequest struct {
	previous, next *OpenRequest
	target         *TargetObservations
	startedAt      time.Duration
	countedAsStall bool
}

// NewCollector returns a collector without observations.
func NewCollector(c clock.Clock) *Collector {
	return &Collector{clock: c, services: map[string]*serviceObservations{}}
}

// Target returns the observations of a target and creates them when they are
// missing. Callers keep the result, so that a request needs no lookup.
func (c *Collector) Target(service, target string) *TargetObservations {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[service]
	if s == nil {
		s = &serviceObservations{targets: map[string]*TargetObservations{}}
		c.services[service] = s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.targets[target]
	if o == nil {
		o = &TargetObservations{service: s, clock: c.clock}
		s.targets[target] = o
	}
	return o
}

// Retain drops the observations of services and targets that are not configured.
func (c *Collector) Retain(services map[string]config.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, s := range c.services {
		configured, ok := services[name]
		if !ok {
			delete(c.services, name)
			continue
		}
		s.mu.Lock()
		for target := range s.targets {
			if _, ok := configured.Targets[target]; !ok {
				delete(s.targets, target)
			}
		}
		s.mu.Unlock()
	}
}

// Begin records that a request is about to be sent. The caller allocates open,
// which Begin initializes, and must call its End method exactly once.
func (o *TargetObservations) Begin(open *OpenRequest) {
	now := o.clock.SinceBoot()
	o.service.mu.Lock()
	defer o.service.mu.Unlock()
	*open = OpenRequest{target: o, startedAt: now, previous: o.newest}
	if o.newest != nil {
		o.newest.next = open
	} else {
		o.oldest = open
	}
	o.newest = open
	o.inFlight++
	o.service.lastRequestAt, o.service.hadRequest = now, true
}

// End records how the request ended. A request that was already counted as a
// stall is not counted again.
func (open *OpenRequest) End(outcome Outcome, latency time.Duration, load Load) {
	o := open.target
	now := o.clock.SinceBoot()
	if load.Draining {
		o.drainSignalAt.Store(int64(now) + 1)
	}
	o.service.mu.Lock()
	defer o.service.mu.Unlock()
	o.unlink(open)
	o.service.lastRequestAt = now
	if load.Known {
		o.counts.ReportedLoad, o.loadAt, o.loadKnown = uint32(max(load.InFlight, 0)), now, true
	}
	if outcome == Good || outcome == Failed || outcome == Stalled {
		o.service.threshold.observe(latency)
	}
	if open.countedAsStall {
		return
	}
	switch outcome {
	case Good:
		o.counts.Answers++
		o.latency[latencyBucket(latency)]++
	case Failed:
		o.counts.Errors++
	case Stalled:
		o.counts.Stalls++
	case Shed:
		o.counts.Sheds++
	case Ignored:
	}
}

// unlink removes open from the list of open requests.
func (o *TargetObservations) unlink(open *OpenRequest) {
	if open.previous != nil {
		open.previous.next = open.next
	} else {
		o.oldest = open.next
	}
	if open.next != nil {
		open.next.previous = open.previous
	} else {
		o.newest = open.previous
	}
	open.previous, open.next = nil, nil
	o.inFlight--
}

// Draining reports whether this instance itself received a drain signal of the
// target within localDrainTTL.
func (o *TargetObservations) Draining(now time.Duration) bool {
	return o.drainWithin(now, localDrainTTL)
}

func (o *TargetObservations) drainWithin(now, span time.Duration) bool {
	seen := o.drainSignalAt.Load()
	return seen != 0 && now-time.Duration(seen-1) < span
}

// TakeReports returns the observations since the previous call and starts a new
// window. It omits services that have no open request and had none within
// serviceIdleTimeout.
func (c *Collector) TakeReports() []*peerpb.ServiceReport {
	now := c.clock.SinceBoot()
	c.mu.RLock()
	defer c.mu.RUnlock()
	var reports []*peerpb.ServiceReport
	for name, s := range c.services {
		if report := s.report(name, now); report != nil {
			reports = append(reports, report)
		}
	}
	return reports
}

func (s *serviceObservations) report(name string, now time.Duration) *peerpb.ServiceReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	report := &peerpb.ServiceReport{Service: name}
	anyOpen := false
	stallTime := s.threshold.current()
	for target, o := range s.targets {
		if counts := o.takeCounts(target, now, stallTime); counts != nil {
			report.Targets = append(report.Targets, counts)
			anyOpen = anyOpen || counts.InFlight > 0
		}
	}
	s.threshold.decay()
	if !anyOpen && (!s.hadRequest || now-s.lastRequestAt > serviceIdleTimeout) {
		return nil
	}
	return report
}

// takeCounts counts requests that have been open for stallTime or longer as stalls,
// then returns the counts of the window and resets them. It returns nil when there
// is nothing to report.
func (o *TargetObservations) takeCounts(target string, now, stallTime time.Duration) *peerpb.TargetCounts {
	for open := o.oldest; open != nil && now-open.startedAt >= stallTime; open = open.next {
		if !open.countedAsStall {
			open.countedAsStall = true
			o.counts.Stalls++
		}
	}
	draining := o.drainWithin(now, drainReportTime)
	c := &o.counts
	if c.Answers == 0 && c.Errors == 0 && c.Stalls == 0 && c.Sheds == 0 && o.inFlight == 0 && !draining {
		return nil
	}
	counts := &peerpb.TargetCounts{
		Target: target, Answers: c.Answers, Errors: c.Errors, Stalls: c.Stalls, Sheds: c.Sheds,
		InFlight: o.inFlight, Draining: draining,
	}
	if o.loadKnown {
		counts.ReportedLoad = c.ReportedLoad
		counts.ReportedAgeMs = uint32((now - o.loadAt).Milliseconds())
	}
	if c.Answers > 0 {
		counts.Latency = append(counts.Latency, o.latency[:]...)
	}
	c.Answers, c.Errors, c.Stalls, c.Sheds = 0, 0, 0, 0
	o.latency = [latencyBuckets]uint32{}
	return counts
}

// latencyBucket returns the histogram bucket of a latency; see latencyBuckets.
func latencyBucket(latency time.Duration) int {
	return min(bits.Len64(uint64(max(latency, 0)/time.Millisecond)), latencyBuckets-1)
}
