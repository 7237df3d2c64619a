package explain

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// targetWindow is how long before and after the request lines about its targets count
	// as related to it.
	targetWindow = 10 * time.Second
	// resultWindow is how long before and after an attempt the results of other requests at
	// the same target count as results at that time.
	resultWindow = 2 * time.Second
)

// Explanation joins the line of one request with the lines that it rested on.
type Explanation struct {
	Request *Line `json:"request"`
	// Config is the line about the configuration that decided, nil if no log has it.
	Config *Line `json:"config,omitempty"`
	// Serving, Store and Listing are the instance's last lines before the request about the
	// serving instances, the store, and the listing of the targets; nil if there is none.
	Serving  *Line     `json:"serving,omitempty"`
	Store    *Line     `json:"store,omitempty"`
	Listing  *Line     `json:"listing,omitempty"`
	Attempts []Attempt `json:"attempts"`
	// Further are other lines with the request's id.
	Further []*Line `json:"further,omitempty"`
	Logs    Logs    `json:"logs"`
}

// Attempt is one attempt of the request at a target.
type Attempt struct {
	Target string        `json:"target"`
	Result string        `json:"result"`
	Began  time.Time     `json:"began"`
	Took   time.Duration `json:"took_ns"`
	// Location says whether the target is a preferred one ("home"), in the instance's zone
	// ("near") or in another one ("far").
	Location string `json:"location"`
	Load     int    `json:"load"`
	// FailingPercent is the assumed probability that the target fails a request.
	FailingPercent int           `json:"failing_percent"`
	ListingAge     time.Duration `json:"listing_age_ns"`
	// Limit is this instance's part of the rate that the target accepts, in requests per
	// second, if it limits its rate.
	Limit *float64 `json:"limit,omitempty"`
	// Cold is the same of the service's rate for cold targets, if the target was cold or may
	// have been.
	Cold *float64 `json:"cold,omitempty"`
	// Via is the instance through which the connection to the target led; empty for a direct
	// one.
	Via string `json:"via,omitempty"`
	// HedgeAfter is the age that the first attempt had reached when this one, a hedge, was
	// sent beside it; 0 for others.
	HedgeAfter time.Duration `json:"hedge_after_ns,omitempty"`
	// Known are the lines of this instance about the target, oldest first.
	Known []*Line `json:"known,omitempty"`
	// Answered and Failed count the results of other requests at the target at that time, of
	// all instances.
	Answered int `json:"answered"`
	Failed   int `json:"failed"`
	// FailedFrom are the instances whose requests failed there, sorted.
	FailedFrom []string `json:"failed_from,omitempty"`
}

// NotFoundError reports that no log has a line of the request.
type NotFoundError struct {
	ID   string
	Logs Logs
}

// Error says what was read.
func (e *NotFoundError) Error() string {
	text := fmt.Sprintf("no line of request %q among %d log lines; a line comes up to %s after its request", e.ID, e.Logs.Lines, event.WriteInterval)
	if e.Logs.Dropped > 0 {
		text += fmt.Sprintf("; the instances could not write %d lines", e.Logs.Dropped)
	}
	if e.Logs.Unreadable > 0 {
		text += fmt.Sprintf("; %d lines could not be read", e.Logs.Unreadable)
	}
	return text
}

// Source opens all logs for one pass over them; two are made.
type Source func() (io.ReadCloser, error)

// Explain explains the request with the given id from the logs of the instances. Errors:
// *NotFoundError, *ReadError.
func Explain(id string, logs Source) (*Explanation, error) {
	e := &Explanation{}
	err := e.pass(logs, func(l *Line) {
		switch {
		case l.RequestID != id:
		case l.is(event.RequestEnded) && e.Request == nil:
			e.Request = l
		default:
			e.Further = append(e.Further, l)
		}
	})
	if err != nil {
		return nil, err
	}
	if e.Request == nil {
		return nil, errors.WithStack(&NotFoundError{ID: id, Logs: e.Logs})
	}
	e.Attempts = parseTrail(e.Request)
	if err := e.pass(logs, e.relate); err != nil {
		return nil, err
	}
	for i := range e.Attempts {
		slices.SortStableFunc(e.Attempts[i].Known, func(a, b *Line) int { return a.Time.Compare(b.Time) })
	}
	return e, nil
}

// pass reads all logs once.
func (e *Explanation) pass(logs Source, use func(*Line)) error {
	r, err := logs()
	if err != nil {
		return err
	}
	e.Logs = Logs{}
	return errors.CombineErrors(e.Logs.read(r, use), r.Close())
}

// relate keeps the line if the request rested on it.
func (e *Explanation) relate(l *Line) {
	if l.is(event.RequestEnded) {
		e.countResults(l)
		return
	}
	if l.Instance != e.Request.Instance {
		return
	}
	if l.Target != "" {
		for i := range e.Attempts {
			if e.Attempts[i].Target == l.Target && within(l.Time, e.Request.Time, targetWindow) {
				e.Attempts[i].Known = append(e.Attempts[i].Known, l)
			}
		}
		return
	}
	if l.Time.After(e.Request.Time) {
		return
	}
	switch {
	case l.is(event.ConfigApplied) && l.Version == e.Request.ConfigVersion:
		e.Config = later(e.Config, l)
	case l.is(event.ServingChanged):
		e.Serving = later(e.Serving, l)
	case l.is(event.PlatformUnavailable, event.PlatformAvailable, event.ListingFailed, event.StoreRestored, event.ProcessPaused):
		e.Store = later(e.Store, l)
	case l.is(event.ListingChanged):
		e.Listing = later(e.Listing, l)
	}
}

// countResults counts the results of another request at the targets of this one.
func (e *Explanation) countResults(l *Line) {
	if l.RequestID == e.Request.RequestID {
		return
	}
	for _, other := range parseTrail(l) {
		for i := range e.Attempts {
			a := &e.Attempts[i]
			if other.Target != a.Target || !within(other.Began, a.Began, resultWindow) {
				continue
			}
			if other.Result == answered {
				a.Answered++
				continue
			}
			a.Failed++
			if n, found := slices.BinarySearch(a.FailedFrom, l.Instance); !found {
				a.FailedFrom = slices.Insert(a.FailedFrom, n, l.Instance)
			}
		}
	}
}

// answered is the name of the result of an attempt that the target served.
const answered = "answered"

// parseTrail returns the attempts in the line of a request. They are listed in the order of
// their ends, and the last one ended with the request. All but hedges follow one another.
func parseTrail(l *Line) []Attempt {
	var attempts []Attempt
	for _, text := range strings.Fields(l.Trail) {
		parts := strings.SplitN(text, ":", 4)
		if len(parts) < 3 || parts[0] == "" {
			continue
		}
		us, err := strconv.ParseInt(parts[2], 10, 64)
		if err != nil {
			continue
		}
		a := Attempt{Target: parts[0], Result: parts[1], Took: time.Duration(us) * time.Microsecond}
		if len(parts) == 4 {
			a.parseReason(parts[3])
		}
		attempts = append(attempts, a)
	}
	end := l.Time
	for i := len(attempts) - 1; i >= 0; i-- {
		if attempts[i].HedgeAfter == 0 {
			end = end.Add(-attempts[i].Took)
			attempts[i].Began = end
		}
	}
	for i := range attempts {
		if attempts[i].HedgeAfter > 0 {
			attempts[i].Began = hedgedBegan(attempts, l.Time.Add(-attempts[i].Took)).Add(attempts[i].HedgeAfter)
		}
	}
	return attempts
}

// hedgedBegan returns the beginning of the first attempt that wrote to a target, or otherwise if
// there is none.
func hedgedBegan(attempts []Attempt, otherwise time.Time) time.Time {
	for _, a := range attempts {
		if a.HedgeAfter == 0 && a.Result != "not_sent" {
			return a.Began
		}
	}
	return otherwise
}

// parseReason reads why the target was chosen, for example
// "near,load=1,failing=25,listing=421,limit=0.75". Parts that it does not know are passed over.
func (a *Attempt) parseReason(reason string) {
	location, values, _ := strings.Cut(reason, ",")
	a.Location = location
	for _, value := range strings.Split(values, ",") {
		name, text, _ := strings.Cut(value, "=")
		if name == "via" {
			a.Via = text
		}
		number, err := strconv.ParseFloat(text, 64)
		if err != nil {
			continue
		}
		switch name {
		case "load":
			a.Load = int(number)
		case "failing":
			a.FailingPercent = int(number)
		case "listing":
			a.ListingAge = time.Duration(number) * time.Millisecond
		case "limit":
			a.Limit = &number
		case "cold":
			a.Cold = &number
		case "hedge":
			a.HedgeAfter = time.Duration(number) * time.Millisecond
		}
	}
}

// within reports whether two times are at most d apart.
func within(a, b time.Time, d time.Duration) bool { return a.Sub(b).Abs() <= d }

// later returns the line with the later time; a may be nil.
func later(a, b *Line) *Line {
	if a == nil || b.Time.After(a.Time) {
		return b
	}
	return a
}
