package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// The platform's bound for a target that names a rate: from rateSettled after it first did
// so, it gets in any rateWindow at most rateFactor times what the rate allows and
// rateSlack more, from all instances that know of the rate for rateKnown.
const (
	rateSettled = 3 * time.Second
	rateWindow  = 4 * time.Second
	rateFactor  = 1.5
	rateSlack   = 5
	rateKnown   = 500 * time.Millisecond
)

// rateSpan is a time in which a target names a rate in requests per second.
type rateSpan struct {
	target string
	span
	perSecond float64
}

// injectRateLimits makes targets name rates, several at a time, until ctx ends. The
// draws are apart from those of the other faults, so that the seeds of earlier findings
// keep their faults.
func (tb *testbed) injectRateLimits(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 2))
	for ctx.Err() == nil {
		if sleep(ctx, time.Duration(rng.Int64N(int64(3*time.Second)))) != nil {
			return
		}
		share, factor, length := 0.2+0.8*rng.Float64(), 0.2+rng.Float64(), 4*time.Second+time.Duration(rng.Int64N(int64(8*time.Second)))
		tb.mu.Lock()
		targets := slices.DeleteFunc(slices.Clone(tb.targets), func(*target) bool { return rng.Float64() >= share })
		tb.mu.Unlock()
		tb.addFault(report, fmt.Sprintf("%d targets name a rate for %.1f s", len(targets), length.Seconds()))
		var ends []func()
		for _, t := range targets {
			// The callers send about 25 requests per second and target.
			ends = append(ends, tb.nameRate(t, max(1, factor*25*rng.Float64())))
		}
		_ = sleep(ctx, length)
		for _, end := range ends {
			end()
		}
	}
}

// nameRate makes a target name a rate until the returned function is called.
func (tb *testbed) nameRate(t *target, perSecond float64) (end func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := len(tb.rateSpans)
	tb.rateSpans = append(tb.rateSpans, rateSpan{target: t.ID, span: span{from: time.Now()}, perSecond: perSecond})
	t.SetRateLimit(perSecond)
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		t.SetRateLimit(0)
		tb.rateSpans[n].to = time.Now()
	}
}

// checkRates checks that no target got more requests than the rate that it named.
func (tb *testbed) checkRates(runs []upstreamsim.Execution, requests map[string]*request) {
	for _, s := range tb.rateSpans {
		if got, allowed := tb.mostInWindow(s, runs, requests), s.perSecond*rateWindow.Seconds()*rateFactor+rateSlack; float64(got) > allowed {
			tb.addViolation("targets get at most the rate that they name", "%s named %.1f requests/s and ran %d in %s, allowed %.0f",
				s.target, s.perSecond, got, rateWindow, allowed)
		}
	}
}

// mostInWindow returns the largest number of runs in one rateWindow of the span that the
// bound counts: those from instances that knew of the rate and had no fault.
func (tb *testbed) mostInWindow(s rateSpan, runs []upstreamsim.Execution, requests map[string]*request) int {
	known := map[string]time.Time{}
	for _, run := range runs {
		r := requests[run.ID]
		if r == nil || run.Target != s.target || run.StartedAt.Before(s.from) || r.status == 0 {
			continue
		}
		if at, ok := known[r.ip]; !ok || r.endedAt.Before(at) {
			known[r.ip] = r.endedAt
		}
	}
	var arrivals []time.Time
	for _, run := range runs {
		r := requests[run.ID]
		if r == nil || run.Target != s.target || run.StartedAt.Before(s.from.Add(rateSettled)) || run.StartedAt.After(s.to) {
			continue
		}
		if at, ok := known[r.ip]; ok && run.StartedAt.Sub(at) >= rateKnown && !tb.hadFault(r.ip, s.from, run.StartedAt) {
			arrivals = append(arrivals, run.StartedAt)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	most, first := 0, 0
	for n, t := range arrivals {
		for t.Sub(arrivals[first]) > rateWindow {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}

// hadFault reports whether an instance had a fault or was stopping in an interval, each
// extended by faultMargin.
func (tb *testbed) hadFault(ip string, from, to time.Time) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.ContainsFunc(tb.instances, func(i *instance) bool {
		return i.ip == ip && (overlaps(i.faultSpans, from, to) || overlaps(i.restartSpans, from, to) || overlaps(i.gracefulStopSpans, from, to))
	})
}
