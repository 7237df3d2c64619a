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
	"github.com/arbutuslink/arbutuslink/pkg/limit"
	"github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"
	"github.com/arbutuslink/arbutuslink/pkg/version"
)

type dumper struct{ instance *Instance }

// Dump is the state of a process. It holds no secrets: the configuration is
// given by its version only.
type Dump struct {
	Program       string                          `json:"program"`
	Version       string                          `json:"version"`
	Instance      string                          `json:"instance"`
	Zone          string                          `json:"availability_zone"`
	UptimeSeconds float64                         `json:"uptime_seconds"`
	Goroutines    int                             `json:"goroutines"`
	Leaving       bool                            `json:"leaving"`
	OpenRequests  int64                           `json:"open_requests"`
	ConfigVersion int64                           `json:"config_version"`
	Control       *control.Dump                   `json:"control,omitempty"`
	Limits        limit.Dump                      `json:"limits"`
	Evaluator     health.EvaluatorDump            `json:"evaluator"`
	Follower      health.FollowerDump             `json:"follower"`
	Balancer      *balance.Dump                   `json:"balancer,omitempty"`
	Dispatcher    map[string]dispatch.ServiceDump `json:"dispatcher,omitempty"`
	Reservations  *dispatch.BalancerDump          `json:"reservations,omitempty"`
	Baseline      map[string][]string             `json:"baseline_ejected,omitempty"`
	Queue         map[string]fairqueue.State      `json:"queue"`
	PeerTraffic   PeerTraffic                     `json:"peer_traffic"`
}

// PeerTraffic counts the calls between instances by kind since the start.
type PeerTraffic struct {
	Made   map[string]drpcpeer.CallCounts `json:"made"`
	Served map[string]drpcpeer.CallCounts `json:"served"`
}

// Dump collects the state of all components.
func (d *dumper) Dump() any {
	i := d.instance
	dump := Dump{
		Program: "arbutus-entry", Version: version.Number, Instance: i.settings.Instance, Zone: i.settings.AvailabilityZone,
		UptimeSeconds: time.Since(i.started).Seconds(), Goroutines: runtime.NumGoroutine(),
		Leaving: i.lifecycle.leaving.Load(), OpenRequests: i.proxy.Open(), ConfigVersion: i.control.View().Config.Version,
		Limits: i.limiter.Dump(), Evaluator: i.evaluator.Dump(), Follower: i.follower.Dump(), Queue: i.queue.Dump(),
		PeerTraffic: PeerTraffic{Made: i.transport.Traffic(), Served: i.served.Snapshot()},
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c, err := i.control.Dump(ctx); err == nil {
		dump.Control = &c
	}
	if i.shared != nil {
		b := i.shared.Dump()
		dump.Balancer = &b
	}
	if i.reserving != nil {
		r := i.reserving.Dump()
		dump.Reservations, dump.Dispatcher = &r, i.dispatcher.Dump()
	}
	if i.baseline != nil {
		dump.Baseline = i.baselineEjected()
	}
	return dump
}

func (i *Instance) baselineEjected() map[string][]string {
	ejected := map[string][]string{}
	for service, s := range i.control.View().Config.Config.Services {
		for target := range s.Targets {
			if i.baseline.Ejected(service, target) {
				ejected[service] = append(ejected[service], target)
			}
		}
	}
	return ejected
}
