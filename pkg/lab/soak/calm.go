package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// settleTime is the time after the last fault from which on no instance may retain targets
	// that have left the listing because of an outage: for 3 s after the store's return.
	settleTime = 5500 * time.Millisecond
	// departureDelay is the time from the restart of a process to the departure of a target,
	// about the time at which the process lists the targets first.
	departureDelay = 150 * time.Millisecond
	// listingChanged is the number of the event of a changed listing.
	listingChanged = 708
)

// restartInCalm restarts an instance without another fault around, and removes the entry of a
// target right after it; the target goes on serving.
func (tb *testbed) restartInCalm(ctx context.Context) error {
	rng := rand.New(rand.NewPCG(tb.Seed, 7))
	i := tb.instances[rng.IntN(len(tb.instances))]
	endSpan := tb.openSpan(&i.faultSpans)
	tb.stopProcess(i, true)
	if err := tb.startInstance(i, false); err != nil {
		return err
	}
	endSpan()
	if err := sleep(ctx, departureDelay); err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := rng.IntN(len(tb.targets))
	t := tb.targets[n]
	tb.targets = append(tb.targets[:n:n], tb.targets[n+1:]...)
	tb.removedTargets = append(tb.removedTargets, t)
	tb.store.Delete("servers", t.ID)
	t.drainingSince = time.Now()
	return nil
}

// checkSettled checks in the logs that no instance retained missing targets since a time.
func (tb *testbed) checkSettled(since time.Time) {
	for _, i := range tb.instances {
		tb.readLog(i, func(line logLine) bool {
			if line.Event != listingChanged || !line.Unsettled || !line.Time.After(since) {
				return true
			}
			tb.addViolation("targets that left are dropped", "%s retains missing targets %.1f s after the last fault", i.name, line.Time.Sub(since).Seconds()+settleTime.Seconds())
			return false
		})
	}
}

// logLine is what the checks read of a line in the log of an instance.
type logLine struct {
	Event     int       `json:"event"`
	Target    string    `json:"target"`
	Unsettled bool      `json:"unsettled"`
	Time      time.Time `json:"time"`
}

// readLog passes the lines in the log of an instance to a check, until it returns false.
func (tb *testbed) readLog(i *instance, check func(logLine) bool) {
	file, err := os.Open(filepath.Join(tb.Directory, i.name+".log"))
	if err != nil {
		tb.addViolation("soak", "%v", errors.WithStack(err))
		return
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var line logLine
		if json.Unmarshal(lines.Bytes(), &line) == nil && !check(line) {
			return
		}
	}
}
