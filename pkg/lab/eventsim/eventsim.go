// Package eventsim runs events in simulated time, in one goroutine and in a
// fixed order. Its Engine is the clock of everything that it runs.
package eventsim

import (
	"container/heap"
	"context"
	"time"
)

// Engine runs events in order of time; events of equal time run in order of
// their scheduling. It is the clock of everything that it runs.
type Engine struct {
	now      time.Duration
	events   eventHeap
	sequence uint64
}

type timedEvent struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// Now returns the wall time, which starts at an arbitrary fixed date.
func (e *Engine) Now() time.Time { return time.Unix(0, 0).Add(e.now) }

// SinceBoot returns the simulated time.
func (e *Engine) SinceBoot() time.Duration { return e.now }

// Sleep never waits: the simulation calls the steps of the loops itself.
func (e *Engine) Sleep(ctx context.Context, _ time.Duration) error { return ctx.Err() }

// After runs the function once, d from now.
func (e *Engine) After(d time.Duration, run func()) {
	e.sequence++
	heap.Push(&e.events, timedEvent{at: e.now + d, sequence: e.sequence, run: run})
}

// Every runs the function repeatedly, first after the phase.
func (e *Engine) Every(phase, interval time.Duration, run func()) {
	e.After(phase, func() {
		run()
		e.Every(interval, interval, run)
	})
}

// RunUntil runs all events up to the time end.
func (e *Engine) RunUntil(end time.Duration) {
	for len(e.events) > 0 && e.events[0].at <= end {
		next := heap.Pop(&e.events).(timedEvent)
		e.now = next.at
		next.run()
	}
	e.now = end
}

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
