package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Names of metrics and tags; docs/metrics.md describes them.
const (
	metricRequests  = "requests"
	metricRefusals  = "refusals"
	metricAttempts  = "attempts"
	metricRetries   = "retries"
	metricEjections = "ejections"
	metricTargets   = "targets"

	tagResult  = "result"
	tagCode    = "code"
	tagRoute   = "route"
	tagService = "service"
	tagState   = "state"
)

// Results of requests.
const (
	resultAnswered = "answered"
	resultRefused  = "refused"
)

// series names one counter: a metric and the values of its one or two tags.
type series struct{ name, first, second string }

// counters are the counters of the data path. Lookups of a scope by tags take a
// lock, so the counters are kept in a map that is read without one.
type counters struct {
	scope tally.Scope
	// known maps series to tally.Counter.
	known sync.Map
}

func newCounters() *counters { return &counters{scope: tally.NoopScope} }

// add counts n for the metric with the given values of its tags.
func (c *counters) add(n int64, s series, firstTag, secondTag string) {
	counter, ok := c.known.Load(s)
	if !ok {
		counter = c.create(s, firstTag, secondTag)
	}
	counter.(tally.Counter).Inc(n)
}

// create returns the counter of a series. The scope gives the same counter to
// all who ask for it at once.
func (c *counters) create(s series, firstTag, secondTag string) any {
	tags := map[string]string{firstTag: s.first}
	if secondTag != "" {
		tags[secondTag] = s.second
	}
	counter, _ := c.known.LoadOrStore(s, c.scope.Tagged(tags).Counter(s.name))
	return counter
}

// request counts one request of a caller by its response. route is the route
// of an authenticated request and noRoute of any other.
func (c *counters) request(route string, h *fasthttp.ResponseHeader) {
	result := resultAnswered
	if code := h.Peek(refusal.CodeHeader); len(code) > 0 {
		result = resultRefused
		c.add(1, series{name: metricRefusals, first: string(code)}, tagCode, "")
	}
	c.add(1, series{name: metricRequests, first: route, second: result}, tagRoute, tagResult)
}

// noRoute is the route of requests to the directory, of those without a valid
// key, and of those that match no route.
const noRoute = "none"

// countForwarded counts a request that the proxy has answered. The route is
// looked up again, because the proxy does not tell it. Requests refused before
// their key was found valid are left out of the lookup, whose time grows with
// the path.
func (i *Instance) countForwarded(ctx *fasthttp.RequestCtx, path string) {
	h := &ctx.Response.Header
	switch refusal.Code(h.Peek(refusal.CodeHeader)) {
	case refusal.KeyMissing.Code, refusal.KeyInvalid.Code, refusal.KeyMisplaced.Code, refusal.RequestInvalid.Code,
		refusal.RouteUnknown.Code, refusal.InstanceNotFresh.Code:
		i.counters.request(noRoute, h)
		return
	}
	route := noRoute
	if match, ok := i.control.View().Config.Match(string(ctx.Host()), string(ctx.Method()), path); ok {
		route = match.ID
	}
	i.counters.request(route, h)
}

// countingBalancer counts the attempts and retries of the data path.
type countingBalancer struct {
	proxy.Balancer
	counters *counters
}

// Acquire chooses a target.
func (b *countingBalancer) Acquire(r proxy.Request, tried []string) (proxy.Attempt, error) {
	attempt, err := b.Balancer.Acquire(r, tried)
	if err != nil {
		return nil, err
	}
	return &countingAttempt{Attempt: attempt, counters: b.counters, route: r.Route}, nil
}

// TakeRetry spends the route's retry budget.
func (b *countingBalancer) TakeRetry(r proxy.Request) bool {
	granted := b.Balancer.TakeRetry(r)
	if granted {
		b.counters.add(1, series{name: metricRetries, first: r.Route}, tagRoute, "")
	}
	return granted
}

type countingAttempt struct {
	proxy.Attempt
	counters *counters
	route    string
}

// Done reports the result.
func (a *countingAttempt) Done(result proxy.Result, latency time.Duration, load proxy.Load) {
	a.counters.add(1, series{name: metricAttempts, first: a.route, second: resultName(result)}, tagRoute, tagResult)
	a.Attempt.Done(result, latency, load)
}

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

const metricsInterval = time.Second

// publishMetrics updates the gauges that are derived from state, and counts
// ejections, until ctx ends.
func (i *Instance) publishMetrics(ctx context.Context, scope tally.Scope) error {
	published := map[series]bool{}
	var previous health.FollowerDump
	for {
		view := i.control.View()
		scope.Gauge("config_version").Update(float64(view.Config.Version))
		scope.Gauge("membership_version").Update(float64(view.Membership.Version))
		scope.Gauge("members").Update(float64(len(view.Membership.Members)))
		scope.Gauge("fresh").Update(oneIf(i.control.MayServe()))
		scope.Gauge("member").Update(oneIf(view.Member))
		scope.Gauge("open_requests").Update(float64(i.proxy.Open()))
		for service, state := range i.queue.Dump() {
			tagged := scope.Tagged(map[string]string{tagService: service})
			tagged.Gauge("queue_waiting").Update(float64(state.Waiting))
			tagged.Gauge("queue_limit").Update(state.Limit)
		}
		next := i.follower.Dump()
		for service, n := range ejectionsBetween(previous, next) {
			i.counters.add(n, series{name: metricEjections, first: service}, tagService, "")
		}
		publishTargets(scope, next, published)
		previous = next
		if err := i.clock.Sleep(ctx, metricsInterval); err != nil {
			return errors.WithStack(err)
		}
	}
}

// publishTargets updates the number of targets in each state. Gauges that were
// published before and have no targets now become 0.
func publishTargets(scope tally.Scope, dump health.FollowerDump, published map[series]bool) {
	counts := map[series]int{}
	for service, followed := range dump.Services {
		for _, state := range followed.Targets {
			counts[series{first: service, second: state}]++
		}
	}
	for s := range counts {
		published[s] = true
	}
	for s := range published {
		scope.Tagged(map[string]string{tagService: s.first, tagState: s.second}).Gauge(metricTargets).Update(float64(counts[s]))
	}
}

// ejectionsBetween counts, for each service, the targets that are ejected in
// the later state and were not withheld from traffic in the earlier one. A
// target that fails its trial has been counted already.
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

// States of targets in dumps.
const (
	stateEjected = "ejected"
	stateTrial   = "trial"
)

func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
