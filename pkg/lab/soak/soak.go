// Package soak runs a fleet of arbutus-edge processes on loopback addresses,
// injects faults chosen by a seed from outside the processes, and checks the
// guarantees by the requests that callers and targets record.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

const (
	// startupTime is the time before the first fault; the fleet starts within 2 s.
	startupTime = 3 * time.Second
	// recoveryWindow is the last part of the run, after settleTime without faults and a
	// restart, in which requests must be served.
	recoveryWindow = 3 * time.Second
	// minServedRatio is the minimum ratio of requests served in recoveryWindow, the
	// platform's bound for recovery.
	minServedRatio = 0.25
	// maxFaultInterval is the longest time between the starts of two faults, unless
	// the second one waits because three are active.
	maxFaultInterval = 900 * time.Millisecond
)

// Options configure a run.
type Options struct {
	Seed uint64
	// Length is the duration of the part with faults; startupTime,
	// settleTime and recoveryWindow are added.
	Length time.Duration
	// Instances, Targets and Callers are total numbers over both zones.
	Instances, Targets, Callers int
	// Network is the second and third number of the loopback addresses, such as
	// "78.0" for 127.78.0.1 onwards.
	Network string
	// Directory receives settings and logs. It is created.
	Directory string
	// Binary is the path of arbutus-edge; empty builds it.
	Binary string
	// Progress receives a line per fault; nil discards them.
	Progress io.Writer
}

// Report is the result of a run.
type Report struct {
	Seed uint64 `json:"seed"`
	// Requests, Served and Refused count the requests of callers: all, those with
	// status 200, and those whose status means that no target ran them.
	Requests int `json:"requests"`
	Served   int `json:"served"`
	Refused  int `json:"refused"`
	// Runs counts the requests that targets began to work on.
	Runs int `json:"runs"`
	// Faults describes each injected fault in a line.
	Faults     []string    `json:"faults"`
	Violations []Violation `json:"violations"`
}

// Violation is an observation that contradicts a guarantee.
type Violation struct {
	Guarantee string `json:"guarantee"`
	Detail    string `json:"detail"`
}

// Run performs one run. An error means that the run could not be completed;
// violated guarantees are in the report.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if err := os.MkdirAll(o.Directory, 0o755); err != nil {
		return nil, errors.WithStack(err)
	}
	tb, err := newTestbed(o)
	if err != nil {
		return nil, err
	}
	defer tb.close()
	if err := tb.startInstances(); err != nil {
		return nil, err
	}
	loadContext, stop := context.WithCancel(ctx)
	defer stop()
	callers := startCallers(loadContext, tb)
	tb.callers = callers
	report := &Report{Seed: o.Seed}
	further, endFurther := context.WithCancel(ctx)
	var injectors sync.WaitGroup
	injectors.Go(func() { tb.injectRateLimits(further, report) })
	injectors.Go(func() { tb.injectRestores(further, report) })
	injectors.Go(func() { tb.injectLapses(further, report) })
	injectors.Go(func() { tb.injectDeadlyRequests(further, callers, report) })
	injectors.Go(func() { tb.injectPathCuts(further, report) })
	injectors.Go(func() { tb.injectStatements(further, report) })
	injectors.Go(func() { tb.injectEvacuations(further, report) })
	injectors.Go(func() { tb.injectGarbage(further, report) })
	injectors.Go(func() { tb.injectDelays(further, report) })
	tb.injectFaults(ctx, report)
	endFurther()
	injectors.Wait()
	if err := sleep(ctx, settleTime); err != nil {
		return nil, err
	}
	if err := tb.changeMembersInCalm(ctx, report); err != nil {
		return nil, err
	}
	if err := tb.outageInCalm(ctx, report); err != nil {
		return nil, err
	}
	calmSince := time.Now()
	if err := tb.delayInCalm(ctx, report); err != nil {
		return nil, err
	}
	if err := tb.evacuateInCalm(ctx); err != nil {
		return nil, err
	}
	if err := tb.restartInCalm(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, recoveryWindow); err != nil {
		return nil, err
	}
	stop()
	callers.wait()
	end := lastEnd(callers.requests)
	tb.checkRecovery(callers.requests, end)
	tb.checkTargetsUsed(ctx, callers, end.Add(-recoveryWindow))
	callers.check(tb, report)
	tb.checkSettled(calmSince)
	tb.checkProcesses(report)
	return report, nil
}

// injectFaults starts faults one after the other for the length of the run and
// waits for their ends; up to three are active at once.
func (tb *testbed) injectFaults(ctx context.Context, report *Report) {
	if sleep(ctx, startupTime) != nil {
		return
	}
	rng := rand.New(rand.NewPCG(tb.Seed, 1))
	began := time.Now()
	active := make(chan struct{}, 3)
	for ctx.Err() == nil && time.Since(began) < tb.Length {
		f := tb.randomFault(rng)
		duration := 300*time.Millisecond + time.Duration(rng.Int64N(int64(3*time.Second)))
		gap := time.Duration(rng.Int64N(int64(maxFaultInterval)))
		active <- struct{}{}
		tb.addFault(report, fmt.Sprintf("%6.2f s %s for %.1f s", time.Since(began).Seconds(), f.name, duration.Seconds()))
		f.begin()
		tb.activeFaults.Go(func() {
			// The fault must also end when the run is canceled.
			_ = sleep(ctx, duration)
			f.end()
			<-active
		})
		_ = sleep(ctx, gap)
	}
	tb.activeFaults.Wait()
	tb.resumeProcesses()
}

// addFault adds a line about a fault to the report and shows it.
func (tb *testbed) addFault(report *Report, line string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	report.Faults = append(report.Faults, line)
	_, _ = fmt.Fprintln(tb.Progress, line)
}

// sleep waits for d or until ctx ends, and returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error { return clock.System{}.Sleep(ctx, d) }
