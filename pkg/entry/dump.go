package entry

import (
	"context"
	"runtime"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/balance"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/dispatch"
	"github.com/arbutuslink/arbutuslink/pkg/fairqueue"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// dumper gives operators the state of the instance.
type dumper struct{ instance *Instance }

// Dump is the state of the process in the response of /dump. It holds no secrets:
// of the configuration it has only the version.
type Dump struct {
	Program       string               `json:"program"`
	Version       string               `json:"version"`
	Instance      string               `json:"instance"`
	Zone          string               `json:"availability_zone"`
	UptimeSeconds float64              `json:"uptime_seconds"`
	Goroutines    int                  `json:"goroutines"`
	Leaving       bool                 `json:"leaving"`
	OpenRequests  int64                `json:"open_requests"`
	ConfigVersion int64                `json:"config_version"`
	Control       *control.Dump        `json:"control,omitempty"`
	Limits        limit.Dump           `json:"limits"`
	Evaluator     health.EvaluatorDump `json:"evaluator"`
	Follower      health.FollowerDump  `json:"follower"`
	// Balancer is the shared balancer; the policy baseline has none.
	Balancer *balance.Dump `json:"balancer,omitempty"`
	// Dispatcher and Reservations describe the reservation of target slots: this
	// instance as a dispatcher, and its use of dispatchers. Only the policies reserve
	// and reserve_all have them.
	Dispatcher   map[string]dispatch.ServiceDump `json:"dispatcher,omitempty"`
	Reservations *dispatch.BalancerDump          `json:"reservations,omitempty"`
	// Baseline lists the targets, by service, that the policy baseline has ejected.
	Baseline map[string][]string        `json:"baseline_ejected,omitempty"`
	Queue    map[string]fairqueue.State `json:"queue"`
	// Quarantine lists the requests that crash targets, SuspectRequests counts those that
	// may.
	Quarantine      []quarantine.State `json:"quarantine"`
	SuspectRequests int                `json:"suspect_requests"`
	// Hedges is the state of hedging by service, of services with a route that permits it.
	Hedges      map[string]hedge.State `json:"hedges"`
	PeerTraffic PeerTraffic            `json:"peer_traffic"`
}

// PeerTraffic counts the calls between instances by kind since the process
// started: those made to others and those served for others.
type PeerTraffic struct {
	Made   map[string]drpcpeer.CallCounts `json:"made"`
	Served map[string]drpcpeer.CallCounts `json:"served"`
}

// Dump collects the state of all components. Balancers that the load-balancing
// policy does not use are left out, and so is the control loop if it does not
// answer within 1 s.
func (d *dumper) Dump() any {
	i := d.instance
	dump := Dump{
		Program: "arbutus-entry", Version: version.Number, Instance: i.settings.Instance, Zone: i.settings.AvailabilityZone,
		UptimeSeconds: time.Since(i.startedAt).Seconds(), Goroutines: runtime.NumGoroutine(),
		Leaving: i.lifecycle.leaving.Load(), OpenRequests: i.proxy.Open(), ConfigVersion: i.control.View().Config.Version,
		Limits: i.limiter.Dump(), Evaluator: i.evaluator.Dump(), Follower: i.follower.Dump(), Queue: i.queue.Dump(),
		Hedges: i.hedges.States(), PeerTraffic: PeerTraffic{Made: i.transport.Traffic(), Served: i.servedCalls.Snapshot()},
	}
	dump.Quarantine, dump.SuspectRequests = i.suspects.Dump()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c, err := i.control.Dump(ctx); err == nil {
		dump.Control = &c
	}
	if i.sharedBalancer != nil {
		b := i.sharedBalancer.Dump()
		dump.Balancer = &b
	}
	if i.reservingBalancer != nil {
		r := i.reservingBalancer.Dump()
		dump.Reservations, dump.Dispatcher = &r, i.dispatcher.Dump()
	}
	if i.baselineBalancer != nil {
		dump.Baseline = i.baselineEjected()
	}
	return dump
}

// baselineEjected lists, by service, the targets that the baseline policy has
// ejected.
func (i *Instance) baselineEjected() map[string][]string {
	ejected := map[string][]string{}
	for service, s := range i.control.View().Config.Config.Services {
		for target := range s.Targets {
			if i.baselineBalancer.Ejected(service, target) {
				ejected[service] = append(ejected[service], target)
			}
		}
	}
	return ejected
}
