package fairqueue

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

const (
	// shrinkFactor and shrinkPause: one burst of shed responses is one signal,
	// so that a burst does not take the limit to its minimum.
	shrinkFactor = 0.8
	shrinkPause  = 100 * time.Millisecond
	// timelyFactor times the usual latency separates timely answers from those
	// that waited inside the targets.
	timelyFactor = 3
	// latencyWeight is the weight of one answer in the usual latency.
	latencyWeight = 0.02
	// growthBound times the service's slots bounds the limit. Targets queue a
	// little themselves, and the same slots serve all instances.
	growthBound = 4
	// Bounds of the advice in a refusal.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// service is the queue in front of one service.
type service struct {
	mu       sync.Mutex
	limit    float64
	minLimit float64
	maxLimit float64
	running  int
	waiting  int
	// usual is the smoothed latency of answers in seconds.
	usual      float64
	lastShrink time.Duration
	// virtual is the start tag of the request admitted last.
	virtual float64
	batches map[string]*flow
	// leavePlace is the method leave; it avoids one allocation per request for the method value.
	leavePlace func()
}

func newService(minLimit, slots float64) *service {
	s := &service{
		limit: max(minLimit, slots), minLimit: minLimit, maxLimit: max(minLimit, growthBound*slots),
		lastShrink: -shrinkPause, batches: map[string]*flow{},
	}
	s.leavePlace = s.leave
	return s
}

// enter admits a request, queues it, or does neither when the queue is full of
// requests with a better claim. It returns a waiter that lost its place.
func (s *service) enter(batch string, share float64, team string, maxWaiting int) (w, evicted *waiter, admitted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A share of zero is not valid in a configuration; a batch that has just
	// been removed gets the least weight.
	b := child(s.batches, batch, max(share, minWeight), s.virtual)
	t := child(b.children, team, 1, b.virtual)
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

// charge accounts one admission to a batch and a team.
func (s *service) charge(b, t *flow) {
	s.virtual = b.charge(s.virtual)
	b.virtual = t.charge(b.virtual)
}

// evict removes the newest request of the team that has the longest queue for
// its weight, unless that is the team that asks.
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

// detach takes a waiter out of its queue and tells whether it was there.
func (s *service) detach(w *waiter) bool {
	for i, other := range w.team.queue {
		if other == w {
			w.team.queue = append(w.team.queue[:i], w.team.queue[i+1:]...)
			w.batch.waiting--
			s.waiting--
			w.gone = true
			return true
		}
	}
	return false
}

// remove ends the wait of w. It returns false if w had been admitted.
func (s *service) remove(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detach(w) || w.gone
}

// leave frees a place.
func (s *service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.admitWaiting()
}

// admitWaiting fills the free places in the order of the start tags.
func (s *service) admitWaiting() {
	for s.waiting > 0 && float64(s.running) < s.limit {
		b := earliest(s.batches, s.virtual)
		t := earliest(b.children, b.virtual)
		w := t.queue[0]
		s.detach(w)
		w.gone = false
		s.running++
		s.charge(b, t)
		close(w.admitted)
	}
}

// report moves the limit: one up per limit's worth of timely answers while the
// limit is in use, and down by a fifth on a shed answer or a timeout.
func (s *service) report(result proxy.Result, latency, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result {
	case proxy.Answered:
		seconds := latency.Seconds()
		timely := s.usual == 0 || seconds <= timelyFactor*s.usual
		if s.usual == 0 {
			s.usual = seconds
		}
		s.usual += latencyWeight * (seconds - s.usual)
		if timely && float64(s.running)+1 > s.limit {
			s.limit = min(s.maxLimit, s.limit+1/s.limit)
			s.admitWaiting()
		}
	case proxy.Shed, proxy.TimedOut:
		if now-s.lastShrink >= shrinkPause {
			s.lastShrink = now
			s.limit = max(s.minLimit, s.limit*shrinkFactor)
		}
	default:
		// Other results say nothing about load.
	}
}

// usualLatency is the smoothed latency of answers, or 0 before the first one.
func (s *service) usualLatency() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.usual * float64(time.Second))
}

// retryAfter estimates when the waiting requests will have been served.
func (s *service) retryAfter() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	seconds := s.usual * float64(s.waiting+1) / s.limit
	return min(max(time.Duration(seconds*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

func (s *service) state() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{Limit: s.limit, Running: s.running, Waiting: s.waiting}
}
