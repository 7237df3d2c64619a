package targetsim

import (
	"maps"
	"regexp"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Outcome says how an execution ended.
type Outcome string

// Outcomes of executions. An execution may have had its effect in each case.
const (
	Running   Outcome = "running"
	Completed Outcome = "completed"
	Failed    Outcome = "failed"
	Truncated Outcome = "truncated"
	Cancelled Outcome = "cancelled"
	Expired   Outcome = "deadline"
)

// Execution is one run of a request. Requests that are shed or that end in the
// queue are not executions; a request received in silent mode is one.
type Execution struct {
	RequestID string    `json:"request_id"`
	Team      string    `json:"team"`
	Method    string    `json:"method"`
	Path      string    `json:"path"`
	Started   time.Time `json:"started"`
	Ended     time.Time `json:"ended,omitzero"`
	Outcome   Outcome   `json:"outcome"`
	// KeySeen tells whether a header, the URL or the body contained a caller key.
	KeySeen bool `json:"key_seen"`
}

// Summary counts requests since Start or the last reset. Probes count only in
// Probes.
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
	// KeysSeen counts requests, probes included, that contained a caller key.
	KeysSeen int `json:"keys_seen"`
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	// DrainingSince is zero unless the target drains.
	DrainingSince time.Time `json:"draining_since,omitzero"`
	// Unrecorded counts executions beyond Options.MaxRecords, which appear in
	// the counts but not in the list of executions.
	Unrecorded int `json:"unrecorded"`
}

// keyPattern matches a caller key, also with an escaped dot. A word boundary
// keeps words that end in "al_" from matching.
var keyPattern = regexp.MustCompile(`(?:^|[^A-Za-z0-9])al_[A-Za-z0-9_-]+(?:\.|%2[eE])[A-Za-z0-9_-]`)

func containsKey(request *fasthttp.Request) bool {
	return keyPattern.Match(request.Header.Header()) || keyPattern.Match(request.Header.RequestURI()) ||
		keyPattern.Match(request.Body())
}

type recorder struct {
	max int

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

func (r *recorder) received(e Execution) {
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

func (r *recorder) probe(keySeen bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Probes++
	if keySeen {
		r.summary.KeysSeen++
	}
}

func (r *recorder) shed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.summary.Shed++
}

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
