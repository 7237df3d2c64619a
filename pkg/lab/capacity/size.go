// Package capacity measures the cost of the control traffic and of processing
// the configuration as the fleet and its configuration grow. All measurements
// run on one machine.
package capacity

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Size is the number of objects in a configuration.
type Size struct {
	Teams, Routes, Services, Targets int
}

// ExpectedSize is the configuration size expected within two years.
var ExpectedSize = Size{Teams: 53_000, Routes: 5_700, Services: 230, Targets: 5_400}

// Size of the fleet today and at the scale expected within two years.
const (
	currentInstances  = 48
	expectedInstances = 550
	expectedZones     = 11
	maxWitnesses      = 15
)

// Properties of the synthetic configuration. digestBytes is the length of a key's
// SHA-256 digest, contractDuration the remaining time of each batch.
const (
	teamsPerBatch    = 100
	digestBytes      = 32
	contractDuration = 24 * time.Hour
)

// scaled returns a fraction of the expected scale, at least one object of each
// kind.
func scaled(fraction float64) Size {
	of := func(n int) int { return max(1, int(float64(n)*fraction)) }
	return Size{Teams: of(ExpectedSize.Teams), Routes: of(ExpectedSize.Routes), Services: of(ExpectedSize.Services), Targets: of(ExpectedSize.Targets)}
}

// Config builds a synthetic configuration of the size. Equal seeds and times give
// equal documents.
func (s Size) Config(seed uint64, now time.Time) *config.Config {
	random := rand.New(rand.NewPCG(seed, 0))
	c := config.Empty()
	for n := range (s.Teams + teamsPerBatch - 1) / teamsPerBatch {
		c.Batches[batchID(n)] = config.Batch{Share: float64(1 + n%5), Expires: now.Add(contractDuration).UTC().Truncate(time.Second)}
	}
	for n := range s.Teams {
		c.Teams[teamID(n)] = config.Team{Batch: batchID(n / teamsPerBatch), RatePerSecond: float64(5 + n%50), Burst: 10 + n%50}
		digest := make([]byte, 0, 2*digestBytes)
		for range digestBytes / 8 {
			digest = fmt.Appendf(digest, "%016x", random.Uint64())
		}
		c.Keys["key-"+strconv.Itoa(n)] = config.Key{Team: teamID(n), SHA256: string(digest)}
	}
	for n := range s.Services {
		c.Services[serviceID(n)] = config.Service{
			FloorPercent: 70, Profile: config.ProfileCareful, HealthPath: "/health", ProbeIntervalMS: 1000, Targets: map[string]config.Target{},
		}
	}
	for n := range s.Targets {
		c.Services[serviceID(n%s.Services)].Targets["target-"+strconv.Itoa(n)] = config.Target{
			Address: fmt.Sprintf("127.%d.%d.%d:9000", 100+n>>16, n>>8&0xff, n&0xff), Zone: zoneID(n % expectedZones), Slots: 4, MaxConnections: 400,
		}
	}
	for n := range s.Routes {
		c.Routes["route-"+strconv.Itoa(n)] = config.Route{
			PathPrefix: "/area-" + strconv.Itoa(n/20) + "/item-" + strconv.Itoa(n), Methods: []string{"GET"}, Service: serviceID(n % s.Services),
			OpenToAll: true, Teams: []string{}, Idempotent: true, TimeoutMS: 2000, MaxAttempts: 3,
		}
	}
	return c
}

func batchID(n int) string   { return "batch-" + strconv.Itoa(n) }
func teamID(n int) string    { return "team-" + strconv.Itoa(n) }
func serviceID(n int) string { return "service-" + strconv.Itoa(n) }
func zoneID(n int) string    { return "zone-" + strconv.Itoa(n) }
