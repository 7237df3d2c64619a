package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// fault is a fault or a configuration change that the soak injects. end is a
// no-op for one that has no duration.
type fault struct {
	name       string
	begin, end func()
}

// randomFault chooses the next fault. Kinds that are listed more than once are
// chosen more often.
func (tb *testbed) randomFault(rng *rand.Rand) fault {
	kinds := []func(*rand.Rand) fault{
		tb.killFault, tb.pauseFault, tb.gracefulStopFault, tb.sighupFault, tb.storePathFault, tb.storeFault, tb.storeFault,
		tb.storeHistoryFault, tb.targetResponseFault, tb.targetResponseFault, tb.targetResponseFault, tb.targetPathFault, tb.targetDrainFault,
		tb.targetCrashFault, tb.withdrawKeyFault, tb.moveRouteFault, tb.changeLimitFault, tb.clockFault,
	}
	return kinds[rng.IntN(len(kinds))](rng)
}

// reserveInstance chooses an instance and reserves it for a process fault. It
// returns nil if the chosen instance has such a fault already.
func (tb *testbed) reserveInstance(rng *rand.Rand) *instance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	i := tb.instances[rng.IntN(len(tb.instances))]
	if i.exitExpected {
		return nil
	}
	i.exitExpected = true
	return i
}

// noFault is used in place of a chosen fault that cannot be injected now.
func noFault(reason string) fault {
	return fault{name: "no fault (" + reason + ")", begin: func() {}, end: func() {}}
}

// processFault is a fault of the process of an instance that reserveInstance has
// returned. begin calls stop; end starts the process again if it has ended.
func (tb *testbed) processFault(name string, i *instance, stop func()) fault {
	if i == nil {
		return noFault(name + ": the instance already has a process fault")
	}
	var endSpan func()
	return fault{
		name: name + " " + i.name,
		begin: func() {
			endSpan = tb.openSpan(&i.faultSpans)
			stop()
		},
		end: func() {
			if !i.process.Running() {
				if err := tb.startInstance(i, false); err != nil {
					tb.addViolation("process", "%s does not start: %s", i.name, err)
				}
			}
			tb.mu.Lock()
			i.exitExpected = false
			tb.mu.Unlock()
			endSpan()
		},
	}
}

func (tb *testbed) killFault(rng *rand.Rand) fault {
	i := tb.reserveInstance(rng)
	return tb.processFault("kill", i, func() { tb.stopProcess(i, true) })
}

// clockFault restarts an instance with a clock that is up to 4 s off.
func (tb *testbed) clockFault(rng *rand.Rand) fault {
	i := tb.reserveInstance(rng)
	clockOffset := time.Duration(rng.IntN(8000)-4000) * time.Millisecond
	return tb.processFault("restart with a clock offset", i, func() {
		tb.stopProcess(i, true)
		i.clockOffset = clockOffset
	})
}

func (tb *testbed) pauseFault(rng *rand.Rand) fault {
	i := tb.reserveInstance(rng)
	f := tb.processFault("pause", i, func() { i.process.Freeze() })
	if i == nil {
		return f
	}
	end := f.end
	f.end = func() {
		i.process.Resume()
		end()
	}
	return f
}

// gracefulStopFault stops an instance gracefully, which must lose no response.
func (tb *testbed) gracefulStopFault(rng *rand.Rand) fault {
	i := tb.reserveInstance(rng)
	if i == nil {
		return noFault("stop")
	}
	f := tb.processFault("stop", i, func() {})
	var endSpan func()
	done := make(chan struct{})
	lateRNG := rand.New(rand.NewPCG(tb.Seed, lateStream+uint64(tb.lateCallers.Load())))
	begin, end := f.begin, f.end
	f.begin = func() {
		late := tb.openLateCallers(i, lateRNG)
		begin()
		endSpan = tb.openSpan(&i.gracefulStopSpans)
		var requests sync.WaitGroup
		for _, c := range late {
			requests.Go(c.run)
		}
		go func() {
			tb.stopProcess(i, false)
			requests.Wait()
			close(done)
		}()
	}
	f.end = func() {
		<-done
		endSpan()
		end()
	}
	return f
}

// minSignalAge is the age from which a process can handle signals. Before its
// runtime has started, the default action of the kernel ends it: SIGHUP 1 ms after
// the start did so in 15 of 15 cases, whatever the program did first.
const minSignalAge = 20 * time.Millisecond

func (tb *testbed) sighupFault(rng *rand.Rand) fault {
	tb.mu.Lock()
	i := tb.instances[rng.IntN(len(tb.instances))]
	tb.mu.Unlock()
	return fault{name: "SIGHUP to " + i.name, begin: func() {
		tb.mu.Lock()
		wait := time.Until(i.startedAt.Add(minSignalAge))
		tb.mu.Unlock()
		time.Sleep(wait)
		i.process.Signal(syscall.SIGHUP)
	}, end: func() {}}
}

// storePathFault holds or delays the bytes between one instance and the store.
func (tb *testbed) storePathFault(rng *rand.Rand) fault {
	i := tb.instances[rng.IntN(len(tb.instances))]
	kind := rng.IntN(4)
	f := [...]relay.Faults{{CutToTarget: true}, {CutToClient: true}, {DelayMS: 300}, {CutToTarget: true, CutToClient: true}}[kind]
	name := [...]string{"requests to the store held", "responses of the store held", "store delayed", "store cut off"}[kind]
	return tb.relayFault(name+" at "+i.name, i.store, f, func() func() { return tb.openSpan(&i.faultSpans) })
}

// relayFault sets the faults of a relay. begin is called at the begin of the fault
// and returns the function to call at its end.
func (tb *testbed) relayFault(name string, r *relay.Relay, f relay.Faults, begin func() func()) fault {
	var onEnd func()
	set := func(f relay.Faults) {
		if err := r.SetFaults(f); err != nil {
			tb.addViolation("soak", "%s: %s", name, err)
		}
	}
	return fault{
		name:  name,
		begin: func() { onEnd = begin(); set(f) },
		end:   func() { set(relay.Faults{}); onEnd() },
	}
}

func (tb *testbed) storeFault(rng *rand.Rand) fault {
	kinds := []struct {
		name   string
		faults storesim.Faults
	}{
		{"store answers 503", storesim.Faults{Status: http.StatusServiceUnavailable}},
		{"store answers 429", storesim.Faults{Status: http.StatusTooManyRequests}},
		{"store resets", storesim.Faults{Reset: true}},
		{"store does not respond", storesim.Faults{Unresponsive: true}},
		{"store loses responses", storesim.Faults{LoseAnswers: true}},
		{"store delays writes whose responses are lost", storesim.Faults{LoseAnswers: true, ApplyDelay: 2 * time.Second}},
		{"store slow", storesim.Faults{Delay: 400 * time.Millisecond}},
	}
	k := kinds[rng.IntN(len(kinds))]
	var endSpan func()
	return fault{name: k.name, begin: func() { endSpan = tb.beginStoreFaults(k.faults) }, end: func() { endSpan() }}
}

// storeHistoryFault drops the store's history of changes, so that instances must
// read its tables anew.
func (tb *testbed) storeHistoryFault(*rand.Rand) fault {
	return fault{name: "store drops its history", begin: func() { tb.store.DropHistory() }, end: func() {}}
}

// randomTarget chooses a target that has not been removed.
func (tb *testbed) randomTarget(rng *rand.Rand) *target {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.targets[rng.IntN(len(tb.targets))]
}

// targetResponseFault makes a target respond wrongly, slowly or not at all.
func (tb *testbed) targetResponseFault(rng *rand.Rand) fault {
	kinds := []struct {
		name   string
		faults upstreamsim.Faults
		// slow multiplies the duration of a request.
		slow float64
	}{
		{"fails", upstreamsim.Faults{Fail: 0.8}, 1},
		{"hangs", upstreamsim.Faults{Hang: 0.5}, 1},
		{"is slow", upstreamsim.Faults{}, 6},
		{"loses responses", upstreamsim.Faults{LoseResponse: 0.3}, 1},
		{"truncates", upstreamsim.Faults{Truncate: 0.3, ResetDuringResponse: 0.3}, 1},
		{"sends surplus bytes", upstreamsim.Faults{TrailingBytes: 0.3, DuplicateResponse: 0.2, LateDuplicate: 0.3}, 1},
		{"sends headers without end", upstreamsim.Faults{Endless: 0.3, Form: upstreamsim.EndlessHeaders}, 1},
		{"sends a chunk extension without end", upstreamsim.Faults{Endless: 0.3, Form: upstreamsim.EndlessChunkExtension}, 1},
		{"responds without a length", upstreamsim.Faults{NoContentLength: 0.5, Close: 0.3}, 1},
		{"stops within its headers", upstreamsim.Faults{TruncateHeader: 0.3}, 1},
		{"refuses, and writes refusals again", upstreamsim.Faults{Refuse: 0.3, RepeatRefusal: 0.4}, 1},
		{"refuses, and writes refusals again without id", upstreamsim.Faults{Refuse: 0.3, RepeatRefusal: 0.4, AnonymousRefusals: true}, 1},
		{"responds with garbage or early", upstreamsim.Faults{Garbage: 0.2, EarlyResponse: 0.3}, 1},
	}
	k, t := kinds[rng.IntN(len(kinds))], tb.randomTarget(rng)
	if k.faults.Endless > 0 {
		k.name, k.faults.Form = "sends bytes without end", tb.endlessForm()
	}
	return fault{
		name:  t.ID + " " + k.name,
		begin: func() { t.SetFaults(k.faults, k.slow) },
		end:   func() { t.SetFaults(upstreamsim.Faults{}, 1) },
	}
}

// endlessForm draws one of the forms of endless responses that instances cut at once; reading the
// others up to their limit would load the machine. The draws are apart from those of the faults.
func (tb *testbed) endlessForm() upstreamsim.EndlessForm {
	forms := []upstreamsim.EndlessForm{
		upstreamsim.EndlessHeaders, upstreamsim.EndlessHeaderLine, upstreamsim.EndlessInterim, upstreamsim.EndlessChunkExtension,
		upstreamsim.EndlessChunkSize, upstreamsim.EndlessTrailers, upstreamsim.HugeContentLength, upstreamsim.EndlessGarbage,
		upstreamsim.EndlessGarbageLines, upstreamsim.EndlessBlankLines, upstreamsim.EndlessStatusLine,
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return forms[tb.formRNG.IntN(len(forms))]
}

// targetPathFault blackholes or resets the connections to one target, or holds or
// delays their bytes.
func (tb *testbed) targetPathFault(rng *rand.Rand) fault {
	t := tb.randomTarget(rng)
	openSpan := func() func() { return tb.openSpan(&t.pathSpans) }
	switch kind := rng.IntN(5); kind {
	case 0:
		return fault{name: "connections to " + t.ID + " are blackholed", begin: func() { openSpan()(); t.pathRelay.BlackholeExisting() }, end: func() {}}
	case 1:
		return fault{name: "connections to " + t.ID + " are reset", begin: func() { openSpan()(); t.pathRelay.ResetExisting() }, end: func() {}}
	default:
		f := [...]relay.Faults{{CutToTarget: true}, {CutToClient: true}, {DelayMS: 120}}[kind-2]
		return tb.relayFault("path to "+t.ID+" held or delayed", t.pathRelay, f, openSpan)
	}
}

// targetDrainFault makes a target announce that it drains, and replaces it after the
// requests in progress have had time to end.
func (tb *testbed) targetDrainFault(rng *rand.Rand) fault {
	return tb.replaceTarget(rng, "drains", func(t *target) {
		tb.store.Put("servers", t.ID, t.ListEntry("draining", t.pathRelay.Addr()))
		tb.mu.Lock()
		t.drainingSince = time.Now()
		tb.mu.Unlock()
	}, maxApplyTime+2*time.Second)
}

// targetCrashFault ends a target abruptly; its entry in the store is removed at the
// end of the fault.
func (tb *testbed) targetCrashFault(rng *rand.Rand) fault {
	return tb.replaceTarget(rng, "crashes", func(t *target) { t.Close() }, 0)
}

// replaceTarget removes a target and starts another one of the same service, which
// takes over the address half of the time. leave is called at the begin of the
// fault; the target is closed the given delay after the end of the fault.
func (tb *testbed) replaceTarget(rng *rand.Rand, name string, leave func(*target), delay time.Duration) fault {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	n := rng.IntN(len(tb.targets))
	t, reuse := tb.targets[n], rng.IntN(2) == 0
	tb.targets = append(tb.targets[:n:n], tb.targets[n+1:]...)
	tb.removedTargets = append(tb.removedTargets, t)
	service := t.Service
	return fault{
		name:  t.ID + " " + name,
		begin: func() { leave(t) },
		end: func() {
			time.Sleep(delay)
			t.Close()
			tb.store.Delete("servers", t.ID)
			address := ""
			if reuse {
				address = t.pathRelay.Addr()
			}
			_ = t.pathRelay.Close()
			tb.mu.Lock()
			defer tb.mu.Unlock()
			if _, err := tb.addTarget(service, address); err != nil {
				tb.violations = append(tb.violations, Violation{"soak", err.Error()})
			}
		},
	}
}

// withdrawKeyFault replaces the oldest key of a team by a new one.
func (tb *testbed) withdrawKeyFault(rng *rand.Rand) fault {
	team := teams[rng.IntN(len(teams))]
	return fault{name: "a key of " + team + " is withdrawn", begin: func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		keys := tb.config.keys[team]
		tb.config.keys[team] = append(keys[1:len(keys):len(keys)], team+"-"+time.Now().Format("150405.000000"))
		tb.submitConfig(&configChange{key: keys[0]})
	}, end: func() {}}
}

// moveRouteFault moves the moving route to the other service.
func (tb *testbed) moveRouteFault(*rand.Rand) fault {
	return fault{name: "a route moves", begin: func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.config.moved = !tb.config.moved
		tb.submitConfig(&configChange{moved: tb.config.moved, movedSet: true})
	}, end: func() {}}
}

// changeLimitFault gives a team another limit.
func (tb *testbed) changeLimitFault(rng *rand.Rand) fault {
	team, rate := teams[rng.IntN(len(teams))], minRate+rng.IntN(initialRate)
	return fault{name: "the limit of " + team + " changes", begin: func() {
		tb.mu.Lock()
		defer tb.mu.Unlock()
		tb.config.rates[team] = rate
		tb.submitConfig(&configChange{team: team, rate: rate})
	}, end: func() {}}
}

// resumeProcesses resumes every process at the end of the faults.
func (tb *testbed) resumeProcesses() {
	for _, i := range tb.instances {
		i.process.Resume()
	}
}
