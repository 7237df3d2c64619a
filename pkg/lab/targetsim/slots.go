package targetsim

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

// ShedError reports that all slots are in use and the queue is full. Queued is
// the number of waiting requests.
type ShedError struct{ Queued int }

// Error states the reason.
func (e *ShedError) Error() string { return "targetsim: the queue is full" }

// slots is a semaphore with a bounded first-in first-out queue of waiters.
type slots struct {
	capacity  int
	maxQueued int
	// onChange is called with the lock held after each change.
	onChange func(inFlight, queued int)

	mu       sync.Mutex
	inFlight int
	// queue holds one channel per waiter, which is closed when it gets a slot.
	queue []chan struct{}
}

// acquire takes a slot or waits for one in the queue. It fails with *ShedError
// when the queue is full, or with the error of ctx.
func (s *slots) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return errors.WithStack(err)
	}
	s.mu.Lock()
	if s.inFlight < s.capacity {
		s.inFlight++
		s.onChange(s.inFlight, len(s.queue))
		s.mu.Unlock()
		return nil
	}
	if len(s.queue) >= s.maxQueued {
		queued := len(s.queue)
		s.mu.Unlock()
		return errors.WithStack(&ShedError{Queued: queued})
	}
	granted := make(chan struct{})
	s.queue = append(s.queue, granted)
	s.onChange(s.inFlight, len(s.queue))
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.abandonWait(granted, ctx.Err())
	}
}

// abandonWait removes a waiter from the queue, or releases its slot if it was
// granted one in the meantime.
func (s *slots) abandonWait(granted chan struct{}, cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.queue, granted); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
		s.onChange(s.inFlight, len(s.queue))
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

// releaseLocked gives the slot to the first waiter, or frees it. The caller holds
// the lock.
func (s *slots) releaseLocked() {
	if len(s.queue) > 0 {
		close(s.queue[0])
		s.queue = slices.Delete(s.queue, 0, 1)
	} else {
		s.inFlight--
	}
	s.onChange(s.inFlight, len(s.queue))
}

func (s *slots) counts() (inFlight, queued int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight, len(s.queue)
}
