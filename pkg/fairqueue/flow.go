package fairqueue

// minWeight keeps the virtual time of a flow finite.
const minWeight = 1e-6

// flow is a batch, with its teams as children, or a team, with its queue.
// Start-time fair queueing orders the flows of one level: each admission moves
// the flow's finish tag on by 1/weight, and the earliest start tag goes first.
type flow struct {
	weight float64
	// finish is the finish tag of the flow's last admission in its parent's virtual time.
	finish float64
	// waiting counts the queued requests of a batch.
	waiting int
	queue   []*waiter
	// virtual and children are set in batches.
	virtual  float64
	children map[string]*flow
}

// pruneAbove is the number of flows above which a new one first removes those
// that are idle and have no claim left.
const pruneAbove = 64

// child returns the flow of that name with a weight, which may have changed.
func child(flows map[string]*flow, name string, weight, virtual float64) *flow {
	f := flows[name]
	if f == nil {
		if len(flows) >= pruneAbove {
			for other, idle := range flows {
				if !idle.hasWaiting() && idle.finish <= virtual {
					delete(flows, other)
				}
			}
		}
		f = &flow{children: map[string]*flow{}}
		flows[name] = f
	}
	f.weight = weight
	return f
}

// start is the start tag of the flow's next request. A flow that was idle
// starts at the current virtual time and saves up nothing.
func (f *flow) start(virtual float64) float64 { return max(f.finish, virtual) }

// charge accounts one admission and returns its start tag.
func (f *flow) charge(virtual float64) float64 {
	start := f.start(virtual)
	f.finish = start + 1/f.weight
	return start
}

func (f *flow) hasWaiting() bool { return f.waiting > 0 || len(f.queue) > 0 }

// earliest returns the waiting flow with the lowest start tag. Equal tags are
// decided by name, which keeps tests deterministic.
func earliest(flows map[string]*flow, virtual float64) *flow {
	var best *flow
	var bestName string
	for name, f := range flows {
		if !f.hasWaiting() {
			continue
		}
		tag := f.start(virtual)
		if best == nil || tag < best.start(virtual) || tag == best.start(virtual) && name < bestName {
			best, bestName = f, name
		}
	}
	return best
}

// waiter is one queued request.
type waiter struct {
	batch, team *flow
	// admitted or refused is closed at the end of the wait.
	admitted, refused chan struct{}
	// gone is set when the waiter was removed without a place.
	gone bool
}
