package placement

import (
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// BenchmarkAcquire measures the choice of a target among 40 to 3000 targets, half of
// them in the instance's zone. The capacity sweep with 300 instances has 3000.
func BenchmarkAcquire(b *testing.B) {
	for _, count := range []int{20, 150, 1500} {
		b.Run(map[int]string{20: "40", 150: "300", 1500: "3000"}[count], func(b *testing.B) {
			f := newFixture(count)
			for n := 0; b.Loop(); n++ {
				a, err := f.Acquire(f.request(n%5 == 0), nil)
				if err != nil {
					b.Fatal(err)
				}
				f.clock.Advance(10 * time.Millisecond)
				a.Done(proxy.Answered, 10*time.Millisecond, proxy.Load{})
			}
		})
	}
}

// BenchmarkFill measures adding the evidence to one heartbeat.
func BenchmarkFill(b *testing.B) {
	f := newFixture(1500)
	for range 1000 {
		a, err := f.Acquire(f.request(false), nil)
		if err != nil {
			b.Fatal(err)
		}
		f.clock.Advance(10 * time.Millisecond)
		a.Done(proxy.Answered, 10*time.Millisecond, proxy.Load{})
	}
	for b.Loop() {
		f.Fill(&peerpb.Heartbeat{}, fleet.SameZonePeers)
	}
}
