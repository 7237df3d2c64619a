package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against callers that nobody misses, and against failures unrelated to paths.
func TestPathCutsAreChecked(t *testing.T) {
	began := time.Now()
	cut := pathCut{span{began, began.Add(10 * time.Second)}, []string{"cut"}}
	paused := span{began.Add(6 * time.Second), began.Add(9 * time.Second)}
	for _, row := range []struct {
		name     string
		path     string
		at       time.Duration
		status   int
		violated bool
	}{
		{"refused", "/safe/x", 4 * time.Second, http.StatusServiceUnavailable, true},
		{"served", "/safe/x", 4 * time.Second, http.StatusOK, false},
		{"over the team's rate", "/safe/x", 4 * time.Second, http.StatusTooManyRequests, false},
		{"before the bound", "/safe/x", 2 * time.Second, http.StatusServiceUnavailable, false},
		{"crashes targets", "/safe" + deadlyMark + "1", 4 * time.Second, http.StatusServiceUnavailable, false},
		{"half of the targets ask for pauses", "/safe/x", 7 * time.Second, http.StatusServiceUnavailable, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			is := is.New(t)
			tb := &testbed{pathCuts: []pathCut{cut}, pauseSpans: []span{paused}}
			var requests []*request
			for range 20 {
				sentAt := began.Add(row.at)
				requests = append(requests, &request{ip: "cut", path: row.path, status: row.status, sentAt: sentAt, endedAt: sentAt.Add(time.Millisecond)})
				sentAt = began.Add(4 * time.Second)
				requests = append(requests, &request{ip: "other", path: "/safe/x", status: http.StatusOK, sentAt: sentAt, endedAt: sentAt.Add(time.Millisecond)})
			}
			tb.checkPathCuts(requests)
			is.Equal(len(tb.violations) > 0, row.violated)
		})
	}
}
