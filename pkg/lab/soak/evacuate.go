package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// evacuation is the time from the acknowledgement of an order to evacuate a zone, or from a
// restore of the store after which it was given again, to its withdrawal.
type evacuation struct {
	zone string
	span
}

// injectEvacuations evacuates a zone or both for some time, again and again, until ctx ends.
// The draws are apart from those of the other faults.
func (tb *testbed) injectEvacuations(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 9))
	for sleep(ctx, startupTime+time.Duration(rng.Int64N(int64(4*time.Second)))) == nil {
		// Both at once are rare and short: callers are refused meanwhile.
		zones, length := []string{[]string{"a", "b"}[rng.IntN(2)]}, 3*time.Second+time.Duration(rng.Int64N(int64(4*time.Second)))
		if rng.IntN(8) == 0 {
			zones, length = []string{"a", "b"}, 3*time.Second
		}
		tb.addFault(report, fmt.Sprintf("zones %v are evacuated for %.1f s", zones, length.Seconds()))
		tb.setEvacuated(zones...)
		_ = sleep(ctx, length)
		tb.setEvacuated()
	}
}

// calmEvacuation is how long a zone is evacuated without another fault around, after the time
// within which the order must be in force. Amid the faults of the store, few requests tell.
const calmEvacuation = time.Second

// evacuateInCalm evacuates a zone without another fault around.
func (tb *testbed) evacuateInCalm(ctx context.Context) error {
	tb.setEvacuated([]string{"a", "b"}[tb.Seed%2])
	defer tb.setEvacuated()
	return sleep(ctx, maxApplyTime+timestampTolerance+calmEvacuation)
}

// setEvacuated writes the orders for the given zones, withdraws the others, and records both.
func (tb *testbed) setEvacuated(zones ...string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.evacuated = zones
	tb.submitEvacuations()
}

// submitEvacuations writes the orders in force and deletes all others, as the operator does at
// a change and after a restore of the store. The caller holds mu.
func (tb *testbed) submitEvacuations() {
	for n := range tb.evacuations {
		if e := &tb.evacuations[n]; e.to.IsZero() {
			e.to = time.Now()
		}
	}
	for _, zone := range []string{"a", "b"} {
		tb.store.Delete("op", "evacuate/"+zone)
	}
	for _, zone := range tb.evacuated {
		tb.store.Put("op", "evacuate/"+zone, []byte(`{}`))
		tb.evacuations = append(tb.evacuations, evacuation{zone, span{from: time.Now()}})
	}
}

// checkEvacuations checks that no request reached a target of an evacuated zone from the time on
// at which the order must be in force: once the instance has been without faults for
// maxApplyTime and faultMargin, and the store was so at some time since the order.
func (tb *testbed) checkEvacuations(run upstreamsim.Execution, r *request, zone string) {
	for _, e := range tb.evacuations {
		due := e.from.Add(maxApplyTime + timestampTolerance)
		if e.zone != zone || run.StartedAt.Before(due) || r.sentAt.Before(due) || (!e.to.IsZero() && run.StartedAt.After(e.to)) ||
			tb.hadFault(r.ip, r.sentAt.Add(-maxApplyTime), run.StartedAt) || !tb.wasReadable(e.from, r.sentAt) {
			continue
		}
		tb.addViolation("evacuated zones get no requests", "%s reached %s of zone %s %.2f s after the order",
			r.id, run.Target, zone, run.StartedAt.Sub(e.from).Seconds())
	}
}

// readableStep is the resolution with which wasReadable looks for a time without faults.
const readableStep = 50 * time.Millisecond

// wasReadable reports whether the store was without faults for maxApplyTime, at least
// faultMargin after the last one, between an order and a request.
func (tb *testbed) wasReadable(order, request time.Time) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for from := order; !from.Add(maxApplyTime).After(request); from = from.Add(readableStep) {
		if !overlaps(tb.storeFaultSpans, from, from.Add(maxApplyTime)) {
			return true
		}
	}
	return false
}
