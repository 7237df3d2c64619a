package scenario

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// testbedKey is the key of the testbed in testscript.Env.Values.
type testbedKey struct{}

// Setup returns the function that prepares the state of a script. The processes
// that the script starts end with it.
func Setup(o Options) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		tb := newTestbed(o, env.WorkDir)
		env.Values[testbedKey{}] = tb
		env.Defer(tb.close)
		return nil
	}
}

// Commands returns the commands of the scripts. Instances and targets are numbered
// from 1. A LIST of instances is "1,3", "all", "zone-a", "not-1,3" or
// "issuers-TEAM", the token issuers of a team; a LIST of targets is "1,3" or "all".
// D is a duration, M the name of a mark: a recorded time.
//
//	fleet N [zones= targets= slots= floor= profile= issuers= rate= burst= median=D timeout=D fence=D directory=D green-expires=D direct=1]
//	crash LIST, start LIST, freeze LIST, resume LIST
//	shutdown LIST, await-shutdown N within=D
//	members N within=D             each instance that runs and is not frozen reports N members and is fresh
//	fresh LIST within=D, not-fresh LIST within=D
//	cut LIST LIST, cut-one-way LIST LIST, heal LIST LIST
//	cut-targets LIST hang|refuse, heal-targets LIST
//	platform down|up|slow by=D|lose-answers next=N [before-effect=1 table-only=1]
//	platform copy, platform restore [objects=1]
//	patch JSON [via=N] [version=N] [is=OUTCOMES] [within=D]
//	race LIST                      patches with the same version through each instance
//	in-force [within=D]            marks "in-force"; D counts from "accepted", 6 s by default
//	withdraw-key TEAM [via=N]      marks "accepted"
//	connect NAME via=N             opens a keep-alive connection
//	send [team= key= route= id= claim= via= conn= n= parallel=1] [status= code= outcome=] [within=D|for=D] [since=M]
//	load [team=LIST routes= rate= via=LIST], stop-load
//	target LIST drain|undrain|kill|revive|silence|heal|JSON|late by=D
//	mark M, after M plus=D         records the time M, waits until D after M
//	expect safety
//	expect no-runs TEAM since=M [plus=D]
//	expect runs ID count=N|min=N max=N
//	expect no-cut [min=N]
//	expect count [team= route= status= code= outcome= since=M] [min=N max=N]
//	expect quiet LIST since=M plus=D [for=D]
//	expect ejected min=N within=D
//	random-faults for=D            uses Options.Seed
//
// A watcher checks configuration and membership versions, freshness and the floor
// of ejections during the whole script; "expect safety" reports its violations.
// An instance is fresh while its recent round trips with witnesses allow it to
// admit requests.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commandTable() {
		commands[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			tb, ok := ts.Value(testbedKey{}).(*testbed)
			if !ok {
				ts.Fatalf("the testbed of the script is missing; use Setup")
			}
			if tb.fleet == nil && name != "fleet" {
				ts.Fatalf("command %s needs a fleet; start one with the fleet command", name)
			}
			begun := time.Now()
			tb.logf = ts.Logf
			err := run(tb, parseArguments(words))
			ts.Logf("# %s took %.2f s", name, time.Since(begun).Seconds())
			if err != nil {
				tb.printLogs(ts.Logf)
				ts.Fatalf("%v", err)
			}
		}
	}
	return commands
}

// command runs one script command. Its name must differ from the built-in commands
// of testscript, such as kill and stop, which cannot be replaced.
type command func(*testbed, *arguments) error

// commandTable returns the commands by name.
func commandTable() map[string]command {
	commands := map[string]command{
		"fleet":          (*testbed).fleetCommand,
		"await-shutdown": (*testbed).awaitShutdownCommand,
		"members":        (*testbed).membersCommand,
		"platform":       (*testbed).platformCommand,
		"patch":          (*testbed).patchCommand,
		"in-force":       (*testbed).inForceCommand,
		"withdraw-key":   (*testbed).withdrawCommand,
		"connect":        (*testbed).connectCommand,
		"send":           (*testbed).sendCommand,
		"load":           (*testbed).startLoad,
		"target":         (*testbed).targetCommand,
		"after":          (*testbed).afterCommand,
		"expect":         (*testbed).expectCommand,
		"random-faults":  (*testbed).randomFaults,
	}
	commands["mark"] = func(tb *testbed, a *arguments) error { tb.setMark(a.word(0)); return a.validate() }
	commands["stop-load"] = func(tb *testbed, a *arguments) error { tb.stopLoad(); return a.validate() }
	for name, run := range listCommands() {
		commands[name] = run
	}
	return commands
}

// listCommands returns the commands that act on lists of instances, by name.
func listCommands() map[string]command {
	onList := func(act func(tb *testbed, list []int) error) command {
		return func(tb *testbed, a *arguments) error {
			list := tb.instances(a, a.word(0))
			if err := a.validate(); err != nil {
				return err
			}
			return act(tb, list)
		}
	}
	each := func(act func(tb *testbed, n int)) command {
		return onList(func(tb *testbed, list []int) error {
			for _, n := range list {
				act(tb, n)
			}
			return nil
		})
	}
	link := func(cut, oneWay bool) command {
		return func(tb *testbed, a *arguments) error {
			from, to := tb.instances(a, a.word(0)), tb.instances(a, a.word(1))
			if err := a.validate(); err != nil {
				return err
			}
			return tb.setCuts(from, to, cut, oneWay)
		}
	}
	fresh := func(want bool) command {
		return func(tb *testbed, a *arguments) error {
			list, within := tb.instances(a, a.word(0)), a.duration("within", 0)
			if err := a.validate(); err != nil {
				return err
			}
			return tb.waitFresh(list, want, within)
		}
	}
	return map[string]command{
		"crash":  onList(func(tb *testbed, list []int) error { tb.killInstances(list); return nil }),
		"start":  onList((*testbed).restartInstances),
		"race":   onList((*testbed).raceCommand),
		"freeze": each((*testbed).freezeInstance), "resume": each((*testbed).resumeInstance), "shutdown": each((*testbed).shutDownInstance),
		"cut-targets": func(tb *testbed, a *arguments) error {
			list, how := tb.instances(a, a.word(0)), a.word(1)
			return checkIfValid(a.validate(), func() error { return tb.cutTargets(list, how) })
		},
		"heal-targets": onList((*testbed).healTargets),
		"cut":          link(true, false), "cut-one-way": link(true, true), "heal": link(false, false),
		"fresh": fresh(true), "not-fresh": fresh(false),
	}
}

// waitFresh waits until each instance of the list reports itself as fresh, or as
// not fresh.
func (tb *testbed) waitFresh(list []int, want bool, within time.Duration) error {
	var last string
	for _, n := range list {
		if !pollUntil(within, func() bool {
			s, err := tb.status(n)
			last = describeStatus(n, s, err)
			return err == nil && s.Fresh == want
		}) {
			return unmet("an instance does not report fresh = %t within %s; last status: %s", want, within, last)
		}
	}
	return nil
}

func (tb *testbed) awaitShutdownCommand(a *arguments) error {
	n, within := a.instanceIndex(0), a.duration("within", shutdownTimeout)
	if err := a.validate(); err != nil {
		return err
	}
	return tb.awaitShutdown(n, within)
}

func (tb *testbed) membersCommand(a *arguments) error {
	count, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.fail(usage("members needs the number of members"))
	}
	within := a.duration("within", startTimeout)
	if err := a.validate(); err != nil {
		return err
	}
	return tb.waitMembers(count, within)
}

// patchCommand submits one patch. With the argument within, it submits it again
// until the outcome is the expected one or the time has passed.
func (tb *testbed) patchCommand(a *arguments) error {
	patch, via, expectedOutcomes := []byte(a.word(0)), a.index(a.text("via", "1")), a.text("is", "202")
	version, within := a.number("version", int(tb.version)), a.duration("within", 0)
	if err := a.validate(); err != nil {
		return err
	}
	var result patchResult
	if !pollUntil(within, func() bool {
		result = tb.patch(via, int64(version), patch)
		return inList(expectedOutcomes, result.text())
	}) {
		return unmet("the patch was answered %s, expected %s: %s %v", result.text(), expectedOutcomes, result.failure.Message, result.err)
	}
	if result.version > 0 {
		tb.recordAccepted(result.version)
	}
	return nil
}

func (tb *testbed) inForceCommand(a *arguments) error {
	within := a.duration("within", inForceObjective)
	if err := a.validate(); err != nil {
		return err
	}
	at, err := tb.markTime("accepted")
	if err != nil {
		return err
	}
	return tb.waitInForce(tb.version, max(0, within-time.Since(at)))
}

func (tb *testbed) withdrawCommand(a *arguments) error {
	team, via := a.word(0), a.index(a.text("via", "1"))
	if err := a.validate(); err != nil {
		return err
	}
	result := tb.patch(via, tb.version, []byte(`{"keys":{"`+team+`-1":null}}`))
	if result.version == 0 {
		return unmet("the withdrawal was answered %s: %s %v", result.text(), result.failure.Message, result.err)
	}
	tb.recordAccepted(result.version)
	return nil
}

func (tb *testbed) connectCommand(a *arguments) error {
	name, via := a.word(0), a.index(a.text("via", "1"))
	if err := a.validate(); err != nil {
		return err
	}
	c, err := dial(tb.fleet.Instances[via].Settings.CallerAddress)
	if err != nil {
		return err
	}
	tb.conns[name] = c
	return nil
}

func (tb *testbed) afterCommand(a *arguments) error {
	mark, plus := a.word(0), a.duration("plus", 0)
	if err := a.validate(); err != nil {
		return err
	}
	at, err := tb.markTime(mark)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(plus)))
	return nil
}

// expectCommand runs the check that the first word names.
func (tb *testbed) expectCommand(a *arguments) error {
	switch a.word(0) {
	case "count":
		return tb.checkCount(a)
	case "quiet":
		return tb.checkQuiet(a)
	case "safety":
		return checkIfValid(a.validate(), tb.checkSafety)
	case "no-cut":
		minimum := a.number("min", 1)
		return checkIfValid(a.validate(), func() error { return tb.checkNoCut(minimum) })
	case "no-runs":
		team, since, plus := a.word(1), a.text("since", "in-force"), a.duration("plus", 0)
		return checkIfValid(a.validate(), func() error { return tb.checkNoRuns(team, since, plus) })
	case "runs":
		id, count := a.word(1), a.number("count", 1)
		minimum, maximum := a.number("min", count), a.number("max", count)
		return checkIfValid(a.validate(), func() error { return tb.checkRuns(id, minimum, maximum) })
	case "ejected":
		minimum, within := a.number("min", 1), a.duration("within", 0)
		return checkIfValid(a.validate(), func() error {
			if !pollUntil(within, func() bool { return tb.watch.maxEjectedTargets() >= minimum }) {
				return unmet("at most %d targets were ejected at once", tb.watch.maxEjectedTargets())
			}
			return nil
		})
	}
	return usage("unknown check %q", a.word(0))
}

// checkIfValid runs the check unless err reports invalid arguments.
func checkIfValid(err error, check func() error) error {
	if err != nil {
		return err
	}
	return check()
}

// checkRuns checks how often a request ran at targets.
func (tb *testbed) checkRuns(id string, minimum, maximum int) error {
	e, err := tb.collectTargetRecords()
	if err != nil {
		return err
	}
	if got := e.executionCounts[id]; got < minimum || got > maximum {
		return unmet("request %s ran %d times, expected %d to %d", id, got, minimum, maximum)
	}
	return nil
}
