package upstreamsim

import (
	"slices"
	"time"
)

// coldSpan is a time in which the target is cold.
type coldSpan struct {
	from, to time.Time
	arrivals []time.Time
}

// SetCold makes the target cold for a time from now on, as its next entries say. It goes on
// running requests: checks find out how many came.
func (s *Server) SetCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.cold = append(s.cold, coldSpan{from: now, to: now.Add(d)})
}

// warmupLeft returns how much longer the target is cold. The caller holds mu.
func (s *Server) warmupLeft() time.Duration {
	if len(s.cold) == 0 {
		return 0
	}
	return max(0, time.Until(s.cold[len(s.cold)-1].to)).Round(time.Millisecond)
}

// countCold counts a request that arrives while the target is cold. The caller holds mu.
func (s *Server) countCold(now time.Time) {
	for i := range s.cold {
		if c := &s.cold[i]; now.Before(c.to) {
			c.arrivals = append(c.arrivals, now)
		}
	}
}

// MostWhileCold returns the largest number of requests that arrived within a second while the
// target was cold, leaving out what came earlier than settled after it became so.
func (s *Server) MostWhileCold(settled time.Duration) (most int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.cold {
		first := slices.IndexFunc(c.arrivals, func(at time.Time) bool { return at.Sub(c.from) >= settled })
		for i := max(first, 0); first >= 0 && i < len(c.arrivals); i++ {
			for c.arrivals[i].Sub(c.arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}
