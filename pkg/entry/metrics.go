package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/hedge"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Names of metrics and their tags; docs/metrics.md describes them.
const (
	metricRequests  = "requests"
	metricRefusals  = "refusals"
	metricAttempts  = "attempts"
	metricRetries   = "retries"
	metricEjections = "ejections"
	metricTargets   = "targets"

	metricHedgesSent    = "hedges_sent"
	metricHedgesWon     = "hedges_won"
	metricHedgesWasted  = "hedges_wasted_slot_seconds"
	metricHedgesRefused = "hedges_refused"

	tagResult  = "result"
	tagCode    = "code"
	tagRoute   = "route"
	tagService = "service"
	tagState   = "state"
	tagReason  = "reason"
)

// Values of tagResult for requests; resultName returns those for attempts.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
)

// series identifies one time series: a metric and the values of its one or two
// tags. publishTargets, which handles a single metric, leaves metric empty.
type series struct{ metric, firstValue, secondValue string }

// counters holds the counters of the data path. Looking up a counter in a tally
// scope takes a lock, so they are cached in a map that is read without one.
type counters struct {
	scope tally.Scope
	// bySeries maps series to tally.Counter.
	bySeries sync.Map
}

func newCounters() *counters { return &counters{scope: tally.NoopScope} }

// add adds n to the counter of a series whose tags have the given names;
// secondTag is empty for a metric with one tag.
func (c *counters) add(n int64, s series, firstTag, secondTag string) {
	counter, ok := c.bySeries.Load(s)
	if !ok {
		counter = c.counterOf(s, firstTag, secondTag)
	}
	counter.(tally.Counter).Inc(n)
}

// counterOf returns the counter of a series. The scope returns the same
// counter to concurrent callers.
func (c *counters) counterOf(s series, firstTag, secondTag string) any {
	tags := map[string]string{firstTag: s.firstValue}
	if secondTag != "" {
		tags[secondTag] = s.secondValue
	}
	counter, _ := c.bySeries.LoadOrStore(s, c.scope.Tagged(tags).Counter(s.metric))
	return counter
}

// countRequest counts one request of a caller by its response. route is the route
// of an authenticated request and noRoute of any other.
func (c *counters) countRequest(route string, h *fasthttp.ResponseHeader) {
	result := resultAnswered
	if code := h.Peek(refusal.CodeHeader); len(code) > 0 {
		result = resultRefused
		c.add(1, series{metric: metricRefusals, firstValue: string(code)}, tagCode, "")
	}
	c.add(1, series{metric: metricRequests, firstValue: route, secondValue: result}, tagRoute, tagResult)
}

// noRoute is the value of tagRoute for requests to the directory, requests
// without a valid key, and requests that match no route.
const noRoute = "none"

// countProxied counts a request that the proxy has answered. The route is looked
// up a second time because the proxy does not report it. The lookup is skipped for
// requests refused before their key was validated, because its time grows with the
// length of the path.
func (i *Instance) countProxied(ctx *fasthttp.RequestCtx, path string) {
	h := &ctx.Response.Header
	switch refusal.Code(h.Peek(refusal.CodeHeader)) {
	case refusal.KeyMissing.Code, refusal.KeyInvalid.Code, refusal.KeyMisplaced.Code, refusal.RequestInvalid.Code,
		refusal.RouteUnknown.Code, refusal.InstanceNotFresh.Code:
		i.counters.countRequest(noRoute, h)
		return
	}
	route := noRoute
	if match, ok := i.control.View().Config.Match(string(ctx.Host()), string(ctx.Method()), path); ok {
		route = match.ID
	}
	i.counters.countRequest(route, h)
}

// countingBalancer counts the attempts and retries of the data path.
type countingBalancer struct {
	proxy.Balancer
	counters *counters
	hedges   *hedger
}

// Acquire chooses a target and wraps the attempt so that its result is counted.
func (b *countingBalancer) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	attempt, err := b.Balancer.Acquire(r, tried)
	if err != nil {
		b.hedges.acquired(r, len(tried) == 0, nil, err)
		return nil, err
	}
	counting := &countingAttempt{Attempt: attempt, counters: b.counters, route: r.Route}
	if r.HedgePercent > 0 {
		counting.service, counting.hedges = r.Service, b.hedges
	}
	b.hedges.acquired(r, len(tried) == 0, counting, nil)
	return counting, nil
}

// TakeRetry takes a retry from the route's budget and counts it if granted.
func (b *countingBalancer) TakeRetry(r proxy.Request) bool {
	granted := b.takeRetry(r)
	if !granted {
		b.hedges.recordShortage(r.Service)
	}
	return granted
}

// takeRetry is TakeRetry for a hedge, whose refusal is no shortage.
func (b *countingBalancer) takeRetry(r proxy.Request) bool {
	granted := b.Balancer.TakeRetry(r)
	if granted {
		b.counters.add(1, series{metric: metricRetries, firstValue: r.Route}, tagRoute, "")
	}
	return granted
}

// countingAttempt counts the result of an attempt by route.
type countingAttempt struct {
	proxy.Attempt
	counters *counters
	route    string
	// hedges is nil unless the route permits hedges.
	hedges  *hedger
	service string
}

// Withdrawn reports whether the target has gone out of use since the choice.
func (a *countingAttempt) Withdrawn() bool { return proxy.IsWithdrawn(a.Attempt) }

// Done counts the result and passes it on to the balancer.
func (a *countingAttempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	a.counters.add(1, series{metric: metricAttempts, firstValue: a.route, secondValue: resultName(result)}, tagRoute, tagResult)
	if a.hedges != nil {
		a.hedges.ended(a.service, a)
	}
	a.Attempt.Done(result, latency, load)
}

// resultName returns the value of tagResult for the result of an attempt.
func resultName(r proxy.Result) string {
	switch r {
	case proxy.Answered:
		return resultAnswered
	case proxy.ServerError:
		return "server_error"
	case proxy.Shed:
		return "shed"
	case proxy.TimedOut:
		return "timed_out"
	case proxy.Broken:
		return "broken"
	case proxy.NotSent:
		return "not_sent"
	case proxy.Canceled:
		return "canceled"
	default:
		return "unspecified"
	}
}

// metricsUpdateInterval is the time between two updates of the gauges and of the
// ejection counters.
const metricsUpdateInterval = time.Second

// publishMetrics updates the gauges from the state of the components and counts
// ejections, until ctx ends.
func (i *Instance) publishMetrics(ctx context.Context, scope tally.Scope) error {
	published := map[series]bool{}
	var previous health.FollowerDump
	for {
		view := i.control.View()
		scope.Gauge("config_version").Update(float64(view.Config.Version))
		scope.Gauge("membership_version").Update(float64(view.Membership.Version))
		scope.Gauge("members").Update(float64(len(view.Membership.Members)))
		scope.Gauge("fresh").Update(boolValue(i.control.MayServe()))
		scope.Gauge("member").Update(boolValue(view.Member))
		scope.Gauge("zones_evacuated").Update(float64(len(view.Config.Config.EvacuatedZones)))
		scope.Gauge("open_requests").Update(float64(i.proxy.Open()))
		hedges := i.hedges.States()
		for service, state := range i.queue.Dump() {
			publishHedges(scope, service, hedges[service])
			tagged := scope.Tagged(map[string]string{tagService: service})
			tagged.Gauge("queue_waiting").Update(float64(state.Waiting))
			tagged.Gauge("queue_limit").Update(state.Limit)
		}
		next := i.follower.Dump()
		for service, n := range ejectionsBetween(previous, next) {
			i.counters.add(n, series{metric: metricEjections, firstValue: service}, tagService, "")
		}
		publishTargets(scope, next, published)
		previous = next
		if err := i.clock.Sleep(ctx, metricsUpdateInterval); err != nil {
			return errors.WithStack(err)
		}
	}
}

// publishHedges updates the gauges of hedges of one service.
func publishHedges(scope tally.Scope, service string, state hedge.State) {
	tagged := scope.Tagged(map[string]string{tagService: service})
	tagged.Gauge(metricHedgesSent).Update(float64(state.Sent))
	tagged.Gauge(metricHedgesWon).Update(float64(state.Won))
	tagged.Gauge(metricHedgesWasted).Update(state.WastedSeconds)
	for _, reason := range hedge.Refusals() {
		name := reason.String()
		scope.Tagged(map[string]string{tagService: service, tagReason: name}).Gauge(metricHedgesRefused).Update(float64(state.Refused[name]))
	}
}

// publishTargets updates the gauges of targets per service and state. Gauges that
// were published before and have no targets now are set to 0; published collects
// all that were ever set.
func publishTargets(scope tally.Scope, dump health.FollowerDump, published map[series]bool) {
	counts := map[series]int{}
	for service, followed := range dump.Services {
		for _, state := range followed.Targets {
			counts[series{firstValue: service, secondValue: state}]++
		}
	}
	for s := range counts {
		published[s] = true
	}
	for s := range published {
		scope.Tagged(map[string]string{tagService: s.firstValue, tagState: s.secondValue}).Gauge(metricTargets).Update(float64(counts[s]))
	}
}

// ejectionsBetween counts, for each service, the targets that are ejected in after
// and were neither ejected nor in trial in before. A target that fails its trial
// has already been counted.
func ejectionsBetween(before, after health.FollowerDump) map[string]int64 {
	counts := map[string]int64{}
	for service, followed := range after.Services {
		for target, state := range followed.Targets {
			earlier := before.Services[service].Targets[target]
			if state == stateEjected && earlier != stateEjected && earlier != stateTrial {
				counts[service]++
			}
		}
	}
	return counts
}

// Names of target states in health.FollowerDump.
const (
	stateEjected = "ejected"
	stateTrial   = "trial"
)

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
