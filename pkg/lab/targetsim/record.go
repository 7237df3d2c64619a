package targetsim

import (
	"maps"
	"regexp"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome is the state or the result of an execution.
type Outcome string

// Outcomes of executions. The request may have taken effect in every case.
const (
	// Running means that the execution has not ended.
	Running Outcome = "running"
	// Completed requests got a complete response with status 200.
	Completed Outcome = "completed"
	// Failed requests got status 500.
	Failed Outcome = "failed"
	// Truncated requests got half of the response body.
	Truncated Outcome = "truncated"
	// Cancelled requests got no response: the caller or the target closed the
	// connection.
	Cancelled Outcome = "cancelled"
	// Expired requests got status 504 when their deadline passed.
	Expired Outcome = "deadline"
)

// Execution is the record of one request that was given a slot. Requests that are
// shed or that end in the queue are not executions; a request received while
// Faults.Unresponsive is set is one.
type Execution struct {
	RequestID string    `json:"request_id"`
	Team      string    `json:"team"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
	Ended     time.Time `json:"ended,omitzero"`
	Outcome   Outcome   `json:"outcome"`
	// KeySeen reports whether a header, the URL or the body contained a caller key.
	KeySeen bool `json:"key_seen"`
}

// Summary counts requests since Start or the last Reset. Probes count only in
// Probes and KeysSeen.
type Summary struct {
	// Received counts every request that arrived; ReceivedByID counts them by
	// request id, for those that have one.
	Received     int            `json:"received"`
	ReceivedByID map[string]int `json:"received_by_id"`
	Executed     int            `json:"executed"`
	// ExecutedByID and ExecutedByTeam count executions by request id and team.
	ExecutedByID   map[string]int `json:"executed_by_id"`
	ExecutedByTeam map[string]int `json:"executed_by_team"`
	Shed           int            `json:"shed"`
	Probes         int            `json:"probes"`
	// KeysSeen counts the requests, including probes, that contained a caller key.
	KeysSeen int `json:"keys_seen"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// DrainingSince is zero unless the target is draining.
	DrainingSince time.Time `json:"draining_since,omitzero"`
	// Unrecorded counts the executions beyond Options.MaxRecords. They are
	// included in the other counts but not in the list of executions.
	Unrecorded int `json:"unrecorded"`
}

// keyPattern matches a caller key, also one with a percent-encoded dot. The
// leading boundary excludes words that contain "al_", such as final_report.pdf.
var keyPattern = regexp.MustCompile(`(?:^|[^A-Za-z0-9])al_[A-Za-z0-9_-]+(?:\.|%2[eE])[A-Za-z0-9_-]`)

func containsKey(request *fasthttp.Request) bool {
	return keyPattern.Match(request.Header.Header()) || keyPattern.Match(request.Header.RequestURI()) ||
		keyPattern.Match(request.Body())
}

// recorder counts requests and keeps the list of executions.
type recorder struct {
	max int // maximum number of executions in the list

	mu         sync.Mutex
	summary    Summary
	executions []*Execution
}

func newRecorder(maxRecords int) *recorder {
	r := &recorder{max: maxRecords}
	r.reset()
	return r
}

func (r *recorder) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = nil
	r.summary = Summary{
		ReceivedByID: map[string]int{}, ExecutedByID: map[string]int{}, ExecutedByTeam: map[string]int{},
	}
}

func (r *recorder) countReceived(e Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Received++
	if e.RequestID != "" {
		r.summary.ReceivedByID[e.RequestID]++
	}
	if e.KeySeen {
		r.summary.KeysSeen++
	}
}

func (r *recorder) countProbe(keySeen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Probes++
	if keySeen {
		r.summary.KeysSeen++
	}
}

func (r *recorder) countShed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Shed++
}

// begin records the start of e and returns the record to pass to end.
func (r *recorder) begin(e Execution) *Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Started, e.Outcome = time.Now(), Running
	r.summary.Executed++
	r.summary.ExecutedByTeam[e.Team]++
	if e.RequestID != "" {
		r.summary.ExecutedByID[e.RequestID]++
	}
	if len(r.executions) >= r.max {
		r.summary.Unrecorded++
	} else {
		r.executions = append(r.executions, &e)
	}
	return &e
}

func (r *recorder) end(e *Execution, outcome Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Ended, e.Outcome = time.Now(), outcome
}

// list returns copies of the executions of one request, or of all when id is empty.
func (r *recorder) list(id string) []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Execution{}
	for _, e := range r.executions {
		if id == "" || e.RequestID == id {
			found = append(found, *e)
		}
	}
	return found
}

func (r *recorder) counts() Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.summary
	s.ReceivedByID = maps.Clone(s.ReceivedByID)
	s.ExecutedByID = maps.Clone(s.ExecutedByID)
	s.ExecutedByTeam = maps.Clone(s.ExecutedByTeam)
	return s
}
