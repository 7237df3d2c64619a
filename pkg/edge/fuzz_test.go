package edge

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/follow"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// unavailablePlatform is a Platform whose calls fail.
type unavailablePlatform struct{}

func (unavailablePlatform) Await(context.Context, follow.Cursor) (follow.Update, error) {
	return follow.Update{}, context.DeadlineExceeded
}

func (unavailablePlatform) Targets(context.Context) (discovery.Listed, error) {
	return discovery.Listed{}, context.DeadlineExceeded
}

func (unavailablePlatform) Join(context.Context, fleet.Member) error { return context.DeadlineExceeded }

func (unavailablePlatform) ReadRoster(context.Context) (fleet.RosterUpdate, error) {
	return fleet.RosterUpdate{}, context.DeadlineExceeded
}

func (unavailablePlatform) AwaitRoster(context.Context, fleet.RosterCursor, time.Duration) (fleet.RosterUpdate, error) {
	return fleet.RosterUpdate{}, context.DeadlineExceeded
}

func (unavailablePlatform) Leave(context.Context, fleet.Member) error {
	return context.DeadlineExceeded
}

func (unavailablePlatform) ReadQuarantine(context.Context) ([]quarantine.Record, error) {
	return nil, context.DeadlineExceeded
}

func (unavailablePlatform) WriteQuarantine(context.Context, []quarantine.Record) error {
	return context.DeadlineExceeded
}

func (unavailablePlatform) StoreClock() *clock.Remote { return &clock.Remote{} }

// FuzzDatagram guards against a datagram that ends the process: it is passed to all
// parts of an instance without the containment around it.
func FuzzDatagram(f *testing.F) {
	for _, h := range []*peerpb.Heartbeat{
		{Instance: "e-2", Incarnation: 1, Zone: "a", Serving: true, ConfigVersion: 1 << 62, ConfigAgeMs: 1<<32 - 1, Rate: 1e38, Capacity: 1<<32 - 1},
		{Instance: "e-2", Zone: "b", Leaving: true, Hello: true, Teams: []*peerpb.TeamUse{{Team: "t", Admitted: 1<<64 - 1, Lately: 1<<32 - 1}}},
		{Instance: "e-3", Serving: true, Targets: []*peerpb.TargetEvidence{{Target: "i-1", FailingPermille: 1<<32 - 1, Slowness: -1 << 31}}},
		{Instance: "e-4", Serving: true, Listing: &peerpb.Listing{Digest: 1, AgeMs: 1<<32 - 1, Removed: []string{"", "i-1"}, Changed: []*peerpb.ListedTarget{
			{Id: "i-1", Service: "s", Address: "nowhere", Slots: 1<<32 - 1, WarmupMs: 1<<32 - 1, Started: -1 << 63},
		}}},
	} {
		data, err := proto.Marshal(h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		log := zerolog.Nop()
		i := New(Options{
			Settings: &settings.Edge{
				Instance: "e-1", AvailabilityZone: "a", CallerAddress: "127.0.0.1:1", GossipAddress: "127.0.0.1:2", ProcessorShare: 1, Cores: 1, LinkMbps: 1000,
			},
			Platform: unavailablePlatform{}, Dialect: &proxy.Dialect{}, Memory: 1 << 30, Log: &log,
			Endpoints: func(func() bool, func(string) []string, time.Duration) fasthttp.RequestHandler { return nil },
		})
		h := &peerpb.Heartbeat{}
		if proto.Unmarshal(data, h) != nil || h.Instance == "" {
			return
		}
		for _, x := range []fleet.StateExchanger{i.limiter, i.balancer, i.registry, i.follower} {
			x.Merge(h.Instance, h)
		}
	})
}
