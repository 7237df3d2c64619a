package experiment

import (
	"net/http"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// evidence is what the targets recorded.
type evidence struct {
	// received maps request ids to the time of their first arrival at a target.
	received   map[string]time.Time
	executions map[string]int
	keysSeen   int64
}

func (r *Run) collect() (*evidence, error) {
	e := &evidence{received: map[string]time.Time{}, executions: map[string]int{}}
	for _, t := range r.Fleet.Targets {
		var list []targetsim.Execution
		if err := call(http.MethodGet, "http://"+t.Admin+"/admin/executions", nil, nil, &list); err != nil {
			return nil, err
		}
		for _, x := range list {
			e.executions[x.RequestID]++
			if at, ok := e.received[x.RequestID]; !ok || x.Started.Before(at) {
				e.received[x.RequestID] = x.Started
			}
		}
		var summary targetsim.Summary
		if err := call(http.MethodGet, "http://"+t.Admin+"/admin/summary", nil, nil, &summary); err != nil {
			return nil, err
		}
		e.keysSeen += int64(summary.KeysSeen)
		for id := range summary.ReceivedByID {
			if _, ok := e.received[id]; !ok {
				e.received[id] = time.Now()
			}
		}
	}
	return e, nil
}

// window is the time in which a request must have been admitted: after it was
// sent and before it reached a target.
type window struct{ from, until time.Time }

// entitled counts the requests that one bucket would have admitted when they
// were sent.
func entitled(sent []time.Time, t config.Team) int64 {
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	tokens := float64(t.Burst)
	var last time.Time
	var count int64
	for i, at := range sent {
		if i > 0 {
			tokens = min(float64(t.Burst), tokens+at.Sub(last).Seconds()*t.RatePerSecond)
		}
		last = at
		if tokens >= 1-rounding {
			tokens--
			count++
		}
	}
	return count
}

func (r *Run) safety(records []record, e *evidence) report.Safety {
	s := report.Safety{KeysSeen: e.keysSeen}
	windows := map[string][]window{}
	for i := range records {
		rec := &records[i]
		at, ran := e.received[rec.id]
		if ran {
			windows[rec.team] = append(windows[rec.team], window{rec.sent, at})
		}
		if rec.notRun() && ran {
			s.RanAfterNotRun++
		}
		if !rec.idempotent {
			s.MaxExecutions = max(s.MaxExecutions, int64(e.executions[rec.id]))
		}
	}
	for team, w := range windows {
		t := r.Config.Teams[team]
		s.OverLimit += overLimit(w, t.RatePerSecond, t.Burst)
	}
	return s
}
