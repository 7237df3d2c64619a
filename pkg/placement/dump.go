package placement

// TargetState is the state of one target at this instance, for operators.
type TargetState struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	// Preferred says that the target is assigned to this instance.
	Preferred bool `json:"home"`
	Draining  bool `json:"draining"`
	// Open is the number of this instance's requests at the target.
	Open int `json:"open"`
	// Load is the number of requests at the target, by this instance and others.
	Load float64 `json:"load"`
	// Failing is the probability that the target fails a large fraction of its
	// requests, from this instance's results, and PeerFailing that from the reports of
	// other instances.
	Failing     float64 `json:"failing"`
	PeerFailing float64 `json:"peer_failing"`
	// Slowdown is the factor by which the target is slower than its peers.
	Slowdown float64 `json:"pace"`
	// Limit is the request rate in 1/s that the target accepts from all instances
	// together; it is absent if the target accepts any rate.
	Limit *float64 `json:"limit_per_second,omitempty"`
	// ColdMS is how long the target counts as cold from now on, in ms; -1 while it is not
	// reached, 0 if this instance cannot know whether it is cold. ColdRate is this instance's part, in 1/s, of the rate for cold targets. Both
	// are absent if the target is warm.
	ColdMS   *int64   `json:"cold_ms,omitempty"`
	ColdRate *float64 `json:"cold_per_second,omitempty"`
	// BlockedMS is how long the target gets no requests from now on, in ms, because it was
	// not reached; PausedMS how long because it has asked for a pause.
	BlockedMS int64 `json:"blocked_ms"`
	PausedMS  int64 `json:"paused_ms"`
	// Leaving says that the target has announced that it leaves.
	Leaving bool `json:"leaving"`
	// Obstacle is what keeps this instance from sending the target a request now; absent if
	// nothing does.
	Obstacle string `json:"obstacle,omitempty"`
}

// Dump returns the state of all targets of the services that have had requests.
func (b *Balancer) Dump() []TargetState {
	now := b.clock.SinceBoot()
	var states []TargetState
	for _, s := range b.allServices() {
		s.mu.Lock()
		for _, t := range s.ordered {
			t.failProb(now)
			state := TargetState{
				Service: s.name, Target: t.entry.ID, Preferred: t.preferred, Draining: t.entry.Draining, Open: len(t.openStarts),
				Load: t.load(now), Failing: t.own.failProb, PeerFailing: t.peer.failProb, Slowdown: t.slowdown(now),
				BlockedMS: max(0, t.blockedUntil-now).Milliseconds(), PausedMS: max(0, t.pausedUntil-now).Milliseconds(),
				Leaving: t.leaving.announced, Obstacle: t.obstacle(maxLoadPerSlot, now).String(),
			}
			if t.limit.limited {
				perSecond := t.limit.perSecond
				state.Limit = &perSecond
			}
			if t.cold.limited(now) {
				left, part := max(0, t.cold.until-now).Milliseconds(), t.cold.rate(now)
				if t.cold.unreachable {
					left = -1
				}
				state.ColdMS, state.ColdRate = &left, &part
			}
			states = append(states, state)
		}
		s.mu.Unlock()
	}
	return states
}

// Obstacles returns the number of targets by what keeps this instance from sending them
// requests now; each obstacle has an entry.
func (b *Balancer) Obstacles() map[string]int {
	counts := map[string]int{}
	for o := noObstacle + 1; o <= full; o++ {
		counts[o.String()] = 0
	}
	now := b.clock.SinceBoot()
	for _, s := range b.allServices() {
		s.mu.Lock()
		for _, t := range s.ordered {
			if o := t.obstacle(maxLoadPerSlot, now); o != noObstacle {
				counts[o.String()]++
			}
		}
		s.mu.Unlock()
	}
	return counts
}

// ColdTargets returns the number of targets that this instance sends a limited rate because they
// count as cold, and because it cannot know whether they are.
func (b *Balancer) ColdTargets() (cold, unsure int) {
	now := b.clock.SinceBoot()
	for _, s := range b.allServices() {
		s.mu.Lock()
		for _, t := range s.ordered {
			switch {
			case t.cold.cold(now):
				cold++
			case t.cold.limited(now):
				unsure++
			}
		}
		s.mu.Unlock()
	}
	return cold, unsure
}
