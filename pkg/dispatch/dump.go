package dispatch

import "time"

// ServiceDump is the state of one service at its dispatcher.
type ServiceDump struct {
	Targets []TargetDump `json:"targets"`
	Waiting int          `json:"waiting"`
	// Granted, Released, Expired and Refused count since the start of the role.
	Granted  uint64  `json:"granted"`
	Released uint64  `json:"released"`
	Expired  uint64  `json:"expired"`
	Refused  uint64  `json:"refused"`
	HoldMS   float64 `json:"hold_ms"`
}

// TargetDump is the count of one target.
type TargetDump struct {
	Target   string  `json:"target"`
	Slots    int     `json:"slots"`
	Reserved int     `json:"reserved"`
	Foreign  float64 `json:"foreign"`
	Usable   bool    `json:"usable"`
}

// Dump returns the state of the services that this instance dispatches.
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
		HoldMS: milliseconds(l.hold),
	}
	for _, t := range l.targets {
		s.Targets = append(s.Targets, TargetDump{
			Target: t.name, Slots: t.slots, Reserved: t.reserved, Foreign: l.foreign(t), Usable: t.takes(nil),
		})
	}
	return s
}

// BalancerDump is the state of an instance's use of the dispatchers.
type BalancerDump struct {
	// Granted counts the requests that went where a dispatcher said; Told those
	// that the wrapped balancer placed and a dispatcher counts; Late,
	// Paused and Unusable those that the wrapped balancer placed because no
	// answer came in time, because the dispatcher was not asked, and because
	// this instance could not use the target.
	Granted  uint64 `json:"granted"`
	Told     uint64 `json:"told"`
	Late     uint64 `json:"late"`
	Paused   uint64 `json:"paused"`
	Unusable uint64 `json:"unusable"`
	// Full counts waits for a full service, Refused the requests that ended so.
	Full    uint64              `json:"full"`
	Refused uint64              `json:"refused"`
	Paths   map[string]PathDump `json:"paths"`
}

// PathDump is the state of the way to one dispatcher.
type PathDump struct {
	UsualMS  float64 `json:"usual_ms"`
	Failures int     `json:"failures"`
	PauseMS  float64 `json:"pause_ms"`
	Pending  int     `json:"pending"`
}

// Dump returns the counts since the start and the state of all paths by the
// incarnation of the dispatcher.
func (b *Balancer) Dump() BalancerDump {
	now := b.clock.SinceBoot()
	c := &b.counters
	dump := BalancerDump{
		Granted: c.granted.Load(), Told: c.told.Load(), Late: c.late.Load(), Paused: c.paused.Load(), Unusable: c.unusable.Load(),
		Full: c.full.Load(), Refused: c.refused.Load(), Paths: map[string]PathDump{},
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for incarnation, l := range b.lines {
		l.mu.Lock()
		p := PathDump{
			UsualMS: milliseconds(l.path.usual), Failures: l.path.failures,
			PauseMS: milliseconds(max(l.path.pauseUntil-now, 0)),
		}
		for _, ids := range l.pending {
			p.Pending += len(ids)
		}
		l.mu.Unlock()
		dump.Paths[incarnation] = p
	}
	return dump
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
