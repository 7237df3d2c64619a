package discovery

import (
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against valid targets that others receive changed, or that outgrow a datagram.
func TestValidTargetsPassUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(0, 210, -1)
		target := Target{
			ID: text.Draw(t, "id"), Service: text.Draw(t, "service"), Zone: text.Draw(t, "zone"), Slots: rapid.Int().Draw(t, "slots"),
			Address:    rapid.SampledFrom([]string{"10.0.0.1:80", "[2001:db8::1]:65535", "0.0.0.0:1", "10.0.0.1:0", "x:1"}).Draw(t, "address"),
			WarmupLeft: time.Duration(rapid.Int64().Draw(t, "warm-up")), Started: rapid.Int64().Draw(t, "started"), Draining: rapid.Bool().Draw(t, "draining"),
		}
		if rapid.Bool().Draw(t, "in range") {
			target.Slots, target.WarmupLeft = 1+int(uint(target.Slots)%maxSlots), time.Duration(uint64(target.WarmupLeft)%uint64(maxWarmup))
		}
		if target.Validate() != nil {
			return
		}
		m := toMessage(target)
		received := fromMessage(m)
		if received.digest() != target.digest() {
			t.Fatalf("%+v was received as %+v", target, received)
		}
		if size := proto.Size(m); maxChangesPerHeartbeat*size > 60_000 {
			t.Fatalf("%d bytes for one target", size)
		}
	})
}

// Guards against a change that makes the largest heartbeat exceed a datagram.
func TestLargestChangesFitIntoADatagram(t *testing.T) {
	text := strings.Repeat("x", maxTextBytes)
	l := &peerpb.Listing{}
	for range maxChangesPerHeartbeat {
		l.Changed = append(l.Changed, toMessage(Target{ID: text, Service: text, Zone: text, Address: "[2001:db8:0:0:0:0:0:1]:65535", Slots: maxSlots, Started: -1}))
	}
	if size := proto.Size(l); size > 60_000 {
		t.Fatalf("%d bytes", size)
	}
}
