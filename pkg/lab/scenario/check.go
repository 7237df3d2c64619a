package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// targetRecords are the records of all targets of the fleet.
type targetRecords struct {
	executions []targetsim.Execution
	// executionCounts counts the executions and received the arrivals, by request id.
	executionCounts map[string]int
	received        map[string]int
	// firstStarted is the earliest start of an execution, by request id.
	firstStarted map[string]time.Time
	// keysSeen counts the requests that reached a target with a caller's key.
	keysSeen int
}

// collectTargetRecords reads the records of all targets.
func (tb *testbed) collectTargetRecords() (*targetRecords, error) {
	e := &targetRecords{executionCounts: map[string]int{}, received: map[string]int{}, firstStarted: map[string]time.Time{}}
	for _, t := range tb.fleet.Targets {
		list, err := experiment.Executions(t)
		if err != nil {
			return nil, err
		}
		for _, x := range list {
			e.executionCounts[x.RequestID]++
			if at, ok := e.firstStarted[x.RequestID]; !ok || x.Started.Before(at) {
				e.firstStarted[x.RequestID] = x.Started
			}
		}
		e.executions = append(e.executions, list...)
		summary, err := experiment.Summary(t)
		if err != nil {
			return nil, err
		}
		e.keysSeen += summary.KeysSeen
		for id, n := range summary.ReceivedByID {
			e.received[id] += n
		}
	}
	return e, nil
}

// finishedRequests returns copies of the records of the requests that have ended.
func (tb *testbed) finishedRequests() []record {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var found []record
	for _, r := range tb.records {
		if !r.endedAt.IsZero() {
			found = append(found, *r)
		}
	}
	return found
}

// checkSafety checks what must hold in every script: no target saw a key, no
// team is over its limit, a non-idempotent request ran and was sent to a
// target at most once, a request that was refused with the outcome "not run"
// reached no target, an answer with status 200 is complete and belongs to its
// request, and the watcher recorded no violation.
func (tb *testbed) checkSafety() error {
	e, err := tb.collectTargetRecords()
	if err != nil {
		return err
	}
	if e.keysSeen > 0 {
		return unmet("targets received the key of the caller in %d requests", e.keysSeen)
	}
	tb.logf("# answers: %v", tb.countAnswers())
	windows := map[string][]experiment.Window{}
	for _, r := range tb.finishedRequests() {
		if err := e.checkRequest(r); err != nil {
			return err
		}
		if e.received[r.id] > 0 {
			until, ran := e.firstStarted[r.id]
			if !ran {
				until = r.endedAt
			}
			windows[r.team] = append(windows[r.team], experiment.Window{From: r.sentAt, Until: until})
		}
	}
	for name, team := range tb.config.Teams {
		if over := experiment.OverLimit(windows[name], team.RatePerSecond, team.Burst); over > 0 {
			return unmet("team %s: %d of %d requests over the limit", name, over, len(windows[name]))
		}
	}
	return tb.watch.result()
}

// countAnswers counts the answers by route, status and refusal code, for the log.
func (tb *testbed) countAnswers() map[string]int {
	counts := map[string]int{}
	for _, r := range tb.finishedRequests() {
		answer := "none"
		if r.err == nil {
			answer = strconv.Itoa(r.status) + " " + string(r.code)
		}
		counts[strings.TrimSpace(r.route+" "+answer)]++
	}
	return counts
}

// checkRequest compares a request and its answer with the records of the targets.
func (e *targetRecords) checkRequest(r record) error {
	switch {
	case r.notRun() && e.received[r.id] > 0:
		return unmet("a request was refused with outcome not-run, but targets received it %d times: %s", e.received[r.id], r.describe())
	case !r.idempotent && (e.executionCounts[r.id] > 1 || e.received[r.id] > 1):
		return unmet("a non-idempotent request ran %d times and was received %d times: %s", e.executionCounts[r.id], e.received[r.id], r.describe())
	case r.err == nil && r.status == 200 && !r.complete:
		return unmet("the answer is incomplete or that of another request: %s", r.describe())
	}
	return nil
}

// checkNoRuns checks that no execution for a team began more than plus after a
// mark, and that at least one began before.
func (tb *testbed) checkNoRuns(team, mark string, plus time.Duration) error {
	after, err := tb.markTime(mark)
	if err != nil {
		return err
	}
	after = after.Add(plus)
	e, err := tb.collectTargetRecords()
	if err != nil {
		return err
	}
	earlier := 0
	for _, x := range e.executions {
		if x.Team != team {
			continue
		}
		if x.Started.After(after) {
			return unmet("request %s of team %s began %s after %s", x.RequestID, team, x.Started.Sub(after), mark)
		}
		earlier++
	}
	if earlier == 0 {
		return unmet("no request of team %s ran at all", team)
	}
	return nil
}

// checkNoCut checks that every caller that connected to an instance received an
// answer, and that at least minimum requests were answered.
func (tb *testbed) checkNoCut(minimum int) error {
	answered := 0
	for _, r := range tb.finishedRequests() {
		if r.err != nil && r.connected {
			return unmet("a request was cut off without an answer: %s", r.describe())
		}
		if r.err == nil {
			answered++
		}
	}
	if answered < minimum {
		return unmet("%d requests were answered, fewer than %d", answered, minimum)
	}
	return nil
}

// checkCount checks how many requests since a mark match the expectation.
func (tb *testbed) checkCount(a *arguments) error {
	e, since, team := parseExpectation(a), a.text("since", ""), a.text("team", "")
	route := a.text("route", "")
	minimum, maximum := a.number("min", 0), a.number("max", -1)
	if err := a.validate(); err != nil {
		return err
	}
	var from time.Time
	if since != "" {
		at, err := tb.markTime(since)
		if err != nil {
			return err
		}
		from = at
	}
	count := 0
	var other string
	for _, r := range tb.finishedRequests() {
		if r.sentAt.Before(from) || !inList(team, r.team) || !inList(route, r.route) {
			continue
		}
		if e.matches(&r) {
			count++
		} else {
			other = r.describe()
		}
	}
	if count < minimum || maximum >= 0 && count > maximum {
		return unmet("%d requests match %+v, expected %d to %d; one that does not match: %s", count, e, minimum, maximum, other)
	}
	return nil
}

// checkQuiet checks that the given targets receive no requests for a while that
// begins plus after a mark. Load must run meanwhile: other targets must receive
// some.
func (tb *testbed) checkQuiet(a *arguments) error {
	targets := tb.targets(a, a.word(1))
	mark, plus, during := a.text("since", ""), a.duration("plus", 0), a.duration("for", 2*time.Second)
	if err := a.validate(); err != nil {
		return err
	}
	from, err := tb.markTime(mark)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(from.Add(plus)))
	before, err := tb.requestsReceived(targets)
	if err != nil {
		return err
	}
	allBefore, err := tb.requestsReceived(tb.fleet.Targets)
	if err != nil {
		return err
	}
	time.Sleep(during)
	after, err := tb.requestsReceived(targets)
	if err != nil {
		return err
	}
	allAfter, err := tb.requestsReceived(tb.fleet.Targets)
	switch {
	case err != nil:
		return err
	case after != before:
		return unmet("%d requests arrived at the targets, from %s after mark %s on", after-before, plus, mark)
	case allAfter == allBefore:
		return unmet("no target of the fleet received requests")
	}
	return nil
}

// requestsReceived counts the requests that the targets have received so far.
func (tb *testbed) requestsReceived(targets []*fleet.Target) (int, error) {
	total := 0
	for _, t := range targets {
		s, err := experiment.Summary(t)
		if err != nil {
			return 0, err
		}
		total += s.Received
	}
	return total, nil
}
