package edge

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
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
	// BodyBudget is the memory for bodies.
	BodyBudget bytebudget.State        `json:"body_budget"`
	Targets    []placement.TargetState `json:"targets"`
	// Retries holds the retry accounts; none without a rule in the settings.
	Retries []placement.RetryState `json:"retries"`
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
	d.Retries = i.balancer.Retries()
	d.PathsLost, d.DetoursCarried = i.paths.Lost(), i.detours.Open()
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
		reportRetries(scope, i.balancer.Retries())
		if i.clock.Sleep(ctx, gaugeInterval) != nil {
			return
		}
	}
}

// reportRetries updates the gauges of the retry accounts.
func reportRetries(scope tally.Scope, states []placement.RetryState) {
	for _, s := range states {
		service := scope.Tagged(map[string]string{tagService: s.Service})
		update := func(name string, tags map[string]string, value float64) {
			service.Tagged(tags).Gauge(name).Update(value)
		}
		update(metricRetriesLeft, map[string]string{tagState: "level"}, s.Level)
		update(metricRetriesLeft, map[string]string{tagState: "capacity"}, s.Capacity)
		for priority := range s.Counts.Granted {
			label := strconv.Itoa(priority)
			update(metricRetries, map[string]string{tagPriority: label, tagResult: "granted"}, float64(s.Counts.Granted[priority]))
			update(metricRetries, map[string]string{tagPriority: label, tagResult: "refused"}, float64(s.Counts.Refused[priority]))
			update(metricRetries, map[string]string{tagPriority: label, tagResult: "overloaded"}, float64(s.Counts.Overloaded[priority]))
		}
		update(metricHedges, map[string]string{tagResult: "granted"}, float64(s.Counts.Hedges))
		update(metricHedges, map[string]string{tagResult: "refused"}, float64(s.Counts.HedgesRefused))
		update(metricRetriesMoved, map[string]string{tagState: "lent"}, s.Counts.Lent)
		update(metricRetriesMoved, map[string]string{tagState: "borrowed"}, s.Counts.Borrowed)
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
