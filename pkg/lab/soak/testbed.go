package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// Ports are the same on all instances, as on the platform.
const (
	callerPort    = 25689
	readyPort     = 25687
	directoryPort = 25682
	gossipPort    = 25360
	metricsPort   = 25361
	// firstTargetPort is below the ports that the kernel chooses.
	firstTargetPort = 26000
)

const (
	// gracePeriod is the time that a process has from SIGTERM to its end. Requests that are
	// accepted at first in it end in time, as the timeout of all routes is 2 s.
	gracePeriod = 6 * time.Second
	// faultMargin is how long an instance must have been without faults before the
	// bounds on time hold.
	faultMargin = 3 * time.Second
	// maxApplyTime is the time within which a configuration change or a draining
	// target takes effect at an instance without faults.
	maxApplyTime = 2 * time.Second
	// serviceA serves all routes; the moving route is at times served by serviceB.
	serviceA = "service-a"
	serviceB = "service-b"
)

// span is an interval of time; to is zero while the interval is open.
type span struct{ from, to time.Time }

// instance is one process of the fleet under test.
type instance struct {
	name, zone, ip string
	// store is the relay through which the process reaches the store.
	store     *relay.Relay
	process   *fleet.Process
	startedAt time.Time
	// clockOffset is added to the wall clock of the process.
	clockOffset time.Duration
	// exitExpected is true while a fault stops, freezes or restarts the process. No
	// other process fault may begin then, and an exit is no violation.
	exitExpected bool
	// faultSpans are the intervals of its faults; gracefulStopSpans are those
	// from SIGTERM to the end of the process and of the fault.
	faultSpans, gracefulStopSpans []span
	// shortSpans are the intervals in which its processor time was short.
	shortSpans []span
	// restartSpans are the restarts after which its processor time was short. Changes of the
	// configuration are in force at an instance that has just started as well as at others.
	restartSpans []span
}

// target is one target and the relay in front of it.
type target struct {
	*upstreamsim.Server
	pathRelay     *relay.Relay
	listed        bool
	drainingSince time.Time
	// outageEnd is the end of the outage of the store before which its entry was removed.
	outageEnd time.Time
	// pathSpans are the intervals in which its responses may have been held or lost.
	pathSpans []span
}

// testbed holds the processes, simulators and records of one run.
type testbed struct {
	Options
	binary       string
	store        *storesim.Store
	activeFaults sync.WaitGroup
	callers      *callers
	// lateCallers counts the late callers of all graceful stops.
	lateCallers atomic.Int64
	// formRNG draws the forms of endless responses.
	formRNG *rand.Rand

	mu        sync.Mutex
	instances []*instance
	targets   []*target
	// removedTargets are the targets that have left or crashed; their runs are still
	// checked.
	removedTargets []*target
	config         operatorConfig
	// changes are the submitted changes of the configuration, the oldest first.
	changes []configChange
	// activeStoreFaults counts the faults of the store; storeFaultSpans are their intervals.
	activeStoreFaults int
	storeFaultSpans   []span
	rateSpans         []rateSpan
	pathCuts          []pathCut
	// pauseSpans are the times in which at least half of the targets ask for pauses, or
	// such pauses last.
	pauseSpans []span
	// evacuated are the zones that the operator wants evacuated, evacuations the orders.
	evacuated   []string
	evacuations []evacuation
	targetCount int
	violations  []Violation
}

func newTestbed(o Options) (*testbed, error) {
	tb := &testbed{Options: o, binary: o.Binary, formRNG: rand.New(rand.NewPCG(o.Seed, 8))}
	var err error
	if tb.binary == "" {
		if tb.binary, err = fleet.FindBinary("arbutus-edge", o.Directory); err != nil {
			return nil, err
		}
	}
	if tb.store, err = storesim.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	tb.config = newOperatorConfig()
	tb.submitConfig(nil)
	for range o.Targets {
		if _, err := tb.addTarget(tb.serviceOfNextTarget(), ""); err != nil {
			return nil, err
		}
	}
	for n := range o.Instances {
		zone := "a"
		if n%2 == 1 {
			zone = "b"
		}
		i := &instance{name: fmt.Sprintf("e-%d", n+1), zone: zone, ip: fmt.Sprintf("127.%s.%d", o.Network, n+1)}
		i.store = relay.New(relay.Options{Target: tb.store.Address()})
		if err := i.store.Start(); err != nil {
			return nil, err
		}
		tb.instances = append(tb.instances, i)
	}
	return tb, nil
}

// serviceOfNextTarget returns the service of the next target: every fourth one is
// serviceB.
func (tb *testbed) serviceOfNextTarget() string {
	if tb.targetCount%4 == 3 {
		return serviceB
	}
	return serviceA
}

// addTarget starts a target and its relay and lists it in the store. address is
// that of the relay; empty selects a new one. The caller holds mu or is the only
// goroutine.
func (tb *testbed) addTarget(service, address string) (*target, error) {
	tb.targetCount++
	zone := "a"
	if tb.targetCount%2 == 0 {
		zone = "b"
	}
	s, err := upstreamsim.Start(upstreamsim.Options{
		ID: fmt.Sprintf("i-%d", tb.targetCount), Service: service, Zone: zone, Slots: 3, MeanDuration: 60 * time.Millisecond,
		Seed: tb.Seed + uint64(tb.targetCount), Crashes: func(path string) bool { return strings.Contains(path, deadlyMark) }, OnCrash: tb.crash,
		Work: longWork,
	})
	if err != nil {
		return nil, err
	}
	if address == "" {
		// The port is fixed because another process may take a port that the kernel
		// chose before the successor listens there again (seeds 244 and 246).
		address = fmt.Sprintf("127.%s.200:%d", tb.Network, firstTargetPort+tb.targetCount)
	}
	t := &target{Server: s, pathRelay: relay.New(relay.Options{Target: s.Addr(), Address: address}), listed: true}
	if err := t.pathRelay.Start(); err != nil {
		return nil, err
	}
	tb.targets = append(tb.targets, t)
	tb.store.Put("servers", t.ID, t.ListEntry("ready", t.pathRelay.Addr()))
	return t, nil
}

func (tb *testbed) startInstances() error {
	for _, i := range tb.instances {
		if err := tb.startInstance(i, true); err != nil {
			return err
		}
	}
	return nil
}

// startInstance writes the settings of an instance and starts its process. first
// informs the process that the whole fleet starts.
func (tb *testbed) startInstance(i *instance, first bool) error {
	settings := map[string]any{
		"instance": i.name, "availability_zone": i.zone, "caller_address": i.address(callerPort), "ready_address": i.address(readyPort),
		"directory_address": i.address(directoryPort), "gossip_address": i.address(gossipPort), "metrics_address": i.address(metricsPort),
		"store_address": i.store.Addr(), "grace": gracePeriod.String(), "first_start": first,
		"clock_offset_ms": i.clockOffset.Milliseconds(), "target_fault_file": tb.faultFile(i),
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return errors.WithStack(err)
	}
	file := filepath.Join(tb.Directory, i.name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.WithStack(err)
	}
	i.process, err = fleet.StartProcess(i.name, tb.Directory, tb.binary, "--settings", file)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	i.exitExpected, i.startedAt = false, time.Now()
	return err
}

func (i *instance) address(port int) string { return fmt.Sprintf("%s:%d", i.ip, port) }

// openSpan appends an interval that begins now and returns the function that ends
// it.
func (tb *testbed) openSpan(spans *[]span) (end func()) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := len(*spans)
	*spans = append(*spans, span{from: time.Now()})
	return func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		(*spans)[n].to = time.Now()
	}
}

// stopProcess sends SIGTERM and waits for the process to end within the grace
// period. With kill it sends SIGKILL instead.
func (tb *testbed) stopProcess(i *instance, kill bool) {
	tb.mu.Lock()
	i.exitExpected = true
	tb.mu.Unlock()
	if kill {
		i.process.Kill()
		return
	}
	i.process.Signal(syscall.SIGTERM)
	for deadline := time.Now().Add(gracePeriod); time.Now().Before(deadline) && i.process.Running(); {
		time.Sleep(10 * time.Millisecond)
	}
	if i.process.Running() {
		tb.addViolation("shutdown", "%s still runs after its grace period", i.name)
		i.process.Kill()
	}
}

func (tb *testbed) addViolation(guarantee, format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.violations = append(tb.violations, Violation{guarantee, fmt.Sprintf(format, args...)})
}

// checkProcesses adds a violation for each process that has ended without a fault,
// and copies all violations of the run to the report.
func (tb *testbed) checkProcesses(report *Report) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for _, i := range tb.instances {
		if !i.process.Running() && !i.exitExpected {
			tb.violations = append(tb.violations, Violation{"process", i.name + " ended unexpectedly"})
		}
	}
	report.Violations = append(report.Violations, tb.violations...)
}

// close ends the processes, relays and simulators of the run.
func (tb *testbed) close() {
	for _, i := range tb.instances {
		if i.process != nil {
			i.process.Kill()
		}
		_ = i.store.Close()
	}
	for _, t := range append(tb.targets, tb.removedTargets...) {
		t.Close()
		_ = t.pathRelay.Close()
	}
	_ = tb.store.Close()
}
