package edge

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Guards against a log line that lacks a field needed to trace a request from its
// id to the cause of its result.
func TestRecord(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := zerolog.New(&out)
	newRecorder(&log).Record(proxy.Record{
		Request:       proxy.Request{ID: "r-1", Team: "red", Route: "shop /pay/", Service: "s1"},
		ConfigVersion: 7, Status: 504, Refusal: refusal.TargetTimeout.Code, Cause: &proxy.AttemptTimeoutError{},
		Elapsed: 1200 * time.Millisecond, Queued: 3 * time.Millisecond,
		Attempts: []proxy.AttemptRecord{
			{Target: "i-1", Result: proxy.Shed, Latency: 2 * time.Millisecond, Reason: "home"},
			{Target: "i-2", Result: proxy.TimedOut, Latency: time.Second, Reason: "far"},
			{Target: "i-3", Result: proxy.Canceled, Latency: time.Millisecond, Reason: "near", HedgeAfter: 412 * time.Millisecond},
		},
	})
	var line map[string]any
	is.NoErr(json.Unmarshal(out.Bytes(), &line))
	want := map[string]any{
		"event": 602.0, "request_id": "r-1", "team": "red", "config_version": 7.0, "status": 504.0, "refusal": "target_timeout",
		"elapsed_us": 1200000.0, "queued_us": 3000.0, "trail": "i-1:shed:2000:home i-2:timed_out:1000000:far i-3:canceled:1000:near,hedge=412", "idempotent": false,
	}
	for field, value := range want {
		is.Equal(line[field], value)
	}
	is.True(line["cause"] != "")
}

// Guards against metrics that docs/edge-metrics.md does not describe.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/edge-metrics.md")
	is.NoErr(err)
	names := []string{metricRequests, metricAttempts, metricLatency, metricBudget, metricBudgetRefused, metricTargetsWithheld, metricMembers, metricEntryLosses, metricZonesEvacuated, metricTargetsCold, metricTargetsRetained, metricConfigVersion, metricConfigAge, metricHeartbeatDelay, metricHedgesSent, metricHedgesWon, metricHedgesWasted, metricHedgesRefused, metricRetries, metricHedges, metricRetriesLeft, metricRetriesMoved}
	for _, name := range names {
		is.True(strings.Contains(string(page), "| `arbutus_"+name+"` |"))
	}
	is.Equal(strings.Count(string(page), "| `arbutus_"), len(names))
}
