package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// The platform's bound for a target that has named a rate: from limitSettled after it did
// so, it gets in any limitWindow at most limitFactor times what the rate allows and
// limitSlack more, from all instances that know of the rate for limitKnown.
const (
	limitSettled = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	limitKnown   = 500 * time.Millisecond
)

// limitSim is a fleet in front of targets of which some name a rate from limitedFrom on.
type limitSim struct {
	*floorSim
	// all are the targets, listed or not.
	all         []*discovery.Entry
	limits      map[string]float64
	limitedFrom time.Duration
	waiting     []limitedCaller
	open        []limitedRequest
	// told holds when an instance first got a response that names the target's rate.
	told map[[2]string]time.Duration
	// counted holds the times of the requests that the bound counts, by target.
	counted                map[string][]time.Duration
	asked, served, refused int
	// askedAt and startedAt count the requests of each instance.
	askedAt, startedAt map[string]int
	// respond, if not nil, adds to a target's response. It returns the result and what to do then.
	respond func(m *simMember, target string, load *proxy.Load, now time.Duration) (proxy.Result, func(now time.Duration))
	// idempotent says that the requests are.
	idempotent bool
}

// limitedCaller is a request that waits for a target.
type limitedCaller struct {
	member *simMember
	until  time.Duration
}

// limitedRequest is an open request of limitSim.
type limitedRequest struct {
	attempt proxy.Attempt
	member  *simMember
	endsAt  time.Duration
	load    proxy.Load
	result  proxy.Result
	arrived func(now time.Duration)
}

// newLimitSim returns a fleet of which a share of the targets names factor times the
// fair part of the rate.
func newLimitSim(seed uint64, instances, targets int, rate, share, factor float64) *limitSim {
	s := &limitSim{
		floorSim: newFloorSim(seed, instances, 3, targets, 4), limits: map[string]float64{},
		told: map[[2]string]time.Duration{}, counted: map[string][]time.Duration{}, askedAt: map[string]int{}, startedAt: map[string]int{},
	}
	s.all = s.catalogue.Services["s"]
	for i := range targets {
		if float64(i) < share*float64(targets) {
			s.limits[fmt.Sprintf("t%03d", i)] = factor * rate / float64(targets) * (0.4 + 1.2*s.rng.Float64())
		}
	}
	s.limitedFrom = s.clock.SinceBoot() + 4*time.Second
	return s
}

// step advances the fleet by simStep with the expected number of new requests. While
// lossy, no instance hears of another.
func (s *limitSim) step(requests float64, lossy bool) {
	s.clock.Advance(simStep)
	now := s.clock.SinceBoot()
	kept := s.open[:0]
	for _, r := range s.open {
		if now < r.endsAt {
			kept = append(kept, r)
			continue
		}
		key := [2]string{r.member.view.Self.Instance, r.attempt.Target()}
		if _, ok := s.told[key]; !ok && r.load.RateLimit.Limited {
			s.told[key] = now
		}
		r.arrived(now)
		r.attempt.Done(r.result, simWorkTime, r.load)
		s.served++
	}
	s.open = kept
	for ; requests > 0 && s.rng.Float64() < requests; requests-- {
		s.asked++
		member := s.members[s.rng.IntN(len(s.members))]
		s.askedAt[member.view.Self.Instance]++
		s.waiting = append(s.waiting, limitedCaller{member, now + simWorkTime})
	}
	waiting := s.waiting[:0]
	for _, w := range s.waiting {
		if !s.start(w.member, now) {
			if now < w.until {
				waiting = append(waiting, w)
			} else {
				s.refused++
			}
		}
	}
	s.waiting = waiting
	if !lossy && now%(250*time.Millisecond) < simStep {
		s.exchange()
	}
}

// start sends a request through the instance and reports whether a target could take it.
func (s *limitSim) start(m *simMember, now time.Duration) bool {
	a := m.AcquireNow(proxy.Request{Service: "s", Idempotent: s.idempotent, Objective: time.Second, Deadline: now + 2*time.Second}, nil)
	if a == nil {
		return false
	}
	target := a.Target()
	s.startedAt[m.view.Self.Instance]++
	limit := proxy.RateLimit{Known: true}
	if perSecond, ok := s.limits[target]; ok && now >= s.limitedFrom {
		limit.Limited, limit.PerSecond = true, perSecond
		if at, told := s.told[[2]string{m.view.Self.Instance, target}]; told && now-at >= limitKnown && now-s.limitedFrom >= limitSettled {
			s.counted[target] = append(s.counted[target], now)
		}
	}
	r := limitedRequest{a, m, now + simWorkTime/2 + time.Duration(s.rng.Int64N(int64(simWorkTime))), proxy.Load{RateLimit: limit}, proxy.Answered, func(time.Duration) {}}
	if s.respond != nil {
		r.result, r.arrived = s.respond(m, target, &r.load, now)
	}
	s.open = append(s.open, r)
	return true
}

// checkBound fails if a target got more than it allows.
func (s *limitSim) checkBound(t *testing.T) {
	t.Helper()
	for target, times := range s.counted {
		allowed := int(limitFactor*s.limits[target]*limitWindow.Seconds()) + limitSlack
		first := 0
		for i, at := range times {
			for at-times[first] > limitWindow {
				first++
			}
			if i-first+1 > allowed {
				t.Errorf("%s named %.1f requests/s and got %d in 4 s, %d are allowed", target, s.limits[target], i-first+1, allowed)
				break
			}
		}
	}
}

// replace restarts an instance: it knows nothing, and all others assign its targets anew
// while it is away.
func (s *limitSim) replace(n int, away bool) {
	var peers []fleet.Member
	for i, m := range s.members {
		if i != n || !away {
			peers = append(peers, m.view.Self)
		}
	}
	for i, m := range s.members {
		view := *m.view
		view.Version++
		view.Peers, view.Serving = peers, i != n || !away
		m.view = &view
	}
	if !away {
		m := s.members[n]
		m.Balancer = New(s.clock, m, m, &nop)
		for key := range s.told {
			if key[0] == m.view.Self.Instance {
				delete(s.told, key)
			}
		}
	}
}

// Guards against more requests at a target than the rate that it has named to the fleet.
func TestNamedRateIsExceeded(t *testing.T) {
	for _, d := range []struct {
		name               string
		instances, targets int
		rate               float64
		share, factor      float64
		restarts, lossy    bool
	}{
		{"most targets", 9, 26, 130, 0.7, 0.5, false, false},
		{"all targets", 9, 26, 130, 1, 0.5, false, false},
		{"low rates", 9, 26, 130, 0.7, 0.1, false, false},
		{"restarts", 9, 26, 130, 0.7, 0.5, true, false},
		{"heartbeats are lost", 9, 26, 130, 0.7, 0.5, false, true},
		{"large fleet", 30, 240, 900, 0.5, 0.5, true, false},
	} {
		t.Run(d.name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := newLimitSim(seed, d.instances, d.targets, d.rate, d.share, d.factor)
				for step := range 4000 {
					if d.restarts && step%600 == 500 {
						s.replace(step/600%len(s.members), true)
					}
					if d.restarts && step >= 600 && step%600 == 0 {
						s.replace((step-100)/600%len(s.members), false)
					}
					s.step(d.rate*simStep.Seconds(), d.lossy && step%800 > 400)
				}
				s.checkBound(t)
			}
		})
	}
}

// setListed lists all targets but the first missing ones.
func (s *limitSim) setListed(missing int) {
	s.catalogue = &discovery.Catalogue{Version: s.catalogue.Version + 1, Services: map[string][]*discovery.Entry{"s": s.all[missing:]}}
}

// Guards against a named rate that is forgotten while the target's entry has lapsed.
func TestNamedRateIsForgottenWithTheEntry(t *testing.T) {
	for seed := range uint64(3) {
		s := newLimitSim(seed, 9, 26, 130, 1, 0.3)
		for step := range 4000 {
			switch step % 1600 {
			case 900:
				s.setListed(6)
			case 0:
				s.setListed(0)
			}
			s.step(1.5*130*simStep.Seconds(), false)
		}
		s.checkBound(t)
	}
}

// Guards against a named rate that is forgotten while a restored store lists an earlier run of
// the target.
func TestNamedRateIsForgottenWithAnEarlierRun(t *testing.T) {
	f := newFixture(1)
	f.send(t, true, answered)
	s, now := f.service("s"), f.clock.SinceBoot()
	s.targets["a0"].limit.state(limitStatement{limited: true, perSecond: 3, at: now}, now)
	entries := func(started int64) []*discovery.Entry {
		listed := slices.Clone(s.ordered)
		var entries []*discovery.Entry
		for _, target := range listed {
			entry := *target.entry
			entry.Started = started
			entries = append(entries, &entry)
		}
		return entries
	}
	current := s.targets["a0"].entry.Started
	s.updateTargets(entries(current-1), now)
	if s.targets["a0"].limit.limited {
		t.Error("another run has the limit")
	}
	s.updateTargets(entries(current), now)
	if !s.targets["a0"].limit.limited {
		t.Error("the limit is forgotten")
	}
}

// Guards against requests that many instances have saved up, each a few, and send at once.
func TestSavedAllowancesExceedNamedRate(t *testing.T) {
	s := newLimitSim(1, 90, 60, 60, 1, 1)
	for range 2000 {
		s.step(60*simStep.Seconds(), false)
	}
	for range 3 {
		s.clock.Advance(10 * time.Minute)
		for range 1000 {
			s.step(900*simStep.Seconds(), true)
		}
	}
	s.checkBound(t)
}

// Guards against an instance that spends what it saved up under a share that it has no more.
func TestAllowanceOutlivesItsShare(t *testing.T) {
	now := time.Hour
	l := rateLimit{share: 1, updatedAt: now}
	l.state(limitStatement{limited: true, perSecond: 8, at: now}, now)
	now += time.Minute
	if l.exhausted(now) {
		t.Fatal("the instance has no allowance")
	}
	l.assign(0, false, now)
	if !l.exhausted(now) {
		t.Error("an instance without a share may still send")
	}
}

// Guards against refused callers while the limits and the other targets leave room for
// all requests.
func TestLimitedTargetsCostNoRequests(t *testing.T) {
	for seed := range uint64(3) {
		s := newLimitSim(seed, 9, 26, 130, 0.7, 0.5)
		for range 4000 {
			s.step(130*simStep.Seconds(), false)
		}
		if s.refused > s.asked/100 {
			t.Errorf("seed %d: %d of %d requests were refused", seed, s.refused, s.asked)
		}
	}
}

// Guards against a request that waits although the limits of all targets leave it no
// room in time.
func TestUnservableRequestWaits(t *testing.T) {
	f := newFixture(1)
	for range 2 {
		a, err := f.Acquire(f.request(false), nil)
		if err != nil {
			t.Fatal(err)
		}
		defer a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
	}
	now := f.clock.SinceBoot()
	for _, target := range f.service("s").targets {
		target.limit.state(limitStatement{limited: true, perSecond: 2, at: now}, now)
	}
	ended := make(chan error, 1)
	go func() {
		_, err := f.Acquire(f.request(false), nil)
		ended <- err
	}()
	select {
	case err := <-ended:
		var refused *refusal.Refusal
		if !errors.As(err, &refused) || refused.Kind != refusal.Overloaded {
			t.Fatalf("got %v, want an overload refusal", err)
		}
		if refused.RetryAfter < retryAfter || refused.RetryAfter > maxLimitRetryAfter {
			t.Errorf("Retry-After is %s", refused.RetryAfter)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the request still waits")
	}
}

// Guards against a request that is refused at once, as if limits left it no room, while
// targets without a limit are only unreachable for a moment.
func TestUnreachableTargetsCountAsLimited(t *testing.T) {
	f := newFixture(1)
	f.send(t, true, answered)
	s, now := f.service("s"), f.clock.SinceBoot()
	for _, target := range s.targets {
		target.blockedUntil = now + unreachableBackoff
	}
	if s.forcedWait(nil, 0, now).forced {
		t.Error("no target has a limit")
	}
	if s.forcedWait([]string{"a0", "b0"}, 0, now).forced {
		t.Error("no target is left, but none has a limit")
	}
}

// Guards against a limit that stays in force after the target has ended it.
func TestNamedRateEnds(t *testing.T) {
	s := newLimitSim(1, 9, 26, 130, 0.7, 0.5)
	for range 2400 {
		s.step(130*simStep.Seconds(), false)
	}
	s.limits = map[string]float64{}
	for range 600 {
		s.step(130*simStep.Seconds(), false)
	}
	for _, m := range s.members {
		for _, target := range m.service("s").ordered {
			if target.limit.limited {
				t.Errorf("%s still limits %s", m.view.Self.Instance, target.entry.ID)
			}
		}
	}
}

// Guards against statements that arrive late, or that another instance passes on late.
func TestOlderStatementIsIgnored(t *testing.T) {
	f := newFixture(1)
	f.send(t, true, answered)
	now := f.clock.SinceBoot()
	target := f.service("s").targets["a0"]
	target.limit.state(limitStatement{at: now}, now)
	if target.limit.state(limitStatement{limited: true, perSecond: 3, at: now - time.Second}, now) || target.limit.limited {
		t.Error("an older statement replaced a newer one")
	}
}
