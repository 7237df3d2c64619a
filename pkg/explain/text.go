package explain

import (
	"fmt"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// resultTexts says what the result of an attempt means.
var resultTexts = map[string]string{
	answered:       "it answered",
	"server_error": "it answered with an error, so it ran the request",
	"shed":         "it refused the request without running it",
	"misplaced":    "another target answered at its address and did not run the request",
	"timed_out":    "it gave no answer in time; it may have run the request",
	"broken":       "the connection broke or the answer was malformed; it may have run the request",
	"not_sent":     "the connection failed before the request was sent",
	"canceled":     "the caller left",
}

// locationTexts says why a target was near at hand.
var locationTexts = map[string]string{
	"home": "a target that this instance prefers",
	"near": "a target of the zone that another instance prefers",
	"far":  "a target in another zone",
}

// Failure probabilities, in percent, that attempts report for what was known of a target;
// docs/OPERATIONS.md explains them.
const (
	unknownPercent   = 25
	suspectedPercent = 35
)

// Text returns the explanation as sentences.
func (e *Explanation) Text() string {
	var b strings.Builder
	e.writeRequest(&b)
	e.writeState(&b)
	for i := range e.Attempts {
		e.writeAttempt(&b, i)
	}
	if len(e.Attempts) == 0 {
		b.WriteString("No target got the request.\n")
	}
	for _, l := range e.Further {
		fmt.Fprintf(&b, "%s also logged %d %s%s.\n", l.Instance, l.Event, l.Name, suffix(": ", l.Error))
	}
	if e.Logs.Dropped+e.Logs.Unreadable > 0 {
		fmt.Fprintf(&b, "Incomplete: the instances could not write %d log lines, and %d could not be read.\n", e.Logs.Dropped, e.Logs.Unreadable)
	}
	return b.String()
}

func (e *Explanation) writeRequest(b *strings.Builder) {
	r := e.Request
	fmt.Fprintf(b, "Request %s ended at %s on %s with status %d after %s.\n", r.RequestID, r.Time.UTC().Format("15:04:05.000"), r.Instance, r.Status,
		microseconds(r.ElapsedUS))
	kind := "may run at one target at most"
	if r.Idempotent {
		kind = "may be repeated"
	}
	fmt.Fprintf(b, "Team %s, route %s, service %s; it %s.\n", orNone(r.Team), orNone(r.Route), orNone(r.Service), kind)
	if r.Refusal != "" {
		fmt.Fprintf(b, "The instance refused it: %s%s.\n", r.Refusal, suffix(", ", meaning(r.Refusal)))
	}
	if r.Cause != "" {
		fmt.Fprintf(b, "Cause: %s.\n", r.Cause)
	}
	if waited := microseconds(r.QueuedUS); waited >= time.Millisecond {
		fmt.Fprintf(b, "It waited %s before the first attempt: the targets that it could use were full, failing or limited.\n", waited)
	}
}

// writeState says on which state of the instance the decision rested.
func (e *Explanation) writeState(b *strings.Builder) {
	r := e.Request
	if e.Config != nil {
		fmt.Fprintf(b, "Configuration %d decided; the instance applied it %s before, from %s.\n", r.ConfigVersion, e.ago(e.Config), orNone(e.Config.From))
	} else {
		fmt.Fprintf(b, "Configuration %d decided; no log says when the instance applied it.\n", r.ConfigVersion)
	}
	if e.Listing != nil {
		text := ""
		if e.Listing.Unsettled {
			text = ", and missing ones were retained"
		}
		fmt.Fprintf(b, "Its list of targets last changed %s before: %d targets%s.\n", e.ago(e.Listing), e.Listing.Targets, text)
	}
	if l := e.Store; l != nil && !l.is(event.PlatformAvailable) {
		fmt.Fprintf(b, "Its last line about the store is %s before: %d %s%s.\n", e.ago(l), l.Event, l.Name, suffix(": ", l.Error))
	}
	if e.Serving != nil {
		fmt.Fprintf(b, "The set of serving instances last changed %s before.\n", e.ago(e.Serving))
	}
}

func (e *Explanation) writeAttempt(b *strings.Builder, i int) {
	a := &e.Attempts[i]
	result := resultTexts[a.Result]
	if result == "" {
		result = a.Result
	}
	fmt.Fprintf(b, "Attempt %d: %s, %s, got it %s before the end; %s after %s.\n", i+1, a.Target, locationTexts[a.Location], rounded(e.Request.Time.Sub(a.Began)),
		result, rounded(a.Took))
	fmt.Fprintf(b, "  Chosen with load %d and a failure probability of %d%% (%s), from a listing %s old.\n", a.Load, a.FailingPercent, knowledge(a.FailingPercent), a.ListingAge)
	if a.Cold != nil {
		fmt.Fprintf(b, "  The target was cold or may have been; this instance could send it %.3g requests/s.\n", *a.Cold)
	}
	if a.HedgeAfter > 0 {
		fmt.Fprintf(b, "  A hedge: it ran beside the first attempt, which had not responded for %s.\n", a.HedgeAfter)
	}
	if a.Limit != nil {
		fmt.Fprintf(b, "  The target limited its rate; this instance could send it %.3g requests/s.\n", *a.Limit)
	}
	if a.Via != "" {
		fmt.Fprintf(b, "  The connection led through %s, because this instance could not connect to the target or to any.\n", a.Via)
	}
	fmt.Fprintf(b, "  Other requests there within %s: %d answered, %d not%s.\n", resultWindow, a.Answered, a.Failed, suffix(", from ", strings.Join(a.FailedFrom, ", ")))
	for _, l := range a.Known {
		relation := "before"
		if l.Time.After(e.Request.Time) {
			relation = "after"
		}
		fmt.Fprintf(b, "  %s %s the end: %d %s%s.\n", rounded(e.Request.Time.Sub(l.Time).Abs()), relation, l.Event, l.Name, suffix(", after the result ", l.Result))
	}
}

// meaning returns the meaning of a refusal's code, or nothing for an unknown one.
func meaning(code string) string {
	for _, kind := range refusal.Kinds() {
		if string(kind.Code) == code {
			return kind.Meaning
		}
	}
	return ""
}

// knowledge says what a failure probability tells.
func knowledge(percent int) string {
	switch {
	case percent >= suspectedPercent:
		return "suspected, and chosen because the others were full or to test it"
	case percent >= unknownPercent:
		return "nothing was known of it"
	default:
		return "it had answered before"
	}
}

// ago returns how long before the end of the request the line was written.
func (e *Explanation) ago(l *Line) time.Duration { return rounded(e.Request.Time.Sub(l.Time)) }

func microseconds(us int64) time.Duration { return rounded(time.Duration(us) * time.Microsecond) }

func rounded(d time.Duration) time.Duration { return d.Round(100 * time.Microsecond) }

// suffix returns text behind a separator, or nothing without a text.
func suffix(separator, text string) string {
	if text == "" {
		return ""
	}
	return separator + text
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
