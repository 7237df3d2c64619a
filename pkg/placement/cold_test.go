package placement

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const testWarmup = 3 * time.Second

// newColdFixture is a fixture of an instance that knows the fleet, with a rate for cold targets.
func newColdFixture(t *testing.T, perSecond float64) *fixture {
	f := newFixture(2)
	f.view.Settled, f.view.ZoneSizes = true, map[string]int{"a": 2, "b": 1}
	f.step(perSecond)
	f.catalogue.ReadAt = f.clock.SinceBoot()
	f.clock.Advance(2 * startSpan)
	f.catalogue.ReadAt = f.clock.SinceBoot()
	f.send(t, true, answered)
	return f
}

func (f *fixture) step(perSecond float64) {
	f.StepCold(map[string]ColdRate{"s": {Warmup: testWarmup, PerSecond: perSecond}})
}

func (f *fixture) cold(id string) bool {
	return f.service("s").targets[id].cold.cold(f.clock.SinceBoot())
}

// replace lists the targets of the fixture after a change.
func (f *fixture) replace(change func(entries []*discovery.Entry) []*discovery.Entry) {
	next := &discovery.Catalogue{Version: f.catalogue.Version + 1, ReadAt: f.clock.SinceBoot(), Services: map[string][]*discovery.Entry{}}
	var entries []*discovery.Entry
	for _, e := range f.catalogue.Services["s"] {
		entry := *e
		entries = append(entries, &entry)
	}
	next.Services["s"] = change(entries)
	f.catalogue = next
	f.step(f.service("s").coldRate.PerSecond)
}

// state makes the listing state how long a target is cold, in a new version of its entry.
func (f *fixture) state(id string, version int64, left time.Duration) {
	listed := discovery.Listed{RowVersions: map[string]int64{}}
	for _, e := range f.catalogue.Services["s"] {
		target := e.Target
		if target.ID == id {
			target.WarmupLeft = left
			listed.RowVersions[id] = version
		}
		listed.Targets = append(listed.Targets, target)
	}
	now := f.clock.SinceBoot()
	f.ObserveListing(listed, now, now)
}

// Guards against targets that count as warm although they have just come back, and against ones
// that count as cold at the start of a fleet.
func TestWhatMakesTargetsCold(t *testing.T) {
	for _, d := range []struct {
		name   string
		happen func(f *fixture)
		cold   bool
	}{
		{"nothing", func(*fixture) {}, false},
		{"restarted", func(f *fixture) {
			f.replace(func(e []*discovery.Entry) []*discovery.Entry { e[0].Started++; return e })
		}, true},
		{"back in the listing", func(f *fixture) {
			f.replace(func(e []*discovery.Entry) []*discovery.Entry { return e[1:] })
			first := f.service("s").unlisted[targetRun{"a0", "10.0.0.0:80", 0}].entry
			f.replace(func(e []*discovery.Entry) []*discovery.Entry { return append([]*discovery.Entry{first}, e...) })
		}, true},
		{"listed as cold", func(f *fixture) { f.state("a0", 1, time.Second) }, true},
		{"not reached", func(f *fixture) {
			f.service("s").targets["a0"].cold.lost(f.clock.SinceBoot())
			f.clock.Advance(time.Minute)
		}, true},
		{"reached again", func(f *fixture) {
			c := &f.service("s").targets["a0"].cold
			c.lost(f.clock.SinceBoot())
			f.clock.Advance(time.Second)
			c.reached(f.clock.SinceBoot(), f.clock.SinceBoot())
		}, true},
		{"zone restored", func(f *fixture) { f.MarkZoneCold("a") }, true},
		{"other zone restored", func(f *fixture) { f.MarkZoneCold("b") }, false},
		{"paths in another way", func(f *fixture) {
			f.service("s").targets["a0"].cold.lost(f.clock.SinceBoot())
			f.ForgetPaths()
		}, false},
		{"limit ended", func(f *fixture) { f.MarkZoneCold("a"); f.step(0) }, false},
	} {
		t.Run(d.name, func(t *testing.T) {
			is := is.New(t)
			f := newColdFixture(t, 4.5)
			d.happen(f)
			is.Equal(f.cold("a0"), d.cold)
			f.clock.Advance(confirmWait - time.Second)
			is.Equal(f.cold("a0"), d.cold) // no listing has said that it is warm
			f.clock.Advance(testWarmup + confirmWait)
			is.True(!f.cold("a0") || f.service("s").targets["a0"].cold.unreachable)
		})
	}
	f := newFixture(1)
	f.step(0)
	f.MarkZoneCold("a")
	f.replace(func(e []*discovery.Entry) []*discovery.Entry { e[0].Started++; return e })
	for _, target := range f.service("s").targets {
		is.New(t).True(!target.cold.limited(f.clock.SinceBoot())) // without a rate
	}
}

// Guards against a listing that was written before a target came back and ends its warm-up.
func TestOldListingEndsWarmup(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, 4.5)
	f.state("a0", 1, 0)
	f.clock.Advance(time.Second)
	f.MarkZoneCold("a")
	f.clock.Advance(100 * time.Millisecond)
	f.service("s").targets["a0"].cold.stated(listingStatement{0, f.clock.SinceBoot() - 2*time.Second, f.clock.SinceBoot()}, f.clock.SinceBoot())
	is.True(f.cold("a0")) // an entry that was read before
	f.state("a0", 2, 0)
	is.True(f.cold("a0")) // written since the last listing, perhaps before the restore
	f.clock.Advance(time.Second)
	f.state("a0", 3, 0)
	is.True(!f.cold("a0"))
	f.clock.Advance(time.Second)
	f.state("a0", 4, 2*time.Second)
	is.True(f.cold("a0")) // cold again without a restart
}

// Guards against other instances that do not learn of a cold target, or forget it, and against
// messages that an instance of the last release does not understand.
func TestColdTargetsAreTold(t *testing.T) {
	is := is.New(t)
	f, other := newColdFixture(t, 4.5), newColdFixture(t, 4.5)
	tell := func() *peerpb.Heartbeat {
		h := &peerpb.Heartbeat{Instance: "e2", Rate: 3}
		f.Fill(h, fleet.Standbys)
		other.Merge("e2", h)
		return h
	}
	is.Equal(len(tell().ColdTargets), 0)
	f.state("a0", 1, time.Second)
	h := tell()
	is.True(other.cold("a0"))
	is.Equal(other.service("s").targets["a0"].cold.message(false, other.clock.SinceBoot()) == nil, true) // not passed on
	f.clock.Advance(time.Second)
	other.clock.Advance(time.Second)
	f.state("a0", 2, 0)
	f.clock.Advance(time.Second)
	other.clock.Advance(time.Second)
	f.state("a0", 3, 0)
	tell()
	is.True(!other.cold("a0"))

	old := &peerpb.Heartbeat{Instance: "e2", Rate: 3}
	other.Merge("e2", old) // a sender of the last release
	h.ColdTargets = nil
	is.True(proto.Equal(h, old)) // all else is as before
	is.Equal(string(h.ProtoReflect().Descriptor().Fields().ByNumber(28).Name()), "cold_targets")
}

// Guards against a target that all count as cold because one instance cannot connect to it.
func TestOneInstanceIsCutOffFromTarget(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := coldLimit{ColdRate: ColdRate{testWarmup, 4.5}}
	c.reached(now-400*time.Millisecond, now)
	c.told("e2", &peerpb.ColdTarget{LeftMs: 3000, AgeMs: 600, Unreachable: true}, now)
	is.True(!c.cold(now)) // it answered a request that began later
	reached := uint32(200)
	c.told("e2", &peerpb.ColdTarget{LeftMs: 2800, AgeMs: 600, ReachedAgeMs: &reached}, now)
	is.True(!c.cold(now))
	c.told("e2", &peerpb.ColdTarget{LeftMs: 3000, AgeMs: 300, Unreachable: true}, now)
	is.True(!c.cold(now)) // too early to know
	now += 400 * time.Millisecond
	c.told("e2", &peerpb.ColdTarget{LeftMs: 3000, AgeMs: 700, Unreachable: true}, now)
	is.True(c.cold(now))
}

// Guards against holders on two sides of a partition that are more than there were before it.
func TestSeparatedInstancesHoldOneRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		known := rapid.IntRange(maxColdHolders, 8).Draw(t, "serving")
		parts := rapid.IntRange(1, 4).Draw(t, "parts")
		part := rapid.SliceOfN(rapid.IntRange(0, parts-1), known, known).Draw(t, "part")
		joined := rapid.SliceOfN(rapid.IntRange(0, 4), parts, parts).Draw(t, "joined")
		members := func(p, from, to int, name string) (in []fleet.Member) {
			for i := from; i < to; i++ {
				if name == "n" || part[i] == p {
					in = append(in, fleet.Member{Instance: fmt.Sprintf("%s%d-%d", name, max(p, 0), i), Zone: "a"})
				}
			}
			return in
		}
		var old []fleet.Member
		for i := range known {
			old = append(old, fleet.Member{Instance: fmt.Sprintf("o%d", i), Zone: "a"})
		}
		for target := range 8 {
			sum := 0.0
			for p := range parts {
				var peers, silent []fleet.Member
				for i, m := range old {
					if part[i] == p {
						peers = append(peers, m)
					} else {
						silent = append(silent, m)
					}
				}
				peers = append(peers, members(p, 0, joined[p], "n")...)
				for _, self := range peers {
					v := &fleet.View{Self: self, Peers: peers, Silent: silent, Settled: true, ZoneSizes: map[string]int{"a": 20}}
					sum += divideColdRate(v, "a", fmt.Sprint(target)).known
					if divideColdRate(v, "b", "t").known != 0 && v.ZoneSizes["b"] > 0 {
						t.Error("an instance of another zone has a share")
					}
				}
			}
			if sum > 1+1e-9 {
				t.Errorf("the shares add up to %.2f", sum)
			}
		}
	})
}

// Guards against a zone without instances whose cold targets get nothing, and against shares of
// an instance that others may not know yet.
func TestSharesOfColdRate(t *testing.T) {
	is := is.New(t)
	self := fleet.Member{Instance: "e1", Zone: "a"}
	v := &fleet.View{Self: self, Peers: []fleet.Member{self}, Settled: true, ZoneSizes: map[string]int{"a": 1, "b": 2}}
	is.Equal(divideColdRate(v, "a", "t").known, 1.0)
	is.Equal(divideColdRate(v, "b", "t"), coldShares{})
	is.Equal(divideColdRate(v, "c", "t").known, 1.0/3)
	v.Settled = false
	is.Equal(divideColdRate(v, "a", "t"), coldShares{unsure: 1})
}

// Guards against requests that wait, or cannot be explained, while all targets are cold.
func TestColdTargetsRefuseAtOnce(t *testing.T) {
	is := is.New(t)
	f := newColdFixture(t, 4.5)
	f.MarkZoneCold("a")
	f.MarkZoneCold("b")
	for a := f.AcquireNow(f.request(false), nil); a != nil; a = f.AcquireNow(f.request(false), nil) {
		a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
	}
	_, err := f.Acquire(f.request(false), nil)
	var refused *refusal.Refusal
	is.True(errors.As(err, &refused))
	is.True(refused.Kind == refusal.Overloaded && refused.RetryAfter >= retryAfter && refused.RetryAfter <= maxLimitRetryAfter)
	is.Equal(f.Obstacles()["cold"], 4)
	f.clock.Advance(time.Second)
	a := f.AcquireNow(f.request(true), nil)
	is.True(a != nil)
	is.True(strings.Contains(a.(proxy.AttemptWithReason).Reason(), ",cold=2.25"))
	a.Done(proxy.Answered, time.Millisecond, proxy.Load{})
	for _, state := range f.Dump() {
		if state.Target == a.Target() {
			is.Equal(*state.ColdRate, 2.25)
			is.Equal(*state.ColdMS, (testWarmup + confirmWait - time.Second).Milliseconds())
		}
	}
}

// Guards against requests that were sent one by one, are held up on the way and arrive together.
func TestUnansweredRequestsAreBounded(t *testing.T) {
	now := time.Hour
	for _, perSecond := range []float64{2, 4.5, 12, 40} {
		c := coldLimit{ColdRate: ColdRate{time.Hour, perSecond}, shares: coldShares{known: 1.0 / maxColdHolders}}
		c.suspect(coldListed, now)
		sent := 0
		for end := now + deliveryTime; now < end; now += time.Millisecond {
			if !c.exhausted(now) {
				c.spend(now)
				sent++
			}
		}
		rate := perSecond / maxColdHolders
		if most := maxColdHolders * (float64(sent) + maxTokens(rate) + rate); most > 1.5*perSecond+8 {
			t.Errorf("%v/s: %.1f may arrive in a second", perSecond, most)
		}
	}
}

// Guards against a target that gets the next requests of all instances at once because it has
// just turned warm and is idle.
func TestWarmTargetIsNotRushed(t *testing.T) {
	const rate, targets, span = 190.0, 18, 400 * time.Millisecond
	for seed := range uint64(6) {
		s := newLimitSim(seed, 9, targets, rate, 0, 0)
		s.idempotent = seed%2 == 0
		for _, m := range s.members {
			m.view.Settled, m.view.ZoneSizes = true, map[string]int{"0": 3, "1": 3, "2": 3}
		}
		run := func(d time.Duration) {
			for range int(d / simStep) {
				s.catalogue.ReadAt = s.clock.SinceBoot()
				for _, m := range s.members {
					m.StepCold(map[string]ColdRate{"s": {Warmup: testWarmup, PerSecond: 4.5}})
				}
				s.step(rate*simStep.Seconds(), false)
			}
		}
		run(8 * time.Second)
		for _, m := range s.members {
			m.service("s").targets["t000"].cold.suspect(coldListed, s.clock.SinceBoot())
		}
		run(testWarmup + confirmWait)
		got := 0
		s.respond = func(_ *simMember, target string, _ *proxy.Load, _ time.Duration) (proxy.Result, func(time.Duration)) {
			if target == "t000" {
				got++
			}
			return proxy.Answered, func(time.Duration) {}
		}
		run(span)
		if part := rate / targets * span.Seconds(); float64(got) > part {
			t.Errorf("seed %d: %d requests in %s at a target that has turned warm, its part of the load is %.1f", seed, got, span, part)
		}
	}
}

// Guards against instances that tell each other of a warm-up and so extend it without end.
func TestWarmupEndsWithoutListing(t *testing.T) {
	s := newLimitSim(1, 4, 4, 10, 0, 0)
	step := func() {
		for _, m := range s.members {
			m.StepCold(map[string]ColdRate{"s": {Warmup: testWarmup, PerSecond: 4.5}})
		}
		s.step(10*simStep.Seconds(), false)
	}
	step()
	for _, m := range s.members {
		m.MarkZoneCold("0")
	}
	for range int((testWarmup + confirmWait + time.Second) / simStep) {
		step()
	}
	for _, m := range s.members {
		if m.Obstacles()["cold"] > 0 {
			t.Errorf("%s counts a target as cold", m.view.Self.Instance)
		}
	}
}

// Guards against an instance that takes a target for reachable because another one reaches it
// or reads that it is cold, and against a process that has ended unnoticed.
func TestOwnFailuresCount(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := coldLimit{ColdRate: ColdRate{testWarmup, 4.5}}
	c.lost(now)
	reached := uint32(100)
	c.told("e2", &peerpb.ColdTarget{LeftMs: 1000, AgeMs: 500}, now)
	c.told("e2", &peerpb.ColdTarget{LeftMs: 1000, AgeMs: 500, ReachedAgeMs: &reached}, now)
	now += time.Minute
	is.True(c.cold(now))
	c.told("e2", &peerpb.ColdTarget{LeftMs: 1000, AgeMs: 2000, ReachedAgeMs: &reached}, now)
	is.True(!c.unreachable) // reached by another one after the last failure
	now += time.Minute
	is.True(!c.cold(now))
	c.broken(now)
	is.True(!c.cold(now))
	c.broken(now + brokenTogether/2)
	is.True(c.cold(now + brokenTogether/2))
}

// Guards against an instance that takes an entry for current of which another one has read a
// later version.
func TestLaterListingOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	now := time.Hour
	c := coldLimit{ColdRate: ColdRate{testWarmup, 4.5}}
	entry := listingStatement{testWarmup, now - 500*time.Millisecond, now}
	is.True(c.stated(entry, now)) // to be told at once
	is.True(!c.stated(entry, now))
	now += testWarmup + time.Second
	c.told("e2", &peerpb.ColdTarget{AgeMs: 500}, now)
	is.True(!c.cold(now))
	is.True(!c.stated(entry, now))
	is.True(!c.cold(now))
}
