package edge

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/bytebudget"
	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/metrics"
	"github.com/arbutuslink/arbutuslink/pkg/placement"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
	"github.com/arbutuslink/arbutuslink/pkg/usage"
)

const (
	metricsPath = "/metrics"
	dumpPath    = "/dump"
)

// dump is the state of an instance for diagnosis by people. It contains no keys.
type dump struct {
	Instance      string             `json:"instance"`
	Started       time.Time          `json:"started"`
	ConfigVersion int64              `json:"config_version"`
	Ready         bool               `json:"ready"`
	Leaving       bool               `json:"leaving"`
	OpenRequests  int64              `json:"open_requests"`
	Rate          float64            `json:"requests_per_second"`
	ListingAgeMS  int64              `json:"listing_age_ms"`
	Fleet         *fleet.View        `json:"fleet"`
	Teams         map[string]float64 `json:"team_tokens"`
	// TeamLimits is the state of the limits of the teams that have had requests.
	TeamLimits map[string]usage.TeamState `json:"team_limits"`
	// BodyBudget is the memory for bodies.
	BodyBudget bytebudget.State        `json:"body_budget"`
	Targets    []placement.TargetState `json:"targets"`
	// PathsLost says that this instance connects to no target, DetoursCarried is the number
	// of connections to targets that it holds for others.
	PathsLost      bool  `json:"paths_lost"`
	DetoursCarried int64 `json:"detours_carried"`
	// Quarantine lists the requests that crash targets, SuspectRequests counts those that
	// may.
	Quarantine      []quarantine.State `json:"quarantine"`
	SuspectRequests int                `json:"suspect_requests"`
}

func (i *Instance) dump() *dump {
	d := &dump{
		Instance: i.Settings.Instance, Started: i.started, ConfigVersion: i.follower.View().Config.Version,
		Ready: i.ready(), Leaving: i.leaving.Load(), OpenRequests: i.proxy.Open(), Rate: i.balancer.Rate(),
		ListingAgeMS: (i.clock.SinceBoot() - i.registry.Catalogue().ReadAt).Milliseconds(),
		Fleet:        i.fleet.View(), Teams: map[string]float64{}, Targets: i.balancer.Dump(), BodyBudget: i.proxy.Budget(),
	}
	d.Quarantine, d.SuspectRequests = i.suspects.Dump()
	d.PathsLost, d.DetoursCarried = i.paths.Lost(), i.detours.Open()
	for team := range i.follower.View().Config.Config.Teams {
		d.Teams[team] = i.limiter.Level(team)
	}
	d.TeamLimits = i.limiter.State()
	return d
}

// serveMetrics serves the metrics and the dump until ctx ends.
func (i *Instance) serveMetrics(ctx context.Context, listener net.Listener) error {
	scope, scrape, closer := metrics.New(i.Settings.Instance, i.Settings.AvailabilityZone)
	defer func() { _ = closer.Close() }()
	i.recorder.setScope(scope)
	go i.reportGauges(ctx, scope)
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

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// reportGauges updates the gauges of the memory for bodies and of the targets that get no
// requests until ctx ends.
func (i *Instance) reportGauges(ctx context.Context, scope tally.Scope) {
	gauge := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{tagState: state}).Gauge(metricBudget)
	}
	limit, used, peak, refused := gauge("limit"), gauge("used"), gauge("peak"), scope.Gauge(metricBudgetRefused)
	for {
		state := i.proxy.Budget()
		limit.Update(float64(state.Limit))
		used.Update(float64(state.Used))
		peak.Update(float64(state.Peak))
		refused.Update(float64(state.Refused))
		for reason, targets := range i.balancer.Obstacles() {
			scope.Tagged(map[string]string{tagReason: reason}).Gauge(metricTargetsWithheld).Update(float64(targets))
		}
		reportTeams(scope, i.limiter.State())
		if i.clock.Sleep(ctx, gaugeInterval) != nil {
			return
		}
	}
}

// reportTeams updates the gauges of the teams' limits.
func reportTeams(scope tally.Scope, teams map[string]usage.TeamState) {
	for name, state := range teams {
		tagged := scope.Tagged(map[string]string{tagTeam: name})
		tagged.Gauge(metricTeamAdmitted).Update(float64(state.Admitted))
		tagged.Gauge(metricTeamRefused).Update(float64(state.Refused))
		tagged.Gauge(metricTeamRefusedInside).Update(float64(state.RefusedInside))
		tagged.Gauge(metricTeamShare).Update(state.Share)
	}
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
