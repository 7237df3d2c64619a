// Package eventsim runs events in simulated time, in one goroutine and in a
// deterministic order.
package eventsim

import (
	"container/heap"
	"context"
	"time"
)

// Engine runs events in order of time; events of the same time run in the order
// in which they were scheduled. It implements clock.Clock for the simulated code.
type Engine struct {
	// now is the simulated time since the start.
	now    time.Duration
	events eventHeap
	// sequence is the sequence number of the event scheduled last.
	sequence uint64
}

// timedEvent is a scheduled event.
type timedEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the simulated wall time, which starts at an arbitrary fixed date.
func (e *Engine) Now() time.Time { return time.Unix(0, 0).Add(e.now) }

// SinceBoot returns the simulated time since the start.
func (e *Engine) SinceBoot() time.Duration { return e.now }

// Sleep returns at once: the simulation schedules the iterations of periodic loops
// itself instead of running the loops.
func (e *Engine) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// After schedules the function to run once, d from now.
func (e *Engine) After(d time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.events, timedEvent{at: e.now + d, sequence: e.sequence, run: run})
}

// Every schedules the function to run at each interval, first after the phase.
func (e *Engine) Every(phase, interval time.Duration, run func()) {
	e.After(phase, func() {
		run()
		e.Every(interval, interval, run)
	})
}

// RunUntil runs all events up to and including the time end, then sets the time
// to end.
func (e *Engine) RunUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(timedEvent)
		e.now = next.at
		next.run()
	}
	e.now = end
}

// eventHeap is a heap of events with the next one at the top.
type eventHeap []timedEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(timedEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = timedEvent{}
	*h = (*h)[:last]
	return x
}
