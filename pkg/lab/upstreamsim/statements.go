package upstreamsim

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Headers in which a target says what it wants.
const (
	// RateLimitHeader names the requests per second that the target accepts.
	RateLimitHeader = "Server-Limit"
	// LeavingHeader says that the target leaves.
	LeavingHeader = "Server-Leaving"
	// RetryAfterHeader in a refusal names the seconds for which the target wants nothing from
	// the instance.
	RetryAfterHeader = "Retry-After"
)

// InstanceHeader and SentHeader are added by callers of this repository: the instance that
// was asked, and the Unix time in ms. Instances pass them on.
const (
	InstanceHeader = "Lab-Instance"
	SentHeader     = "Lab-Sent-Ms"
)

const (
	// pauseSettled is the time after a refusal from which its pause holds, maxDuringPause the
	// number of requests that may come in it.
	pauseSettled   = 500 * time.Millisecond
	maxDuringPause = 2
	// leavingSettled is the time after an answer with LeavingHeader was passed on from which no
	// request may be sent by a caller that reaches the target.
	leavingSettled = 2 * time.Second
)

// statements are what a target says in its responses, and who was told so.
type statements struct {
	// rateLimit in requests per second is named in all responses unless it is 0.
	rateLimit float64
	leaving   bool
	// turnAway is the number of requests to refuse with a pause; negative means all.
	turnAway int
	pause    time.Duration
	// told holds what each instance was told, by InstanceHeader.
	told map[string]*told
	// afterLeaving are the requests that came though their instance knew of the leaving.
	afterLeaving []Arrival
}

// told is what an instance was told.
type told struct {
	// leavingAt is when it passed on that the target leaves.
	leavingAt time.Time
	pauses    []toldPause
}

// toldPause is a pause that a refusal asked for, and the requests that came in it.
type toldPause struct {
	at       time.Time
	length   time.Duration
	arrivals []Arrival
}

// Arrival is a request that came in spite of what its instance was told.
type Arrival struct {
	Instance, RequestID string
	// Told is when the instance was told, Sent when the caller sent the request, At when it
	// came.
	Told, Sent, At time.Time
}

// SetRateLimit makes the target name a rate in requests per second, or none with 0. It
// accepts more: checks find out who sends it.
func (s *Server) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says.rateLimit = perSecond
}

// SetLeaving makes the target say in all responses that it leaves, or no longer.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says.leaving = leaving
}

// TurnAway makes the target refuse the next n requests, all if n is negative, and ask for a
// pause with each refusal.
func (s *Server) TurnAway(n int, pause time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.says.turnAway, s.says.pause = n, pause
}

// PassedOn records that an instance has passed on that the target leaves.
func (s *Server) PassedOn(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.toldTo(instance); t.leavingAt.IsZero() {
		t.leavingAt = time.Now()
	}
}

// Ignored describes what instances were told and did not heed. Arrivals for which excused
// returns true do not count; nil excuses none.
func (s *Server) Ignored(excused func(Arrival) bool) (lines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counted := func(arrivals []Arrival) []Arrival {
		return slices.DeleteFunc(slices.Clone(arrivals), func(a Arrival) bool { return excused != nil && excused(a) })
	}
	for _, a := range counted(s.says.afterLeaving) {
		lines = append(lines, fmt.Sprintf("%s got %s from %q, sent %s after it was told that the target leaves", s.ID, a.RequestID, a.Instance, a.Sent.Sub(a.Told)))
	}
	for instance, t := range s.says.told {
		for _, p := range t.pauses {
			if n := len(counted(p.arrivals)); n > maxDuringPause {
				lines = append(lines, fmt.Sprintf("%s got %d requests from %q in a pause of %s", s.ID, n, instance, p.length))
			}
		}
	}
	return lines
}

// toldTo returns what an instance was told. The caller holds mu.
func (s *Server) toldTo(instance string) *told {
	if s.says.told == nil {
		s.says.told = map[string]*told{}
	}
	if s.says.told[instance] == nil {
		s.says.told[instance] = &told{}
	}
	return s.says.told[instance]
}

// arrived checks a request to this target against what its instance was told.
func (s *Server) arrived(r *http.Request) {
	if r.Header.Get(TargetHeader) != s.ID {
		return
	}
	now, instance := time.Now(), r.Header.Get(InstanceHeader)
	sent := now
	if ms, err := strconv.ParseInt(r.Header.Get(SentHeader), 10, 64); err == nil {
		sent = time.UnixMilli(ms)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCold(now)
	t := s.says.told[instance]
	if t == nil {
		return
	}
	arrival := Arrival{Instance: instance, RequestID: r.Header.Get(RequestIDHeader), Sent: sent, At: now}
	if !t.leavingAt.IsZero() && sent.Sub(t.leavingAt) > leavingSettled {
		arrival.Told = t.leavingAt
		s.says.afterLeaving = append(s.says.afterLeaving, arrival)
	}
	for i := range t.pauses {
		p := &t.pauses[i]
		if since := now.Sub(p.at); since > pauseSettled && since < p.length {
			arrival.Told = p.at
			p.arrivals = append(p.arrivals, arrival)
		}
	}
}

// refusesWithPause takes one request off those to turn away.
func (s *Server) refusesWithPause() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.says.turnAway > 0 {
		s.says.turnAway--
		return true
	}
	return s.says.turnAway < 0
}

// writePause refuses a request and asks for a pause.
func (s *Server) writePause(c net.Conn, id, instance string) bool {
	s.mu.Lock()
	pause := s.says.pause
	s.mu.Unlock()
	line := fmt.Sprintf("%s: %s\r\n", RetryAfterHeader, strconv.FormatFloat(pause.Seconds(), 'f', -1, 64))
	if !s.writeNotExecuted(c, id, http.StatusServiceUnavailable, line) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.toldTo(instance)
	t.pauses = append(t.pauses, toldPause{at: time.Now(), length: pause})
	return true
}

// statementLines returns the header lines in which the target says what it wants.
func (s *Server) statementLines() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := ""
	if s.says.rateLimit != 0 {
		lines = fmt.Sprintf("%s: %.1f\r\n", RateLimitHeader, s.says.rateLimit)
	}
	if s.says.leaving {
		lines += LeavingHeader + ": 1\r\n"
	}
	return lines
}
