package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// The platform's bound for instances that are cut off from all targets: from pathSettled
// after the begin of the cut, first tries are served there at least minServedFactor times as
// often as at the others, or at most maxFailedFirst and maxFailedShare of all first tries
// fail there.
const (
	pathSettled     = 3 * time.Second
	minServedFactor = 2.0 / 3
	maxFailedFirst  = 10
	maxFailedShare  = 0.02
)

// pathCut is a time in which instances are cut off from all targets.
type pathCut struct {
	span
	// ips are the addresses of these instances.
	ips []string
}

// faultFile is the path of the file that cuts an instance off from the targets.
func (tb *testbed) faultFile(i *instance) string {
	return filepath.Join(tb.Directory, i.name+".fault")
}

// injectPathCuts cuts instances off from all targets, some, most or all of a zone, until ctx
// ends. At least one instance keeps its paths. The draws are apart from those of the other
// faults.
func (tb *testbed) injectPathCuts(ctx context.Context, report *Report) {
	rng := rand.New(rand.NewPCG(tb.Seed, 5))
	for ctx.Err() == nil {
		if sleep(ctx, startupTime+time.Duration(rng.Int64N(int64(3*time.Second)))) != nil {
			return
		}
		share, zone := rng.Float64(), []string{"a", "b", ""}[rng.IntN(3)]
		how, length := []string{"hang", "refuse"}[rng.IntN(2)], time.Second+time.Duration(rng.Int64N(int64(7*time.Second)))
		tb.mu.Lock()
		chosen := slices.DeleteFunc(slices.Clone(tb.instances[1:]), func(i *instance) bool {
			return (zone != "" && i.zone != zone) || (zone == "" && rng.Float64() >= share)
		})
		tb.mu.Unlock()
		tb.addFault(report, fmt.Sprintf("%d instances are cut off from the targets (%s %s) for %.1f s", len(chosen), zone, how, length.Seconds()))
		end := tb.cutPaths(chosen, how)
		_ = sleep(ctx, length)
		end()
	}
}

// cutPaths cuts instances off from all targets until the returned function is called.
func (tb *testbed) cutPaths(instances []*instance, how string) (end func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n, cut := len(tb.pathCuts), pathCut{span: span{from: time.Now()}}
	for _, i := range instances {
		cut.ips = append(cut.ips, i.ip)
		if err := os.WriteFile(tb.faultFile(i), []byte(how), 0o600); err != nil {
			tb.violations = append(tb.violations, Violation{"soak", err.Error()})
		}
	}
	tb.pathCuts = append(tb.pathCuts, cut)
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		for _, i := range instances {
			_ = os.Remove(tb.faultFile(i)) // it exists unless it could not be written
		}
		tb.pathCuts[n].to = time.Now()
	}
}

// tellsOfPaths reports whether the result of a request within a cut, which is measured from
// the given time on, may tell of lost paths: a request that crashes targets is refused
// everywhere, and targets ask each instance for pauses of its own.
func (tb *testbed) tellsOfPaths(r *request, from time.Time) bool {
	return r.status != http.StatusTooManyRequests && r.status != http.StatusUnauthorized && !strings.Contains(r.path, deadlyMark) &&
		!tb.hadFault(r.ip, from, r.endedAt) && !overlaps(tb.pauseSpans, r.sentAt, r.endedAt)
}

// checkPathCuts checks that callers of instances that were cut off were served.
func (tb *testbed) checkPathCuts(requests []*request) {
	for _, cut := range tb.pathCuts {
		from, to := cut.from.Add(pathSettled), cut.to
		var sent, served [2]float64 // at instances that are cut off, and at others
		failures := map[string]int{}
		for _, r := range requests {
			if r.sentAt.Before(from) || r.sentAt.After(to) || !tb.tellsOfPaths(r, from) {
				continue
			}
			at := 1
			if slices.Contains(cut.ips, r.ip) {
				at = 0
			}
			sent[at]++
			if r.status == http.StatusOK {
				served[at]++
			} else if at == 0 {
				failures[r.failure()]++
			}
		}
		failed := sent[0] - served[0]
		if served[0]*sent[1] < minServedFactor*served[1]*sent[0] && failed > maxFailedFirst+maxFailedShare*(sent[0]+sent[1]) {
			tb.addViolation("callers of instances without paths are served", "%.0f of %.0f there, %.0f of %.0f at the others, in %s; failures there: %v",
				served[0], sent[0], served[1], sent[1], to.Sub(from).Round(time.Millisecond), failures)
		}
	}
}

// failure names the instance and the result of a request that was not served.
func (r *request) failure() string {
	if r.err != nil {
		return fmt.Sprintf("%s %v", r.ip, r.err)
	}
	return fmt.Sprintf("%s %d", r.ip, r.status)
}
