package fleet

import (
	"fmt"
	"testing"
)

// BenchmarkUpdateView is the cost of one update of the view with 440 other instances in six
// zones, of which 36 serve. Each instance updates its view four times a second, and with each
// heartbeat that tells of a start, a stop or another change.
func BenchmarkUpdateView(b *testing.B) {
	tf := newTestFleet(0)
	f := tf.add("front-zone-0-0", "zone-0", 1).Fleet
	f.joined.Store(true)
	now := f.Clock.SinceBoot()
	for n := 1; n <= 440; n++ {
		zone := fmt.Sprintf("zone-%d", n%6)
		name := fmt.Sprintf("front-%s-%d", zone, n)
		f.addMember(name, &memberState{Member: Member{Instance: name, Zone: zone, Capacity: uint32(50 + n%3*50)}, heard: true, lastReceived: now, serving: n%12 == 0, rate: 20})
	}
	for b.Loop() {
		f.updateView(now)
	}
}
