package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// The platform's bounds for what targets say of themselves: later than leavingSettled after an
// instance has passed on that a target leaves, the target gets nothing from it; between
// pauseSettled after a rejection with a pause and its end, it gets maxInPause requests at most.
// An instance that hears it from others stops within toldSettled.
const (
	leavingSettled = 2 * time.Second
	pauseSettled   = 500 * time.Millisecond
	maxInPause     = 2
	toldSettled    = time.Second
)

// simSays is what a target of statementSim says, and who was told.
type simSays struct {
	leaving bool
	// rejections is the number of requests that it turns away; negative means all.
	rejections int
	pause      time.Duration
	// firstLeaving and leavingAt are when any instance and each instance passed on that it
	// leaves.
	firstLeaving time.Duration
	leavingAt    map[string]time.Duration
	pauses       []simPause
	used         time.Duration
}

// simPause is a pause that a target has asked an instance for.
type simPause struct {
	instance    string
	from, until time.Duration
	requests    int
}

// statementSim is a fleet in front of targets that announce their leaving, ask for pauses and
// name rates, in any order.
type statementSim struct {
	*limitSim
	says map[string]*simSays
	// calm says that nothing else happens: no instance misses what others tell it.
	calm bool
	fail func(format string, args ...any)
}

func newStatementSim(seed uint64, fail func(format string, args ...any)) (*statementSim, float64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	instances, targets := 1+rng.IntN(12), 2+rng.IntN(11)
	rate := 0.2 * math.Pow(2500, rng.Float64()) // 0.2 to 500 requests/s and target
	share := rng.Float64() * float64(rng.IntN(2))
	s := &statementSim{
		limitSim: newLimitSim(seed, instances, targets, rate*float64(targets), share, 0.2+rng.Float64()),
		says:     map[string]*simSays{}, calm: rng.IntN(3) == 0, fail: fail,
	}
	for _, e := range s.all {
		e.Slots = 1 + int(rate/4)
		s.says[e.ID] = &simSays{leavingAt: map[string]time.Duration{}}
	}
	s.limitSim.respond = s.respond
	for _, m := range s.members {
		m.AcquireNow(proxy.Request{Service: "s", Objective: time.Second, Deadline: s.clock.SinceBoot() + time.Second}, nil).Done(proxy.Answered, 0, proxy.Load{})
	}
	return s, rate * float64(targets)
}

// respond checks a request that reaches a target against what its instance was told, and
// returns what the target answers.
func (s *statementSim) respond(m *simMember, target string, load *proxy.Load, now time.Duration) (proxy.Result, func(time.Duration)) {
	service := m.service("s")
	service.mu.Lock()
	service.recordArrival(false, time.Second, now) // which AcquireNow does not
	service.mu.Unlock()
	t, instance := s.says[target], m.view.Self.Instance
	t.used = now
	if at, ok := t.leavingAt[instance]; ok && now-at > leavingSettled {
		s.fail("%s got a request from %s, %s after it was told of the leaving", target, instance, now-at)
	}
	if t.firstLeaving > 0 && now-t.firstLeaving > toldSettled && s.calm {
		s.fail("%s got a request from %s, %s after another instance was told of the leaving", target, instance, now-t.firstLeaving)
	}
	for i := range t.pauses {
		p := &t.pauses[i]
		if p.instance != instance || now < p.from+pauseSettled || now >= p.until {
			continue
		}
		if p.requests++; p.requests == maxInPause+1 {
			s.fail("%s got a third request from %s in a pause, %s before its end", target, instance, p.until-now)
		}
	}
	load.Draining = t.leaving
	result := proxy.Answered
	if t.rejections != 0 {
		t.rejections--
		load.Pause.Wait = t.pause
		result = proxy.Shed
	}
	told := *load
	return result, func(now time.Duration) { t.tell(instance, told, now) }
}

// tell records what an instance was told by a response.
func (t *simSays) tell(instance string, load proxy.Load, now time.Duration) {
	if load.Draining {
		if t.firstLeaving == 0 {
			t.firstLeaving = now
		}
		if _, ok := t.leavingAt[instance]; !ok {
			t.leavingAt[instance] = now
		}
	}
	if load.Pause.Wait > 0 {
		t.pauses = append(t.pauses, simPause{instance: instance, from: now, until: now + load.Pause.Wait})
	}
}

// forget excuses an instance that has restarted. Its open requests have ended with it.
func (s *statementSim) forget(m *simMember) {
	instance := m.view.Self.Instance
	s.limitSim.open = slices.DeleteFunc(s.limitSim.open, func(r limitedRequest) bool { return r.member == m })
	for _, t := range s.says {
		delete(t.leavingAt, instance)
		t.pauses = slices.DeleteFunc(t.pauses, func(p simPause) bool { return p.instance == instance })
	}
}

// change lets one random thing happen: a leaving, a pause, a new run of a target, a lapse of
// entries or a restart of an instance.
func (s *statementSim) change() {
	n := s.rng.IntN(len(s.all))
	entry := s.all[n]
	t := s.says[entry.ID]
	kinds := 5
	if s.calm {
		kinds = 2
	}
	switch s.rng.IntN(kinds) {
	case 0:
		t.leaving = true
	case 1:
		t.rejections, t.pause = 1+s.rng.IntN(3)*s.rng.IntN(100), time.Duration(s.rng.Int64N(int64(6*time.Second)))
	case 2:
		run := *entry
		run.Started++
		s.all = slices.Clone(s.all)
		s.all[n] = &run
		s.says[entry.ID] = &simSays{leavingAt: map[string]time.Duration{}}
		for _, m := range s.members {
			delete(s.told, [2]string{m.view.Self.Instance, entry.ID})
		}
		s.list(s.all)
	case 3:
		s.list(s.all[s.rng.IntN(len(s.all)):])
	case 4:
		i := s.rng.IntN(len(s.members))
		s.replace(i, false)
		s.forget(s.members[i])
	}
}

func (s *statementSim) list(entries []*discovery.Entry) {
	s.catalogue = &discovery.Catalogue{Version: s.catalogue.Version + 1, Services: map[string][]*discovery.Entry{"s": entries}}
}

// Guards against requests to targets that leave or pause, at any rate, size and order.
func TestStatementsAreHeeded(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 10 // the race detector makes each ten times as long
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			failures := 0
			s, rate := newStatementSim(seed, func(format string, args ...any) {
				if failures++; failures <= 3 {
					t.Errorf(format, args...)
				}
			})
			lossy := !s.calm && s.rng.IntN(3) == 0
			for step := range 3600 {
				if step > 300 && step < 1800 && s.rng.IntN(60) == 0 {
					s.change()
				}
				if step == 1800 {
					s.list(s.all)
				}
				s.step(rate*simStep.Seconds(), lossy && step%400 > 200)
			}
			s.checkBound(t)
			now := s.clock.SinceBoot()
			for id, target := range s.says {
				if _, limited := s.limits[id]; !limited && !target.leaving && target.rejections == 0 && rate > 5*float64(len(s.says)) && now-target.used > calmRest+floorSpan {
					t.Errorf("%s says nothing and got no request for %s", id, now-target.used)
				}
			}
		})
	}
}
