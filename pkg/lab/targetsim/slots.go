package targetsim

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ShedError says that all slots are in use and the queue is full.
type ShedError struct{ Queued int }

// Error states the reason.
func (e *ShedError) Error() string { return "targetsim: the queue is full" }

// slots is a semaphore with a bounded first-in first-out queue.
type slots struct {
	capacity int
	queueMax int
	// changed is called with the lock held after each change.
	changed func(inFlight, queued int)

	mu       sync.Mutex
	inFlight int
	queue    []chan struct{}
}

// acquire takes a slot, waits in the queue, or fails with *ShedError or with
// the error of ctx.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.WithStack(err)
	}
	s.mu.Lock()
	if s.inFlight < s.capacity {
		s.inFlight++
		s.changed(s.inFlight, len(s.queue))
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.queueMax {
		queued := len(s.queue)
		s.mu.Unlock()
		return errors.WithStack(&ShedError{Queued: queued})
	}
	turn := make(chan struct{})
	s.queue = append(s.queue, turn)
	s.changed(s.inFlight, len(s.queue))
	s.mu.Unlock()
	select {
	case <-turn:
		return nil
	case <-ctx.Done():
		return s.leave(turn, ctx.Err())
	}
}

// leave removes a waiter from the queue. If it got a slot meanwhile, the slot
// is passed on.
func (s *slots) leave(turn chan struct{}, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, turn); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.changed(s.inFlight, len(s.queue))
	} else {
		s.releaseLocked()
	}
	return errors.WithStack(cause)
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocked()
}

func (s *slots) releaseLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
	} else {
		s.inFlight--
	}
	s.changed(s.inFlight, len(s.queue))
}

func (s *slots) counts() (inFlight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, len(s.queue)
}
