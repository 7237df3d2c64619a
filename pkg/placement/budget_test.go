package placement

import (
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// Guards against retries beyond the platform's bound when the many standbys of a fleet
// get a few requests each, and every request fails.
func TestStandbysExceedRetryBudget(t *testing.T) {
	// The users' deployment csl-capacite: a fifth of the requests and 62 in 10 s.
	const instances, serving, retryRatio, retrySlack = 44, 12, 0.2, 62
	const window = 10 * time.Second
	f := newFixture(2)
	var peers []fleet.Member
	var all []*Balancer
	for n := range instances {
		member := fleet.Member{Instance: string(rune('A' + n)), Zone: "a"}
		if n < serving {
			peers = append(peers, member)
		}
		view := &fleet.View{Version: 1, Self: member, Serving: n < serving, Peers: peers}
		all = append(all, New(f.clock, f, staticView{view}, &nop))
	}
	var requests, retries []time.Duration
	for elapsed := time.Duration(0); elapsed < 3*window; elapsed += 10 * time.Millisecond {
		f.clock.Advance(10 * time.Millisecond)
		now := f.clock.SinceBoot()
		for n, b := range all {
			interval := 240 * time.Millisecond
			if n >= serving {
				interval = 1200 * time.Millisecond
			}
			if (elapsed+time.Duration(n)*70*time.Millisecond)%interval != 0 {
				continue
			}
			a, err := b.Acquire(f.request(true), nil)
			if err != nil {
				t.Fatal(err)
			}
			a.Done(proxy.ServerError, time.Millisecond, proxy.Load{})
			requests = append(requests, now)
			if b.TakeRetry(f.request(true)) {
				retries = append(retries, now)
			}
		}
		if got, asked := since(retries, now-window), since(requests, now-window); float64(got) > retryRatio*float64(asked)+retrySlack {
			t.Fatalf("%d retries of %d requests in 10 s", got, asked)
		}
	}
}

// staticView is a set of serving instances that does not change.
type staticView struct{ view *fleet.View }

func (s staticView) View() *fleet.View { return s.view }

// since counts the times after a time.
func since(times []time.Duration, after time.Duration) (count int) {
	for _, at := range times {
		if at > after {
			count++
		}
	}
	return count
}
