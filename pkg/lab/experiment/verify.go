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
	bucket := newCentralBucket(t)
	var count int64
	for _, at := range sent {
		if bucket.admit(at) {
			count++
		}
	}
	return count
}

// centralBucket is one bucket with a team's rate and burst.
type centralBucket struct {
	team   config.Team
	tokens float64
	last   time.Time
}

func newCentralBucket(t config.Team) *centralBucket {
	return &centralBucket{team: t, tokens: float64(t.Burst)}
}

// admit spends a token at the given time, which must not decrease.
func (b *centralBucket) admit(at time.Time) bool {
	if !b.last.IsZero() {
		b.tokens = min(float64(b.team.Burst), b.tokens+at.Sub(b.last).Seconds()*b.team.RatePerSecond)
	}
	b.last = at
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens--
	return true
}

// queue spends a token at the given time, or takes one that is still to come,
// up to a second ahead, as a request that waits for its token does. It tells
// whether the token was there.
func (b *centralBucket) queue(at time.Time) bool {
	if b.admit(at) {
		return true
	}
	if b.tokens > -b.team.RatePerSecond {
		b.tokens--
	}
	return false
}

// markEntitled sorts the records by the time of sending and marks those that
// need not wait for a token at one central bucket of their team.
func (r *Run) markEntitled(records []record) {
	sort.Slice(records, func(i, j int) bool { return records[i].sent.Before(records[j].sent) })
	buckets := map[string]*centralBucket{}
	for i := range records {
		rec := &records[i]
		if buckets[rec.team] == nil {
			buckets[rec.team] = newCentralBucket(r.Config.Teams[rec.team])
		}
		rec.entitled = buckets[rec.team].queue(rec.sent)
	}
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
