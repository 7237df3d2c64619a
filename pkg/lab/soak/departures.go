package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// departureStream numbers the random draws of outageInCalm.
	departureStream = 13
	// minCalmOutage and maxCalmOutage bound the outage of the store in calm.
	minCalmOutage = 1500 * time.Millisecond
	maxCalmOutage = 4500 * time.Millisecond
	// minLapse is the shortest outage in which entries lapse: after three missed reports, the first one at
	// most reportInterval after its begin.
	minLapse = 2 * reportInterval
	// relistTime is the longest time after the store's return until live targets whose entries lapsed are listed again.
	relistTime = 1900 * time.Millisecond
	// targetGone is the number of the event of a target that is no longer used.
	targetGone = 506
)

// outageInCalm removes the entry of a target, which goes on serving, right before an outage of the
// store without another fault around. Entries of live targets lapse in the outage.
func (tb *testbed) outageInCalm(ctx context.Context, report *Report) error {
	rng := rand.New(rand.NewPCG(tb.Seed, departureStream))
	kinds := []storesim.Faults{{Status: http.StatusServiceUnavailable}, {Reset: true}, {Unresponsive: true}}
	kind := kinds[rng.IntN(len(kinds))]
	length := minCalmOutage + time.Duration(rng.Int64N(int64(maxCalmOutage-minCalmOutage)))
	tb.mu.Lock()
	n := rng.IntN(len(tb.targets))
	gone := tb.targets[n]
	tb.targets = slices.Delete(slices.Clone(tb.targets), n, n+1)
	tb.removedTargets = append(tb.removedTargets, gone)
	lapsed := slices.DeleteFunc(slices.Clone(tb.targets), func(*target) bool { return length < minLapse || rng.IntN(2) == 0 })
	tb.store.Delete("servers", gone.ID)
	tb.mu.Unlock()
	end := tb.beginStoreFaults(kind)
	began := time.Now()
	tb.addFault(report, fmt.Sprintf("%s leaves, then an outage of the store of %.1f s (%+v)", gone.ID, length.Seconds(), kind))
	if err := sleep(ctx, length); err != nil {
		return err
	}
	for _, t := range lapsed {
		tb.store.Delete("servers", t.ID)
	}
	end()
	tb.mu.Lock()
	gone.outageEnd = time.Now()
	tb.mu.Unlock()
	if err := sleep(ctx, time.Duration(rng.Int64N(int64(relistTime)))); err != nil {
		return err
	}
	for _, t := range lapsed {
		tb.store.Put("servers", t.ID, t.ListEntry("ready", t.pathRelay.Addr()))
	}
	// Requests that are sent once the bounds hold again show whether the target is still used.
	if err := sleep(ctx, time.Until(gone.outageEnd.Add(faultMargin+time.Second))); err != nil {
		return err
	}
	tb.checkLapsed(lapsed, began)
	return nil
}

// checkLapsed checks in the logs that no instance has dropped a live target since a time.
func (tb *testbed) checkLapsed(live []*target, since time.Time) {
	for _, i := range tb.instances {
		tb.readLog(i, func(line logLine) bool {
			if line.Event != targetGone || line.Time.Before(since) || !slices.ContainsFunc(live, func(t *target) bool { return t.ID == line.Target }) {
				return true
			}
			tb.addViolation("live targets stay in use over an outage", "%s has dropped %s %.2f s after the begin of the outage", i.name, line.Target, line.Time.Sub(since).Seconds())
			return false
		})
	}
}

// checkDeparture checks that no request reached a target that had left before an outage of the store, once
// the store had been back for faultMargin.
func (tb *testbed) checkDeparture(run upstreamsim.Execution, r *request) {
	for _, t := range tb.removedTargets {
		if t.ID != run.Target || t.outageEnd.IsZero() {
			continue
		}
		if late := r.sentAt.Sub(t.outageEnd); late > faultMargin+timestampTolerance {
			tb.addViolation("targets that left before an outage receive no requests after it", "%s was sent %.2f s after the store's return and reached %s", r.id, late.Seconds(), t.ID)
		}
	}
}
