package placement

import "time"

// Evacuations tells which zones an operator has evacuated. Implementations are immutable sets
// behind an atomic pointer: they are asked for each target that a choice compares.
// *follow.Follower implements it.
type Evacuations interface {
	// Evacuated reports whether the targets of a zone get no requests.
	Evacuated(zone string) bool
}

// evacuatedRetryAfter is the delay after which a caller should retry when all targets that
// might take its request are evacuated. Nothing tells when the operator withdraws the order;
// half of the 2 s that it takes to reach all instances spares both sides useless requests.
const evacuatedRetryAfter = time.Second

// evacuated reports whether the target's zone is evacuated.
func (t *target) evacuated() bool {
	return t.evacuations != nil && t.evacuations.Evacuated(t.entry.Zone)
}

// evacuationChange reports whether the set of evacuated zones has changed for the listed
// targets since their owners were assigned, and returns the targets evacuated since. Those of a
// zone that was restored may be cold.
func (s *service) evacuationChange(now time.Duration) (gone []*target, changed bool) {
	if s.evacuations == nil {
		return nil, false
	}
	for zone, was := range s.evacuatedZones {
		is := s.evacuations.Evacuated(zone)
		changed = changed || is != was
		if was && !is {
			s.suspectZone(zone, now)
		}
		if is && !was {
			for _, t := range s.ordered {
				if t.entry.Zone == zone {
					gone = append(gone, t)
				}
			}
		}
	}
	return gone, changed
}

// leaveOutEvacuated takes the targets of evacuated zones out of those that get owners. They
// have no share of the rates that they name, so that allowances start empty when the order is
// withdrawn; the zones' rates are divided independently of each other.
func (s *service) leaveOutEvacuated(byZone map[string][]*target, now time.Duration) {
	s.evacuatedZones = make(map[string]bool, len(byZone))
	for zone, targets := range byZone {
		out := s.evacuations != nil && s.evacuations.Evacuated(zone)
		s.evacuatedZones[zone] = out
		if !out {
			continue
		}
		delete(byZone, zone)
		for _, t := range targets {
			t.preferred = false
			t.limit.assign(0, false, now)
		}
	}
}

// overloadRetryAfter returns the delay after which a request that has waited in vain should
// be sent again. While zones are evacuated, that is the time in which the other targets work
// off the requests before it: the shortage lasts then, unlike a burst.
func (s *service) overloadRetryAfter(ahead int, now time.Duration) time.Duration {
	slots := 0.0
	short := false
	for _, t := range s.ordered {
		switch o := t.obstacle(maxLoadPerSlot, now); {
		case o == evacuated:
			short = true
		case !o.excludes():
			slots += maxLoadPerSlot * float64(t.entry.Slots)
		}
	}
	if !short || slots == 0 {
		return retryAfter
	}
	wait := time.Duration(float64(ahead+1) / slots * float64(s.typicalLatency))
	return min(max(wait, retryAfter), evacuatedRetryAfter)
}
