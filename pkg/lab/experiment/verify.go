package experiment

import (
	"net/http"
	"sort"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// evidence is what all targets recorded about requests.
type evidence struct {
	// received maps request ids to the start of their first execution at a target,
	// or to the time of collection for a received request without a recorded
	// execution.
	received map[string]time.Time
	// executions counts executions by request id.
	executions map[string]int
	// keysSeen counts requests and probes that reached a target with a caller key.
	keysSeen int64
}

// collectEvidence reads the records of all targets.
func (r *Run) collectEvidence() (*evidence, error) {
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

// window is the time in which a request must have been admitted: after the
// caller sent it and before it reached a target.
type window struct{ from, until time.Time }

// countEntitled counts the requests that a single token bucket of the team would
// have admitted at the time they were sent.
func countEntitled(sent []time.Time, t config.Team) int64 {
	sort.Slice(sent, func(i, j int) bool { return sent[i].Before(sent[j]) })
	bucket := newCentralBucket(t)
	var count int64
	for _, at := range sent {
		if bucket.admit(at) {
			count++
		}
	}
	return count
}

// centralBucket is a single token bucket with a team's rate and burst, the
// reference for the distributed limit of the fleet.
type centralBucket struct {
	team   config.Team
	tokens float64
	last   time.Time
}

func newCentralBucket(t config.Team) *centralBucket {
	return &centralBucket{team: t, tokens: float64(t.Burst)}
}

// admit takes a token at the given time if there is one. The time must not
// decrease between calls.
func (b *centralBucket) admit(at time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(float64(b.team.Burst), b.tokens+at.Sub(b.last).Seconds()*b.team.RatePerSecond)
	}
	b.last = at
	if b.tokens < 1-roundingTolerance {
		return false
	}
	b.tokens--
	return true
}

// admitOrReserve takes a token at the given time, or reserves a future one up to
// a second ahead, as a request that waits for its token does. It reports whether
// a token was available at once.
func (b *centralBucket) admitOrReserve(at time.Time) bool {
	if b.admit(at) {
		return true
	}
	if b.tokens > -b.team.RatePerSecond {
		b.tokens--
	}
	return false
}

// markEntitled sorts the records by the time of sending, and marks those that a
// central bucket of their team admits without a wait.
func (r *Run) markEntitled(records []record) {
	sort.Slice(records, func(i, j int) bool { return records[i].sent.Before(records[j].sent) })
	buckets := map[string]*centralBucket{}
	for i := range records {
		rec := &records[i]
		if buckets[rec.team] == nil {
			buckets[rec.team] = newCentralBucket(r.Config.Teams[rec.team])
		}
		rec.entitled = buckets[rec.team].admitOrReserve(rec.sent)
	}
}

// countViolations compares the results that callers saw with the evidence of the
// targets.
func (r *Run) countViolations(records []record, e *evidence) report.Safety {
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
