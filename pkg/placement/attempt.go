package placement

import (
	"math"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// attempt is one request at one target. It implements proxy.Attempt and
// proxy.AttemptWithRetryDelay.
type attempt struct {
	balancer *Balancer
	service  *service
	target   *target
	// zone is that of the target.
	zone  string
	route string
	// started is the time since boot at which the request got the target.
	started    time.Duration
	retryDelay time.Duration
	choice     choice
	// last says that the request gets no further attempt.
	last bool
	once sync.Once
}

// Target returns the ID of the target.
func (a *attempt) Target() string { return a.target.entry.ID }

// Address returns the IP:port of the target.
func (a *attempt) Address() string { return a.target.entry.Address }

// Withdrawn reports whether the request must not be sent to the target any more, because its
// zone has been evacuated since the choice.
func (a *attempt) Withdrawn() bool {
	return a.balancer.Evacuations != nil && a.balancer.Evacuations.Evacuated(a.zone)
}

// RetryDelay returns the time without a response after which an idempotent request
// may be sent to another target.
func (a *attempt) RetryDelay() time.Duration { return a.retryDelay }

// Reason lists the inputs of the choice: whether the target was a preferred one
// ("home"), another one of the same zone ("near") or one of another zone ("far"), its
// load, its failure probability in percent, the age of the listing in ms and, if the
// target limits its rate, this instance's part of it in requests per second; the same of the
// rate for cold targets if it is cold.
func (a *attempt) Reason() string {
	location := "far"
	switch {
	case a.choice.preferred:
		location = "home"
	case a.choice.sameZone:
		location = "near"
	}
	text := append(make([]byte, 0, 64), location...)
	text = strconv.AppendInt(append(text, ",load="...), int64(a.choice.load), 10)
	text = strconv.AppendInt(append(text, ",failing="...), int64(100*a.choice.failProb), 10)
	text = strconv.AppendInt(append(text, ",listing="...), a.choice.listingAge.Milliseconds(), 10)
	if a.choice.limited {
		text = strconv.AppendFloat(append(text, ",limit="...), a.choice.limit, 'g', 3, 64)
	}
	if a.choice.cold {
		text = strconv.AppendFloat(append(text, ",cold="...), a.choice.coldRate, 'g', 3, 64)
	}
	return string(text)
}

// choice is what was known of a target when it was chosen.
type choice struct {
	preferred, sameZone bool
	load, failProb      float64
	listingAge          time.Duration
	// limit is this instance's part, in requests per second, of the rate that the target
	// accepts, if it is limited.
	limited bool
	limit   float64
	// coldRate is the same of the service's rate for cold targets, if the target is cold.
	cold     bool
	coldRate float64
}

// Done reports the result. Calls after the first have no effect.
func (a *attempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	a.once.Do(func() { a.done(result, latency, load) })
}

// done updates the target and the service with the result. load is the load that the
// target reported with its response.
func (a *attempt) done(result proxy.Result, latency time.Duration, load proxy.Load) {
	now := a.balancer.clock.SinceBoot()
	s, t := a.service, a.target
	s.mu.Lock()
	defer s.mu.Unlock()
	t.removeOpen(a.started)
	if load.Known {
		// The target's count includes this request until its response is sent.
		t.lastLoad, t.loadAt = load.InFlight+load.Queued, now
		t.otherLoad, t.otherLoadAt = max(0, float64(load.InFlight+load.Queued-1-len(t.openStarts))), now
	}
	a.balancer.observeStatements(s, t, load, now)
	a.balancer.observeCold(t, result, a.started, now)
	if s.observeReach(t, result, now) {
		a.balancer.logReach(s, t, result != proxy.NotSent)
	}
	if result == proxy.Shed {
		s.shedding.add(t, load, now)
	}
	suspected := t.own.failProb >= suspectThreshold
	t.recordResult(result, a.started, now)
	if now := t.own.failProb >= suspectThreshold; now != suspected {
		a.balancer.logChange(s, t, result, now)
	}
	if a.last && result != proxy.Canceled {
		s.outcomes.add(result != proxy.Answered, now)
	}
	switch result {
	case proxy.Answered:
		s.observeLatency(t, latency, now)
	case proxy.TimedOut:
		t.own.observeLatency(float64(latency)/float64(max(s.typicalLatency, time.Millisecond)), now)
	}
	s.queue.wakeFirst()
}

// logChange logs that a target has become suspected or is trusted again.
func (b *Balancer) logChange(s *service, t *target, result proxy.Result, suspected bool) {
	change := event.TargetTrusted
	if suspected {
		change = event.TargetSuspected
	}
	change.Log(b.log).Str("target", t.entry.ID).Str("service", s.name).Stringer("result", result).
		Float64("failing", t.own.failProb).Float64("peer_failing", t.peer.failProb).Send()
}

// recordResult applies the result of a request that began at the given time: to the
// evidence, or to the times up to which the target is blocked or counts as full.
func (t *target) recordResult(result proxy.Result, began, now time.Duration) {
	if result != proxy.NotSent {
		t.failedDials = 0
	}
	switch result {
	case proxy.Answered:
		t.own.addSuccess(began, now)
		t.lastResultAt, t.lastAnswered, t.failedProb = now, true, 0
	case proxy.ServerError, proxy.Broken, proxy.TimedOut:
		t.own.addFailure(now)
		t.failedProb, t.failedAt = t.own.failProb, now
		t.lastResultAt, t.lastAnswered = now, false
	case proxy.Shed:
		if len(t.openStarts) < t.entry.Slots {
			t.own.addShed(now)
		}
		t.fullUntil = now + fullAfterShed
	case proxy.Misplaced:
		t.blockedUntil = now + misplacedBackoff
	case proxy.NotSent:
		backoff := min(unreachableBackoff<<min(t.failedDials, 3), maxUnreachableBackoff)
		t.failedDials++
		t.blockedUntil = now + backoff
	}
}

// rateDecay is the time constant of the request rate.
const rateDecay = 2 * time.Second

// rate is an exponentially weighted average of the requests per second. It is safe
// for concurrent use.
type rate struct {
	mu        sync.Mutex
	value     float64
	updatedAt time.Duration
}

// add counts one request.
func (r *rate) add(now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	r.value += 1 / rateDecay.Seconds()
}

func (r *rate) get(now time.Duration) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decay(now)
	return r.value
}

func (r *rate) decay(now time.Duration) {
	if now > r.updatedAt {
		r.value *= math.Exp(-float64(now-r.updatedAt) / float64(rateDecay))
		r.updatedAt = now
	}
}
