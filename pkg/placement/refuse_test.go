package placement

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against requests that are held in vain, and against a wrong Retry-After.
func TestUnservableByStatementsIsRefusedAtOnce(t *testing.T) {
	leaves := func(t *target) { t.leaving.announced = true }
	pauses := func(d time.Duration) func(t *target) { return func(t *target) { t.pausedUntil = time.Hour + d } }
	limits := func(perSecond float64) func(t *target) {
		return func(t *target) {
			t.limit.state(limitStatement{limited: true, perSecond: perSecond, at: time.Hour}, time.Hour)
		}
	}
	cases := []struct {
		name       string
		a0, b0     func(t *target)
		tried      []string
		kind       refusal.Kind
		retryAfter time.Duration
	}{
		{"both leave", leaves, leaves, nil, refusal.NoTarget, retryAfter},
		{"both pause", pauses(4 * time.Second), pauses(2 * time.Second), nil, refusal.Overloaded, 2 * time.Second},
		{"one leaves, one pauses", leaves, pauses(3 * time.Second), nil, refusal.Overloaded, 3 * time.Second},
		{"one pauses, one limits its rate", pauses(3 * time.Second), limits(0.5), nil, refusal.Overloaded, time.Second},
		{"one was tried and pauses, one leaves", pauses(3 * time.Second), leaves, []string{"a0"}, refusal.Overloaded, 3 * time.Second},
		{"one was tried, one pauses", func(*target) {}, pauses(3 * time.Second), []string{"a0"}, refusal.Overloaded, retryAfter},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1)
			s := f.service("s")
			s.mu.Lock()
			f.update(s, f.clock.SinceBoot())
			tc.a0(s.targets["a0"])
			tc.b0(s.targets["b0"])
			s.mu.Unlock()
			ended := make(chan error, 1)
			go func() {
				_, err := f.Acquire(f.request(true), tc.tried)
				ended <- err
			}()
			var refused *refusal.Refusal
			select {
			case err := <-ended:
				is.True(errors.As(err, &refused))
			case <-time.After(5 * time.Second):
				t.Fatal("the request still waits")
			}
			is.Equal(refused.Kind, tc.kind)
			is.Equal(refused.RetryAfter, tc.retryAfter)
			is.Equal(refused.Outcome, refusal.OutcomeNotRun)
		})
	}
}

// Guards against a refusal although a pause ends before the request's time does.
func TestShortPauseIsWaitedFor(t *testing.T) {
	is := is.New(t)
	f := newFixture(1)
	f.targetsOf(t, 1)
	s := f.service("s")
	until := f.clock.SinceBoot() + 20*time.Millisecond
	for _, target := range s.targets {
		target.pausedUntil = until
	}
	served := make(chan proxy.Attempt)
	go func() {
		a, _ := f.Acquire(f.request(true), nil)
		served <- a
	}()
	for deadline := time.Now().Add(5 * time.Second); f.waiting() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	f.clock.Advance(25 * time.Millisecond)
	is.True(<-served != nil)
}
