package scenario

import (
	"strconv"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/targetsim"
)

// evidence is what the targets recorded.
type evidence struct {
	executions []targetsim.Execution
	// runs counts the executions per request, received the arrivals.
	runs     map[string]int
	received map[string]int
	// first is the first start of an execution per request.
	first    map[string]time.Time
	keysSeen int
}

func (w *world) collect() (*evidence, error) {
	e := &evidence{runs: map[string]int{}, received: map[string]int{}, first: map[string]time.Time{}}
	for _, t := range w.fleet.Targets {
		list, err := experiment.Executions(t)
		if err != nil {
			return nil, err
		}
		for _, x := range list {
			e.runs[x.RequestID]++
			if at, ok := e.first[x.RequestID]; !ok || x.Started.Before(at) {
				e.first[x.RequestID] = x.Started
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

// finished returns copies of the records whose request has ended.
func (w *world) finished() []record {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []record
	for _, r := range w.records {
		if !r.ended.IsZero() {
			found = append(found, *r)
		}
	}
	return found
}

// checkSafety checks what must hold in every script: no target saw a key, no
// team is over its limit, a non-idempotent request ran and was sent to a
// target at most once, a refusal that says "not run" is true, an answer with
// status 200 is complete and belongs to its request, and what the watcher saw.
func (w *world) checkSafety() error {
	e, err := w.collect()
	if err != nil {
		return err
	}
	if e.keysSeen > 0 {
		return unmet("targets saw keys in %d requests", e.keysSeen)
	}
	w.logf("# answers: %v", w.summary())
	windows := map[string][]experiment.Window{}
	for _, r := range w.finished() {
		if err := e.judge(r); err != nil {
			return err
		}
		if e.received[r.id] > 0 {
			until, ran := e.first[r.id]
			if !ran {
				until = r.ended
			}
			windows[r.team] = append(windows[r.team], experiment.Window{From: r.sent, Until: until})
		}
	}
	for name, team := range w.config.Teams {
		if over := experiment.OverLimit(windows[name], team.RatePerSecond, team.Burst); over > 0 {
			return unmet("team %s: %d of %d requests over the limit", name, over, len(windows[name]))
		}
	}
	return w.watch.result()
}

// summary counts the answers by route, status and code, for the log.
func (w *world) summary() map[string]int {
	counts := map[string]int{}
	for _, r := range w.finished() {
		answer := "none"
		if r.err == nil {
			answer = strconv.Itoa(r.status) + " " + string(r.code)
		}
		counts[strings.TrimSpace(r.route+" "+answer)]++
	}
	return counts
}

func (e *evidence) judge(r record) error {
	switch {
	case r.notRun() && e.received[r.id] > 0:
		return unmet("the refusal says not run, and targets received it %d times: %s", e.received[r.id], r.describe())
	case !r.idempotent && (e.runs[r.id] > 1 || e.received[r.id] > 1):
		return unmet("a non-idempotent request ran %d times and was received %d times: %s", e.runs[r.id], e.received[r.id], r.describe())
	case r.err == nil && r.status == 200 && !r.whole:
		return unmet("the answer is not that of the request: %s", r.describe())
	}
	return nil
}

// checkNoRuns checks that no execution of a team began after a mark.
func (w *world) checkNoRuns(team, mark string, plus time.Duration) error {
	after, err := w.markOf(mark)
	if err != nil {
		return err
	}
	after = after.Add(plus)
	e, err := w.collect()
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

// checkNoCut checks that no caller that reached an instance was left without
// a complete answer.
func (w *world) checkNoCut(minimum int) error {
	answered := 0
	for _, r := range w.finished() {
		if r.err != nil && r.dialed {
			return unmet("a request was cut: %s", r.describe())
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

// checkCount counts the records since a mark that meet the expectation.
func (w *world) checkCount(a *arguments) error {
	e, since, team := expected(a), a.text("since", ""), a.text("team", "")
	route := a.text("route", "")
	least, most := a.number("min", 0), a.number("max", -1)
	if err := a.finish(); err != nil {
		return err
	}
	var from time.Time
	if since != "" {
		at, err := w.markOf(since)
		if err != nil {
			return err
		}
		from = at
	}
	count := 0
	var other string
	for _, r := range w.finished() {
		if r.sent.Before(from) || !among(team, r.team) || !among(route, r.route) {
			continue
		}
		if e.met(&r) {
			count++
		} else {
			other = r.describe()
		}
	}
	if count < least || most >= 0 && count > most {
		return unmet("%d requests match %+v, expected %d to %d; another: %s", count, e, least, most, other)
	}
	return nil
}

// checkQuiet checks that a target receives nothing from the time that is plus
// after a mark, for a while; load must run meanwhile.
func (w *world) checkQuiet(a *arguments) error {
	targets := w.targets(a, a.word(1))
	mark, plus, during := a.text("since", ""), a.duration("plus", 0), a.duration("for", 2*time.Second)
	if err := a.finish(); err != nil {
		return err
	}
	from, err := w.markOf(mark)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(from.Add(plus)))
	before, err := w.arrivals(targets)
	if err != nil {
		return err
	}
	all, err := w.arrivals(w.fleet.Targets)
	if err != nil {
		return err
	}
	time.Sleep(during)
	after, err := w.arrivals(targets)
	if err != nil {
		return err
	}
	allAfter, err := w.arrivals(w.fleet.Targets)
	switch {
	case err != nil:
		return err
	case after != before:
		return unmet("%d requests arrived from %s after %s on", after-before, plus, mark)
	case allAfter == all:
		return unmet("no target received requests")
	}
	return nil
}

func (w *world) arrivals(targets []*fleet.Target) (int, error) {
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
