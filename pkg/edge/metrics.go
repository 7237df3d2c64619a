package edge

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/metrics"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
)

const (
	metricsPath = "/metrics"
	dumpPath    = "/dump"
)

// dump is the state of an instance for diagnosis by people. It contains no keys.
type dump struct {
	Instance      string                  `json:"instance"`
	Started       time.Time               `json:"started"`
	ConfigVersion int64                   `json:"config_version"`
	Ready         bool                    `json:"ready"`
	Leaving       bool                    `json:"leaving"`
	OpenRequests  int64                   `json:"open_requests"`
	Rate          float64                 `json:"requests_per_second"`
	ListingAgeMS  int64                   `json:"listing_age_ms"`
	Fleet         *fleet.View             `json:"fleet"`
	Teams         map[string]float64      `json:"team_tokens"`
	Targets       []placement.TargetState `json:"targets"`
}

func (i *Instance) dump() *dump {
	d := &dump{
		Instance: i.Settings.Instance, Started: i.started, ConfigVersion: i.follower.View().Config.Version,
		Ready: i.ready(), Leaving: i.leaving.Load(), OpenRequests: i.proxy.Open(), Rate: i.balancer.Rate(),
		ListingAgeMS: (i.clock.SinceBoot() - i.registry.Catalogue().ReadAt).Milliseconds(),
		Fleet:        i.fleet.View(), Teams: map[string]float64{}, Targets: i.balancer.Dump(),
	}
	for team := range i.follower.View().Config.Config.Teams {
		d.Teams[team] = i.limiter.Level(team)
	}
	return d
}

// serveMetrics serves the metrics and the dump until ctx ends.
func (i *Instance) serveMetrics(ctx context.Context, listener net.Listener) error {
	scope, scrape, closer := metrics.New(i.Settings.Instance, i.Settings.AvailabilityZone)
	defer func() { _ = closer.Close() }()
	i.recorder.setScope(scope)
	server := &fasthttp.Server{Logger: daemon.SilentLogger{}, NoDefaultServerHeader: true, Handler: func(c *fasthttp.RequestCtx) {
		switch string(c.Path()) {
		case metricsPath:
			scrape(c)
		case dumpPath:
			i.serveDump(c)
		default:
			c.SetStatusCode(fasthttp.StatusNotFound)
		}
	}}
	go func() {
		<-ctx.Done()
		_ = listener.Close()
	}()
	return errors.WithStack(server.Serve(listener))
}

func (i *Instance) serveDump(c *fasthttp.RequestCtx) {
	body, err := json.MarshalIndent(i.dump(), "", "  ")
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
