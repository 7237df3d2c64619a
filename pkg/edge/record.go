package edge

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
)

// Names of metrics and tags; docs/edge-metrics.md describes them.
const (
	metricRequests = "edge_requests"
	metricAttempts = "edge_attempts"
	metricLatency  = "edge_request_seconds"

	metricBudget        = "edge_body_budget_bytes"
	metricBudgetRefused = "edge_body_budget_refused"

	metricTargetsWithheld = "edge_targets_withheld"
	metricMembers         = "edge_members"
	metricEntryLosses     = "edge_roster_entry_losses"
	metricZonesEvacuated  = "edge_zones_evacuated"
	metricTargetsCold     = "edge_targets_cold"
	metricTargetsRetained = "edge_targets_retained"
	metricConfigVersion   = "edge_config_version"
	metricConfigAge       = "edge_config_age_seconds"
	metricHeartbeatDelay  = "edge_heartbeat_delay_seconds"

	metricHedgesSent    = "edge_hedges_sent"
	metricHedgesWon     = "edge_hedges_won"
	metricHedgesWasted  = "edge_hedges_wasted_slot_seconds"
	metricHedgesRefused = "edge_hedges_refused"

	metricRetries      = "edge_retries"
	metricHedges       = "edge_hedges"
	metricRetriesLeft  = "edge_retries_left"
	metricRetriesMoved = "edge_retries_moved"

	tagPriority = "priority"

	tagStatus  = "status"
	tagCode    = "code"
	tagService = "service"
	tagResult  = "result"
	tagState   = "state"
	tagReason  = "reason"
	tagOf      = "of"
)

// latencyBuckets are the upper bounds of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond,
	400 * time.Millisecond, 800 * time.Millisecond, 1600 * time.Millisecond, 3200 * time.Millisecond, 6400 * time.Millisecond,
}

// recorder logs and counts requests. It implements proxy.Recorder.
type recorder struct {
	log *zerolog.Logger

	mu    sync.Mutex
	scope tally.Scope
	// counters and histograms cache the scope's metrics, to avoid its lock and
	// allocations for each request.
	counters   map[string]tally.Counter
	histograms map[string]tally.Histogram
}

func newRecorder(log *zerolog.Logger) *recorder {
	return &recorder{log: log, scope: tally.NoopScope, counters: map[string]tally.Counter{}, histograms: map[string]tally.Histogram{}}
}

// setScope sends the metrics to scope from now on. Earlier counts are lost.
func (r *recorder) setScope(scope tally.Scope) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scope = scope
	clear(r.counters)
	clear(r.histograms)
}

// Record logs one line for a finished request and counts it.
func (r *recorder) Record(record proxy.Record) {
	r.count(record)
	line := event.RequestEnded.Log(r.log)
	if line == nil {
		return
	}
	line.Str("request_id", record.Request.ID).Str("team", record.Request.Team).Str("route", record.Request.Route).
		Str("service", record.Request.Service).Bool("idempotent", record.Request.Idempotent).
		Int64("config_version", record.ConfigVersion).Int("status", record.Status).
		Int64("elapsed_us", record.Elapsed.Microseconds()).Int64("queued_us", record.Queued.Microseconds())
	if record.Refusal != "" {
		line.Str("refusal", string(record.Refusal))
	}
	if record.Cause != nil {
		line.Str("cause", record.Cause.Error())
	}
	if len(record.Attempts) > 0 {
		line.Str("trail", formatAttempts(record.Attempts))
	}
	line.Send()
}

// formatAttempts lists the attempts as target:result:microseconds:reason, separated by
// spaces. The reason of a hedge says how old the first attempt was in ms.
func formatAttempts(attempts []proxy.AttemptRecord) string {
	var b strings.Builder
	for i, t := range attempts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(t.Target)
		b.WriteByte(':')
		b.WriteString(t.Result.String())
		b.WriteByte(':')
		b.WriteString(strconv.FormatInt(t.Latency.Microseconds(), 10))
		b.WriteByte(':')
		b.WriteString(t.Reason)
		if t.Via != "" {
			b.WriteString(",via=" + t.Via)
		}
		if t.HedgeAfter > 0 {
			b.WriteString(",hedge=" + strconv.FormatInt(max(1, t.HedgeAfter.Milliseconds()), 10))
		}
	}
	return b.String()
}

// count updates the metrics with one request and its attempts.
func (r *recorder) count(record proxy.Record) {
	service := record.Request.Service
	if service == "" {
		service = "none"
	}
	code := string(record.Refusal)
	if code == "" {
		code = "none"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	status := strconv.Itoa(record.Status)
	r.counter(metricRequests, map[string]string{tagService: service, tagStatus: status, tagCode: code}, service+status+code).Inc(1)
	for _, t := range record.Attempts {
		result := t.Result.String()
		r.counter(metricAttempts, map[string]string{tagService: service, tagResult: result}, service+"/"+result).Inc(1)
	}
	h := r.histograms[service]
	if h == nil {
		h = r.scope.Tagged(map[string]string{tagService: service}).Histogram(metricLatency, latencyBuckets)
		r.histograms[service] = h
	}
	h.RecordDuration(record.Elapsed)
}

// counter returns the counter of one set of tags. The caller holds mu.
func (r *recorder) counter(name string, tags map[string]string, key string) tally.Counter {
	c := r.counters[name+key]
	if c == nil {
		c = r.scope.Tagged(tags).Counter(name)
		r.counters[name+key] = c
	}
	return c
}
