// Package fairqueue limits the concurrent requests of an instance to each service
// and queues the others. It admits batches in proportion to their shares, and the
// teams of a batch equally. The concurrency limit of a service adapts to the
// results of its requests.
package fairqueue

import (
	"context"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Options are the limits of a Queue. A zero field takes its default.
type Options struct {
	// MinLimit is the lower bound of each service's concurrency limit; default 1.
	MinLimit float64
	// MaxWaiting is the maximum number of waiting requests per service; default 256.
	MaxWaiting int
	// MaxWait is the maximum wait of one request; default 1 s. The wait ends
	// earlier if the request's deadline leaves no time for an answer.
	MaxWait time.Duration
}

func (o Options) withDefaults() Options {
	if o.MinLimit == 0 {
		o.MinLimit = 1
	}
	if o.MaxWaiting == 0 {
		o.MaxWaiting = 256
	}
	if o.MaxWait == 0 {
		o.MaxWait = time.Second
	}
	return o
}

// Queue limits and orders the requests to all services. It implements proxy.Queue
// and proxy.Reporter and is safe for concurrent use.
type Queue struct {
	viewer  control.Viewer
	clock   clock.Clock
	options Options

	mu       sync.RWMutex
	services map[string]*service
}

var (
	_ proxy.Queue    = (*Queue)(nil)
	_ proxy.Reporter = (*Queue)(nil)
)

// New returns an empty queue. Shares and slots come from the viewer's configuration.
func New(viewer control.Viewer, c clock.Clock, options Options) *Queue {
	return &Queue{viewer: viewer, clock: c, options: options.withDefaults(), services: map[string]*service{}}
}

// Enter waits until the request is admitted to its service and returns the function
// that ends the request. Without contention it takes one lock and does not wait.
// Errors are *refusal.Refusal (overloaded).
func (q *Queue) Enter(ctx context.Context, r proxy.Request) (func(), error) {
	s := q.service(r.Service)
	share := q.viewer.View().Config.Config.Batches[r.Batch].Share
	w, evicted, admitted := s.enter(r.Batch, share, r.Team, q.options.MaxWaiting)
	if evicted != nil {
		close(evicted.refused)
	}
	if admitted {
		return s.leaveFunc, nil
	}
	if w == nil {
		return nil, refusal.WithRetryAfter(refusal.Overloaded, s.retryAfter())
	}
	// A request that is sent later than this is unlikely to be answered before its
	// deadline and would only use a slot in vain.
	latest := r.Deadline - s.typicalLatency()
	timer := time.NewTimer(max(0, min(q.options.MaxWait, latest-q.clock.SinceBoot())))
	defer timer.Stop()
	select {
	case <-w.admitted:
		return s.leaveFunc, nil
	case <-w.refused:
	case <-timer.C:
	case <-ctx.Done():
	}
	if !s.remove(w) {
		// The request was admitted at the same moment; leave, so that the next
		// one is admitted.
		s.leave()
	}
	return nil, refusal.WithRetryAfter(refusal.Overloaded, s.retryAfter())
}

// Report adapts the concurrency limit of the service to the result of one attempt.
func (q *Queue) Report(name string, result proxy.Result, latency time.Duration) {
	q.service(name).report(result, latency, q.clock.SinceBoot())
}

// State is the state of one service, for dumps.
type State struct {
	Limit   float64 `json:"limit"`
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
}

// Dump returns the state of all services by name.
func (q *Queue) Dump() map[string]State {
	q.mu.RLock()
	defer q.mu.RUnlock()
	states := make(map[string]State, len(q.services))
	for name, s := range q.services {
		states[name] = s.state()
	}
	return states
}

// service returns the queue of the service; it creates it if necessary.
func (q *Queue) service(name string) *service {
	q.mu.RLock()
	s := q.services[name]
	q.mu.RUnlock()
	if s != nil {
		return s
	}
	slots := q.slots(name)
	q.mu.Lock()
	defer q.mu.Unlock()
	if s = q.services[name]; s == nil {
		s = newService(q.options.MinLimit, slots)
		q.services[name] = s
	}
	return s
}

// slots is the number of requests that the service's targets can run at once, at
// least 1. The limit starts there, because this instance may be the only one that
// uses the service.
func (q *Queue) slots(name string) float64 {
	total := 0
	for _, target := range q.viewer.View().Config.Config.Services[name].Targets {
		if !target.Leaving {
			total += target.Slots
		}
	}
	return float64(max(total, 1))
}
