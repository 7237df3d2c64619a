package dispatch

import "time"

// ServiceDump is the state of one service at its dispatcher, for dumps.
type ServiceDump struct {
	Targets []TargetDump `json:"targets"`
	Waiting int          `json:"waiting"`
	// Granted, Released, Expired and Refused count reservations and refusals since
	// the creation of the ledger.
	Granted       uint64  `json:"granted"`
	Released      uint64  `json:"released"`
	Expired       uint64  `json:"expired"`
	Refused       uint64  `json:"refused"`
	TypicalHoldMS float64 `json:"hold_ms"`
}

// TargetDump is the state of one target at the dispatcher. Untracked is the
// expected number of requests from before the ledger's creation.
type TargetDump struct {
	Target    string  `json:"target"`
	Slots     int     `json:"slots"`
	Reserved  int     `json:"reserved"`
	Untracked float64 `json:"foreign"`
	Usable    bool    `json:"usable"`
}

// Dump returns the state of the services whose dispatcher this instance is.
func (d *Dispatcher) Dump() map[string]ServiceDump {
	d.mu.RLock()
	defer d.mu.RUnlock()
	dump := make(map[string]ServiceDump, len(d.ledgers))
	for name, l := range d.ledgers {
		dump[name] = l.dump()
	}
	return dump
}

func (l *ledger) dump() ServiceDump {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := ServiceDump{
		Waiting: len(l.waiting), Granted: l.granted, Released: l.released, Expired: l.expired, Refused: l.refused,
		TypicalHoldMS: milliseconds(l.typicalHold),
	}
	for _, t := range l.targets {
		s.Targets = append(s.Targets, TargetDump{
			Target: t.name, Slots: t.slots, Reserved: t.reserved, Untracked: l.untrackedLoad(t), Usable: t.usable(nil),
		})
	}
	return s
}

// BalancerDump is the state of an instance's use of the dispatchers.
type BalancerDump struct {
	// Granted counts the requests sent to the target that a dispatcher assigned;
	// Reported those whose target the wrapped balancer chose and that were
	// reported to a dispatcher; Late, Paused and Unusable those whose target the
	// wrapped balancer chose because no answer came in time, because calls to the
	// dispatcher were paused, and because this instance could not use the target.
	Granted  uint64 `json:"granted"`
	Reported uint64 `json:"told"`
	Late     uint64 `json:"late"`
	Paused   uint64 `json:"paused"`
	Unusable uint64 `json:"unusable"`
	// Full counts the waits because all targets were full, Refused the requests
	// that were refused for that reason.
	Full        uint64                    `json:"full"`
	Refused     uint64                    `json:"refused"`
	Dispatchers map[string]DispatcherDump `json:"paths"`
}

// DispatcherDump is the state of the calls to one dispatcher. Failures counts
// consecutive late or missing answers, Pending the releases still to be sent.
type DispatcherDump struct {
	TypicalRoundTripMS float64 `json:"usual_ms"`
	Failures           int     `json:"failures"`
	PauseMS            float64 `json:"pause_ms"`
	Pending            int     `json:"pending"`
}

// Dump returns the counters since the start and the state of the calls by the
// incarnation of the dispatcher.
func (b *Balancer) Dump() BalancerDump {
	now := b.clock.SinceBoot()
	c := &b.counters
	dump := BalancerDump{
		Granted: c.granted.Load(), Reported: c.reported.Load(), Late: c.late.Load(), Paused: c.paused.Load(), Unusable: c.unusable.Load(),
		Full: c.full.Load(), Refused: c.refused.Load(), Dispatchers: map[string]DispatcherDump{},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, l := range b.clients {
		l.mu.Lock()
		p := DispatcherDump{
			TypicalRoundTripMS: milliseconds(l.breaker.typicalRoundTrip), Failures: l.breaker.failures,
			PauseMS: milliseconds(max(l.breaker.pauseUntil-now, 0)),
		}
		for _, ids := range l.pending {
			p.Pending += len(ids)
		}
		l.mu.Unlock()
		dump.Dispatchers[incarnation] = p
	}
	return dump
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
