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
	"github.com/arbutuslink/arbutuslink/pkg/discovery"
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
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
	Instance      string    `json:"instance"`
	Started       time.Time `json:"started"`
	ConfigVersion int64     `json:"config_version"`
	// ConfigNewestHeard is the newest version that another instance or the store has named,
	// ConfigAgeMS the time since ConfigVersion was last confirmed to be the newest.
	ConfigNewestHeard int64 `json:"config_newest_heard"`
	ConfigAgeMS       int64 `json:"config_age_ms"`
	// Evacuations is absent while no store and no instance has told the evacuated zones.
	Evacuations  *evacuationsDump   `json:"evacuations,omitempty"`
	Ready        bool               `json:"ready"`
	Leaving      bool               `json:"leaving"`
	OpenRequests int64              `json:"open_requests"`
	Rate         float64            `json:"requests_per_second"`
	ListingAgeMS int64              `json:"listing_age_ms"`
	Fleet        *fleet.View        `json:"fleet"`
	Roster       fleet.RosterState  `json:"roster"`
	Teams        map[string]float64 `json:"team_tokens"`
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
	// Retention has the targets that are in use although they are missing from the listing.
	Retention discovery.Retention `json:"retention"`
	// HedgePercent and HedgeRoutes are the limits on hedges, Hedges the state by service.
	HedgePercent float64                `json:"hedge_percent"`
	HedgeRoutes  map[string]float64     `json:"hedge_routes"`
	Hedges       map[string]hedge.State `json:"hedges"`
}

// evacuationsDump is the set of evacuated zones, as of a version of the store.
type evacuationsDump struct {
	Zones        []string `json:"zones"`
	StoreEra     int64    `json:"store_era"`
	StoreVersion int64    `json:"store_version"`
}

func (i *Instance) dump() *dump {
	d := &dump{
		Instance: i.Settings.Instance, Started: i.started, ConfigVersion: i.follower.View().Config.Version,
		Ready: i.ready(), Leaving: i.leaving.Load(), OpenRequests: i.proxy.Open(), Rate: i.balancer.Rate(),
		ConfigNewestHeard: i.follower.NewestHeard(), ConfigAgeMS: i.follower.Age().Milliseconds(),
		ListingAgeMS: (i.clock.SinceBoot() - i.registry.Catalogue().ReadAt).Milliseconds(),
		Fleet:        i.fleet.View(), Roster: i.fleet.RosterState(), Teams: map[string]float64{}, Targets: i.balancer.Dump(), BodyBudget: i.proxy.Budget(),
	}
	if set := i.follower.Evacuations(); set != nil {
		d.Evacuations = &evacuationsDump{Zones: set.Zones(), StoreEra: set.Version().Era, StoreVersion: set.Version().Number}
	}
	d.Quarantine, d.SuspectRequests = i.suspects.Dump()
	limits := i.balancer.HedgeLimits()
	d.HedgePercent, d.HedgeRoutes, d.Hedges = limits.Percent, limits.Routes, i.balancer.Hedges()
	d.Retries = i.balancer.Retries()
	d.PathsLost, d.DetoursCarried = i.paths.Lost(), i.detours.Open()
	for team := range i.follower.View().Config.Config.Teams {
		d.Teams[team] = i.limiter.Level(team)
	}
	d.Retention = i.registry.Retention()
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

// reportGauges updates the gauges of the memory for bodies, of the members of the fleet, of the
// evacuated zones and of the targets that get no requests until ctx ends.
func (i *Instance) reportGauges(ctx context.Context, scope tally.Scope) {
	gauge := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{tagState: state}).Gauge(metricBudget)
	}
	limit, used, peak, refused := gauge("limit"), gauge("used"), gauge("peak"), scope.Gauge(metricBudgetRefused)
	evacuated := scope.Gauge(metricZonesEvacuated)
	configVersion := func(of string) tally.Gauge {
		return scope.Tagged(map[string]string{tagOf: of}).Gauge(metricConfigVersion)
	}
	applied, heard := configVersion("applied"), configVersion("heard")
	members := func(state string) tally.Gauge {
		return scope.Tagged(map[string]string{tagState: state}).Gauge(metricMembers)
	}
	known, unheard, entryLosses := members("known"), members("unheard"), scope.Gauge(metricEntryLosses)
	retained := scope.Gauge(metricTargetsRetained)
	configAge, heartbeatDelay := scope.Gauge(metricConfigAge), scope.Gauge(metricHeartbeatDelay)
	for {
		state := i.proxy.Budget()
		limit.Update(float64(state.Limit))
		used.Update(float64(state.Used))
		peak.Update(float64(state.Peak))
		refused.Update(float64(state.Refused))
		roster := i.fleet.RosterState()
		known.Update(float64(roster.Known))
		unheard.Update(float64(len(roster.Unheard)))
		entryLosses.Update(float64(roster.EntryLosses))
		evacuated.Update(float64(len(i.follower.Evacuations().Zones())))
		applied.Update(float64(i.follower.View().Config.Version))
		heard.Update(float64(i.follower.NewestHeard()))
		configAge.Update(i.follower.Age().Seconds())
		heartbeatDelay.Update(i.fleet.HeartbeatDelay().Seconds())
		for reason, targets := range i.balancer.Obstacles() {
			scope.Tagged(map[string]string{tagReason: reason}).Gauge(metricTargetsWithheld).Update(float64(targets))
		}
		cold, unsure := i.balancer.ColdTargets()
		scope.Tagged(map[string]string{tagState: "cold"}).Gauge(metricTargetsCold).Update(float64(cold))
		scope.Tagged(map[string]string{tagState: "unsure"}).Gauge(metricTargetsCold).Update(float64(unsure))
		retained.Update(float64(len(i.registry.Retention().Targets)))
		reportHedges(scope, i.balancer.Hedges())
		reportRetries(scope, i.balancer.Retries())
		if i.clock.Sleep(ctx, gaugeInterval) != nil {
			return
		}
	}
}

// reportHedges updates the gauges of hedges.
func reportHedges(scope tally.Scope, hedges map[string]hedge.State) {
	for name, h := range hedges {
		service := scope.Tagged(map[string]string{tagService: name})
		service.Gauge(metricHedgesSent).Update(float64(h.Sent))
		service.Gauge(metricHedgesWon).Update(float64(h.Won))
		service.Gauge(metricHedgesWasted).Update(h.WastedSeconds)
		for reason, count := range h.Refused {
			scope.Tagged(map[string]string{tagService: name, tagReason: reason}).Gauge(metricHedgesRefused).Update(float64(count))
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
