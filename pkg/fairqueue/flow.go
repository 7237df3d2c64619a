package fairqueue

// minWeight is the minimum weight of a batch. It keeps the batch's tags finite.
const minWeight = 1e-6

// flow is a batch, with its teams as children, or a team, with its queue. The
// flows of one level are ordered by start-time fair queueing: each admission
// advances the flow's finish tag by 1/weight, and the flow with the lowest start
// tag is admitted first.
type flow struct {
	weight float64
	// finishTag is the finish tag of the flow's latest admission, in the virtual
	// time of its level.
	finishTag float64
	// waiting is the number of queued requests of a batch; it is 0 for a team.
	waiting int
	// queue holds the waiting requests of a team in order of arrival.
	queue []*waiter
	// virtualTime and children are used for batches: the virtual time of the
	// batch's teams, and the teams by name.
	virtualTime float64
	children    map[string]*flow
}

// pruneAbove is the number of flows in one level from which adding a flow first
// removes the idle ones: those without waiting requests whose finish tag is not
// ahead of the virtual time.
const pruneAbove = 64

// child returns the flow of that name, creating it if necessary, and sets its
// weight, which may have changed.
func child(flows map[string]*flow, name string, weight, virtualTime float64) *flow {
	f := flows[name]
	if f == nil {
		if len(flows) >= pruneAbove {
			for other, idle := range flows {
				if !idle.hasWaiting() && idle.finishTag <= virtualTime {
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

// startTag is the start tag of the flow's next request. A flow that was idle starts
// at the current virtual time, so idle time earns no credit.
func (f *flow) startTag(virtualTime float64) float64 { return max(f.finishTag, virtualTime) }

// charge accounts for one admission and returns its start tag.
func (f *flow) charge(virtualTime float64) float64 {
	startTag := f.startTag(virtualTime)
	f.finishTag = startTag + 1/f.weight
	return startTag
}

func (f *flow) hasWaiting() bool { return f.waiting > 0 || len(f.queue) > 0 }

// earliest returns the flow with the lowest start tag among those with waiting
// requests. Flows with equal tags are ordered by name, so that tests are
// deterministic.
func earliest(flows map[string]*flow, virtualTime float64) *flow {
	var best *flow
	var bestName string
	for name, f := range flows {
		if !f.hasWaiting() {
			continue
		}
		tag := f.startTag(virtualTime)
		if best == nil || tag < best.startTag(virtualTime) || tag == best.startTag(virtualTime) && name < bestName {
			best, bestName = f, name
		}
	}
	return best
}

// waiter is one queued request.
type waiter struct {
	batch, team *flow
	// admitted is closed when the request is admitted, refused when it is evicted.
	admitted, refused chan struct{}
	// removed is set when the waiter was taken out of its queue without admission.
	removed bool
}
