package experiment

import (
	"net/http"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// Window is the time in which a request must have been admitted: after the
// caller sent it and before it reached a target.
type Window struct{ From, Until time.Time }

// OverLimit counts the requests for which a single token bucket with the given
// rate (tokens per second) and burst has no token inside their windows.
func OverLimit(windows []Window, rate float64, burst int) int64 {
	converted := make([]window, len(windows))
	for i, w := range windows {
		converted[i] = window{from: w.From, until: w.Until}
	}
	return overLimit(converted, rate, burst)
}

// Executions returns the recorded executions of a target. Errors: *CallError,
// *APIError.
func Executions(t *fleet.Target) ([]targetsim.Execution, error) {
	var list []targetsim.Execution
	err := call(http.MethodGet, "http://"+t.Admin+"/admin/executions", nil, nil, &list)
	return list, err
}

// Summary returns the counters of a target. Errors: *CallError, *APIError.
func Summary(t *fleet.Target) (targetsim.Summary, error) {
	var s targetsim.Summary
	err := call(http.MethodGet, "http://"+t.Admin+"/admin/summary", nil, nil, &s)
	return s, err
}

// SetDraining switches a target's drain mode on or off. Errors: *CallError, *APIError.
func SetDraining(t *fleet.Target, draining bool) error {
	return call(http.MethodPost, "http://"+t.Admin+"/admin/drain", nil, map[string]bool{"draining": draining}, nil)
}
