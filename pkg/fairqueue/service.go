package fairqueue

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// shrinkFactor is the factor by which the limit decreases on a sign of overload,
	// at most once per minShrinkInterval: one burst of shed responses counts as one
	// sign, so that it does not reduce the limit to its minimum.
	shrinkFactor      = 0.8
	minShrinkInterval = 100 * time.Millisecond
	// timelyFactor is the ratio to the typical latency up to which an answer counts
	// as timely. Slower answers probably queued inside the target.
	timelyFactor = 3
	// latencySmoothing is the weight of one answer in the moving average of the latency.
	latencySmoothing = 0.02
	// maxLimitPerSlot times the service's slots is the maximum limit. Targets queue
	// a few requests themselves, and the same slots serve all instances.
	maxLimitPerSlot = 4
	// Bounds of the retry-after time in a refusal.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the concurrency limit and the queue of one service.
type service struct {
	mu       sync.Mutex
	limit    float64
	minLimit float64
	maxLimit float64
	running  int
	waiting  int
	// typicalSeconds is the typical latency: the moving average over the answers, in
	// seconds; 0 before the first one.
	typicalSeconds float64
	lastShrink     time.Duration
	// virtualTime is the start tag of the latest admission among the batches.
	virtualTime float64
	batches     map[string]*flow
	// leaveFunc is the method value of leave. It is stored because creating it would
	// cost one allocation per request.
	leaveFunc func()
}

func newService(minLimit, slots float64) *service {
	s := &service{
		limit: max(minLimit, slots), minLimit: minLimit, maxLimit: max(minLimit, maxLimitPerSlot*slots),
		lastShrink: -minShrinkInterval, batches: map[string]*flow{},
	}
	s.leaveFunc = s.leave
	return s
}

// enter admits a request or queues it. It does neither if the queue is full and the
// request's own team is the one from which evict would remove a request. It returns
// the new waiter and the one that was evicted to make room for it.
func (s *service) enter(batch string, share float64, team string, maxWaiting int) (w, evicted *waiter, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A configured share is above 0. The share is 0 for a batch that has just been
	// removed from the configuration; it gets the minimum weight.
	b := child(s.batches, batch, max(share, minWeight), s.virtualTime)
	t := child(b.children, team, 1, b.virtualTime)
	if s.waiting == 0 && float64(s.running) < s.limit {
		s.running++
		s.charge(b, t)
		return nil, nil, true
	}
	if s.waiting >= maxWaiting {
		evicted = s.evict(t)
		if evicted == nil {
			return nil, nil, false
		}
	}
	w = &waiter{batch: b, team: t, admitted: make(chan struct{}), refused: make(chan struct{})}
	t.queue = append(t.queue, w)
	b.waiting++
	s.waiting++
	return w, evicted, false
}

// charge accounts for one admission of the batch and the team.
func (s *service) charge(b, t *flow) {
	s.virtualTime = b.charge(s.virtualTime)
	b.virtualTime = t.charge(b.virtualTime)
}

// evict removes and returns the newest request of the team with the longest queue
// in the batch that has the most waiting requests relative to its weight. It
// returns nil if that is the asking team.
func (s *service) evict(asking *flow) *waiter {
	var batch, team *flow
	for _, b := range s.batches {
		if b.waiting > 0 && (batch == nil || float64(b.waiting)/b.weight > float64(batch.waiting)/batch.weight) {
			batch = b
		}
	}
	if batch == nil {
		return nil
	}
	for _, t := range batch.children {
		if len(t.queue) > 0 && (team == nil || len(t.queue) > len(team.queue)) {
			team = t
		}
	}
	if team == asking {
		return nil
	}
	w := team.queue[len(team.queue)-1]
	s.detach(w)
	return w
}

// detach takes a waiter out of its queue and reports whether it was there.
func (s *service) detach(w *waiter) bool {
	for i, other := range w.team.queue {
		if other == w {
			w.team.queue = append(w.team.queue[:i], w.team.queue[i+1:]...)
			w.batch.waiting--
			s.waiting--
			w.removed = true
			return true
		}
	}
	return false
}

// remove ends the wait of w. It returns false if w has been admitted.
func (s *service) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detach(w) || w.removed
}

// leave ends an admitted request and admits waiting ones.
func (s *service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitWaiting()
}

// admitWaiting admits waiting requests up to the limit, in the order of the start
// tags.
func (s *service) admitWaiting() {
	for s.waiting > 0 && float64(s.running) < s.limit {
		b := earliest(s.batches, s.virtualTime)
		t := earliest(b.children, b.virtualTime)
		w := t.queue[0]
		s.detach(w)
		w.removed = false
		s.running++
		s.charge(b, t)
		close(w.admitted)
	}
}

// report adapts the limit. While the limit is fully used, each timely answer raises
// it by 1/limit, so by one for each limit's worth of answers. A shed response or a
// timeout lowers it by a fifth, at most once per minShrinkInterval.
func (s *service) report(result proxy.Result, latency, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case proxy.Answered:
		seconds := latency.Seconds()
		timely := s.typicalSeconds == 0 || seconds <= timelyFactor*s.typicalSeconds
		if s.typicalSeconds == 0 {
			s.typicalSeconds = seconds
		}
		s.typicalSeconds += latencySmoothing * (seconds - s.typicalSeconds)
		if timely && float64(s.running)+1 > s.limit {
			s.limit = min(s.maxLimit, s.limit+1/s.limit)
			s.admitWaiting()
		}
	case proxy.Shed, proxy.TimedOut:
		if now-s.lastShrink >= minShrinkInterval {
			s.lastShrink = now
			s.limit = max(s.minLimit, s.limit*shrinkFactor)
		}
	default:
		// Other results are no signs of load.
	}
}

// typicalLatency is the moving average of the latency of answers, or 0 before the
// first one.
func (s *service) typicalLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.typicalSeconds * float64(time.Second))
}

// retryAfter estimates the time until the waiting requests are served.
func (s *service) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := s.typicalSeconds * float64(s.waiting+1) / s.limit
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

func (s *service) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Limit: s.limit, Running: s.running, Waiting: s.waiting}
}
