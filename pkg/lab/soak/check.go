package soak

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// timestampTolerance bounds the delay between an event at a target or a
	// caller and its recorded time stamp, on a busy machine.
	timestampTolerance = 250 * time.Millisecond
	// quotaWindow, quotaExcessRatio and quotaSlackRequests define the platform's
	// limit for the requests of a team: in any window at most
	// (rate x window + burst) x (1 + excess) + slack.
	quotaWindow        = 5 * time.Second
	quotaExcessRatio   = 0.1
	quotaSlackRequests = 20
	// maxUnrecordedAge is the age up to which a run without a recorded request is no
	// violation. It tolerates requests in progress at the end of the soak run.
	maxUnrecordedAge = 6*time.Second + callerTimeout
)

// check compares the records of callers and targets with the guarantees. It adds
// counts to the report and violations to the testbed.
func (c *callers) check(tb *testbed, report *Report) {
	runs := tb.targetRuns()
	byID := map[string][]upstreamsim.Execution{}
	for _, r := range runs {
		byID[r.ID] = append(byID[r.ID], r)
	}
	report.Requests, report.Runs = len(c.requests), len(runs)
	requestsByID := map[string]*request{}
	for _, r := range c.requests {
		requestsByID[r.id] = r
		switch {
		case r.status == http.StatusOK:
			report.Served++
		case statusMeansNotRun(r.status):
			report.Refused++
		}
		tb.checkRequest(r, byID[r.id])
	}
	zones := tb.targetZones()
	for _, r := range runs {
		tb.checkRun(r, requestsByID[r.ID], zones)
	}
	for _, team := range teams {
		tb.checkLimit(team, runs)
	}
	tb.checkRates(runs, requestsByID)
	tb.checkDeadlyRequests(runs, requestsByID)
	tb.checkPathCuts(c.requests)
	tb.checkStatements()
}

// targetRuns returns the runs at all targets, those that have ended included.
func (tb *testbed) targetRuns() []upstreamsim.Execution {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var runs []upstreamsim.Execution
	for _, t := range append(slices.Clone(tb.targets), tb.removedTargets...) {
		runs = append(runs, t.Executions()...)
	}
	return runs
}

// targetZones returns the zone of each target, of those that have ended, too.
func (tb *testbed) targetZones() map[string]string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	zones := map[string]string{}
	for _, t := range append(slices.Clone(tb.targets), tb.removedTargets...) {
		zones[t.ID] = t.Zone
	}
	return zones
}

// statusMeansNotRun reports whether a response with this status promises that no
// target ran the request.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// checkRequest compares a request with the runs of it at all targets.
func (tb *testbed) checkRequest(r *request, runs []upstreamsim.Execution) {
	if !r.safe && len(runs) > 1 {
		tb.addViolation("at most once", "%s ran at %s and %s", r.id, runs[0].Target, runs[1].Target)
	}
	if !r.safe && len(runs) > 0 && statusMeansNotRun(r.status) {
		tb.addViolation("refused requests do not run", "%s was answered %d and ran at %s", r.id, r.status, runs[0].Target)
	}
	if r.status == http.StatusOK {
		tb.checkAnswer(r, runs)
	}
	if tb.lostToGracefulStop(r) {
		tb.addViolation("a graceful stop loses no response", "%s at %s: %v", r.id, r.ip, r.err)
	}
}

// checkAnswer checks that the response is complete and was sent by a target that
// ran the request.
func (tb *testbed) checkAnswer(r *request, runs []upstreamsim.Execution) {
	if !bytes.Equal(r.responseBody, upstreamsim.Body(r.id)) {
		tb.addViolation("responses are complete and match the request", "%s got %d of %d bytes, or a different body", r.id, len(r.responseBody), len(upstreamsim.Body(r.id)))
	}
	for _, run := range runs {
		if run.Answered && upstreamsim.Signature(run.Target, r.id) == r.signature {
			return
		}
	}
	tb.addViolation("responses are complete and match the request", "%s has the signature %q, which no target sent with a successful response", r.id, r.signature)
}

// checkRun compares a run at a target with its request; r is nil if no caller
// recorded a request with this id.
func (tb *testbed) checkRun(run upstreamsim.Execution, r *request, zones map[string]string) {
	if run.KeySeen {
		tb.addViolation("no target sees a key", "%s at %s", run.ID, run.Target)
	}
	if r == nil {
		if time.Since(run.StartedAt) > maxUnrecordedAge {
			tb.addViolation("only callers' requests run", "%s at %s", run.ID, run.Target)
		}
		return
	}
	method := http.MethodPost
	if r.safe {
		method = http.MethodGet
	}
	if run.Tenant != r.team || run.Path != r.path || run.Method != method {
		tb.addViolation("requests are forwarded unchanged", "%s ran as %s %s of team %s", run.ID, run.Method, run.Path, run.Tenant)
	}
	tb.checkService(run, r)
	tb.checkConfigChanges(run, r)
	tb.checkDrain(run, r)
	tb.checkDeparture(run, r)
	tb.checkEvacuations(run, r, zones[run.Target])
}

// checkService checks that only the moving route reaches the second service.
func (tb *testbed) checkService(run upstreamsim.Execution, r *request) {
	onMovingRoute := strings.HasPrefix(r.path, movingRoute)
	if run.Service != serviceA && !onMovingRoute {
		tb.addViolation("only services of the route run a request", "%s ran at %s of service %s", run.ID, run.Target, run.Service)
	}
}

// checkConfigChanges checks that withdrawn keys and moved routes have taken effect
// at the instance that handled the request.
func (tb *testbed) checkConfigChanges(run upstreamsim.Execution, r *request) {
	service := ""
	var since time.Time
	for _, c := range tb.changes {
		late := r.sentAt.Sub(c.submittedAt) > maxApplyTime+timestampTolerance
		if late && c.key == r.key && c.key != "" && tb.faultFree(r.ip, c.submittedAt, r.sentAt, allowShort) {
			tb.addViolation("withdrawn keys are refused", "%s ran %.2f s after its key was withdrawn", r.id, r.sentAt.Sub(c.submittedAt).Seconds())
		}
		if late && c.movedSet {
			service, since = serviceA, c.submittedAt
			if c.moved {
				service = serviceB
			}
		}
		if !late && c.movedSet {
			// The change may not be in force yet, so both services are allowed.
			service = ""
		}
	}
	if strings.HasPrefix(r.path, movingRoute) && service != "" && run.Service != service && tb.faultFree(r.ip, since, r.sentAt, allowShort) {
		tb.addViolation("route changes take effect", "%s ran at %s %.2f s after its route moved", r.id, run.Service, r.sentAt.Sub(since).Seconds())
	}
}

// checkDrain checks that no new request reached a target that had announced its
// drain.
func (tb *testbed) checkDrain(run upstreamsim.Execution, r *request) {
	for _, t := range tb.removedTargets {
		if t.ID != run.Target || t.drainingSince.IsZero() {
			continue
		}
		if delay := run.StartedAt.Sub(t.drainingSince); delay > maxApplyTime+timestampTolerance && tb.faultFree(r.ip, t.drainingSince, run.StartedAt, !allowShort) &&
			r.sentAt.Sub(t.drainingSince) > maxApplyTime+timestampTolerance {
			tb.addViolation("draining targets receive no new requests", "%s reached %s %.2f s after it began to drain", r.id, t.ID, delay.Seconds())
		}
	}
}

// allowShort says that a bound holds also while the processor time of an instance is short.
const allowShort = true

// faultFree reports whether an instance and the store were without faults from
// faultMargin before the event until the request. The bounds on time hold only
// then. With mayBeShort, a lack of processor time is no fault.
func (tb *testbed) faultFree(ip string, event, request time.Time, mayBeShort bool) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	from := event.Add(-faultMargin)
	if overlaps(tb.storeFaultSpans, from, request) {
		return false
	}
	for _, i := range tb.instances {
		if i.ip == ip && (overlaps(i.faultSpans, from, request) || (!mayBeShort && (overlaps(i.shortSpans, from, request) || overlaps(i.restartSpans, from, request)))) {
			return false
		}
	}
	return true
}

// overlaps reports whether any of the spans, each extended by faultMargin at its
// end, overlaps an interval.
func overlaps(spans []span, from, to time.Time) bool {
	return slices.ContainsFunc(spans, func(s span) bool {
		return s.from.Before(to) && (s.to.IsZero() || s.to.Add(faultMargin).After(from))
	})
}

// lostToGracefulStop reports whether a request that was written to an instance got
// no response because of a graceful stop, while the instance had no other fault.
// The fault span of the stop itself begins within 50 ms of the stop and does not
// count.
func (tb *testbed) lostToGracefulStop(r *request) bool {
	if r.err == nil || !r.written || r.endedAt.Sub(r.sentAt) > callerTimeout-timestampTolerance {
		return false
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, i := range tb.instances {
		if i.ip != r.ip {
			continue
		}
		for n, s := range i.gracefulStopSpans {
			duringStop := r.sentAt.After(s.from) && r.endedAt.Before(s.from.Add(gracePeriod))
			otherFault := slices.ContainsFunc(i.faultSpans, func(t span) bool {
				return t.from.Before(r.endedAt) && (t.to.IsZero() || t.to.Add(faultMargin).After(r.sentAt)) && t.from.Sub(i.gracefulStopSpans[n].from).Abs() > 50*time.Millisecond
			}) || overlaps(i.shortSpans, r.sentAt, r.endedAt)
			if duringStop && !otherFault {
				return true
			}
		}
	}
	return false
}

// checkLimit checks that a team exceeded its rate and burst in no window. Each
// request counts once, however often it ran.
func (tb *testbed) checkLimit(team string, runs []upstreamsim.Execution) {
	var arrivals []time.Time
	seen := map[string]bool{}
	for _, r := range runs {
		if r.Tenant == team && !seen[r.ID] {
			seen[r.ID] = true
			arrivals = append(arrivals, r.StartedAt)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	first := 0
	for n, t := range arrivals {
		for t.Sub(arrivals[first]) > quotaWindow {
			first++
		}
		bound := tb.maxRate(team, arrivals[first])*(quotaWindow.Seconds()+1)*(1+quotaExcessRatio) + quotaSlackRequests
		if got := n - first + 1; float64(got) > bound {
			tb.addViolation("rate and burst limits hold", "team %s ran %d requests in %s, allowed %.0f", team, got, quotaWindow, bound)
			return
		}
	}
}

// maxRate is the highest limit of a team that may be in force in a window that
// begins at the given time; its burst equals its rate. A lowered limit applies to
// windows that begin after it must be in force, regardless of faults.
func (tb *testbed) maxRate(team string, window time.Time) float64 {
	highest, previous := 0, initialRate
	for _, c := range tb.changes {
		if c.team != team {
			continue
		}
		if c.submittedAt.Add(maxApplyTime + faultMargin + quotaWindow + timestampTolerance).After(window) {
			highest = max(highest, previous, c.rate)
		}
		previous = c.rate
	}
	return float64(max(highest, previous))
}

// lastEnd returns the time at which the last request ended.
func lastEnd(requests []*request) (end time.Time) {
	for _, r := range requests {
		if r.endedAt.After(end) {
			end = r.endedAt
		}
	}
	return end
}

// unusedTargets returns the targets to which routes lead and that got no request since the
// given time.
func (tb *testbed) unusedTargets(since time.Time) (unused []string) {
	used := map[string]bool{}
	for _, r := range tb.targetRuns() {
		if r.StartedAt.After(since) {
			used[r.Target] = true
		}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, t := range tb.targets {
		if !used[t.ID] && (t.Service == serviceA || tb.config.moved) {
			unused = append(unused, t.ID)
		}
	}
	return unused
}

// checkTargetsUsed checks that all targets to which routes lead got requests since the given
// time: none is lost to the fleet. A target that nobody needed, because its instances had no
// callers and the others found free ones, must get some from callers of every instance.
func (tb *testbed) checkTargetsUsed(ctx context.Context, c *callers, since time.Time) {
	if len(tb.unusedTargets(since)) > 0 {
		c.visitAll(ctx, tb, recoveryWindow)
	}
	for _, id := range tb.unusedTargets(since) {
		tb.addViolation("listed targets are used", "%s got no request in the last %s", id, time.Since(since).Round(time.Millisecond))
	}
}

// checkRecovery checks that enough requests were served in the last part of the
// run. Requests over a limit and with withdrawn keys do not count.
func (tb *testbed) checkRecovery(requests []*request, end time.Time) {
	counted, served := 0, 0
	for _, r := range requests {
		if r.sentAt.Before(end.Add(-recoveryWindow)) || r.status == http.StatusTooManyRequests || r.status == http.StatusUnauthorized {
			continue
		}
		counted++
		if r.status == http.StatusOK {
			served++
		}
	}
	if counted == 0 || float64(served) < minServedRatio*float64(counted) {
		tb.addViolation("recovery", "%d of %d requests were served in the last %s", served, counted, recoveryWindow)
	}
}
