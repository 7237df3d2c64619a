package scenario

import (
	"strconv"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type worldKey struct{}

// Setup prepares the state of one script and ends its processes with it.
func Setup(o Options) func(*testscript.Env) error {
	return func(env *testscript.Env) error {
		w := newWorld(o)
		env.Values[worldKey{}] = w
		env.Defer(w.close)
		return nil
	}
}

// Commands returns the commands of the language. Instances and targets are
// numbered from 1; a list is "1,3", "all", "zone-a" or "not-1,3". D is a
// duration, M the name of a mark. "issuers-TEAM" lists the token issuers of a team.
//
//	fleet N [zones= targets= slots= floor= profile= issuers= rate= burst= timeout=D fence=D directory=D green-expires=D]
//	crash LIST, start LIST, freeze LIST, resume LIST
//	shutdown LIST, await-shutdown N within=D
//	members N within=D             the membership has N members, all fresh
//	fresh LIST within=D, not-fresh LIST within=D
//	cut LIST LIST, cut-one-way LIST LIST, heal LIST LIST
//	platform down|up|slow by=D|lose-answers next=N [before-effect=1 table-only=1]
//	patch JSON [via=N] [version=N] [is=OUTCOMES] [within=D]
//	race LIST                      one number, several patches
//	in-force [within=D]            marks "in-force"; the default is the objective of 6 s
//	withdraw-key TEAM [via=N]      marks "accepted"
//	connect NAME via=N             opens a keep-alive connection
//	send [team= route= id= claim= via= conn= n= parallel=1] [status= code= outcome=] [within=D|for=D] [since=M]
//	load [team=LIST routes= rate= via=LIST], stop-load
//	target LIST drain|undrain|kill|revive|silence|heal|JSON|late by=D
//	mark M, after M plus=D         records or awaits a time
//	expect safety
//	expect no-runs TEAM since=M [plus=D]
//	expect runs ID count=N
//	expect no-cut [min=N]
//	expect count [team= route= status= code= outcome= since=M] [min=N max=N]
//	expect quiet LIST since=M plus=D [for=D]
//	expect ejected min=N within=D
//	random-faults for=D            uses the seed of the options
//
// The accepted versions, freshness and floor are watched during the whole
// script; "expect safety" reports what the watch found.
func Commands() map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range table() {
		commands[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			if neg {
				ts.Fatalf("%s cannot be negated", name)
			}
			w, ok := ts.Value(worldKey{}).(*world)
			if !ok {
				ts.Fatalf("the script was not set up")
			}
			if w.fleet == nil && name != "fleet" {
				ts.Fatalf("%s needs a fleet", name)
			}
			begun := time.Now()
			w.logf = ts.Logf
			err := run(w, parse(words))
			ts.Logf("# %s took %.2f s", name, time.Since(begun).Seconds())
			if err != nil {
				w.keepLogs(ts.Logf)
				ts.Fatalf("%v", err)
			}
		}
	}
	return commands
}

// The names differ from those of the commands of testscript, such as kill and
// stop, which cannot be replaced.
type command func(*world, *arguments) error

func table() map[string]command {
	commands := map[string]command{
		"fleet":          (*world).start,
		"await-shutdown": (*world).awaitStopCommand,
		"members":        (*world).membersCommand,
		"platform":       (*world).platform,
		"patch":          (*world).patchCommand,
		"in-force":       (*world).inForceCommand,
		"withdraw-key":   (*world).withdrawCommand,
		"connect":        (*world).connectCommand,
		"send":           (*world).sendCommand,
		"load":           (*world).startLoad,
		"target":         (*world).target,
		"after":          (*world).afterCommand,
		"expect":         (*world).expect,
		"random-faults":  (*world).randomFaults,
	}
	commands["mark"] = func(w *world, a *arguments) error { w.mark(a.word(0)); return a.finish() }
	commands["stop-load"] = func(w *world, a *arguments) error { w.stopLoad(); return a.finish() }
	for name, run := range listCommands() {
		commands[name] = run
	}
	return commands
}

// listCommands act on lists of instances.
func listCommands() map[string]command {
	onList := func(act func(w *world, list []int) error) command {
		return func(w *world, a *arguments) error {
			list := w.instances(a, a.word(0))
			if err := a.finish(); err != nil {
				return err
			}
			return act(w, list)
		}
	}
	each := func(act func(w *world, n int)) command {
		return onList(func(w *world, list []int) error {
			for _, n := range list {
				act(w, n)
			}
			return nil
		})
	}
	link := func(cut, oneWay bool) command {
		return func(w *world, a *arguments) error {
			from, to := w.instances(a, a.word(0)), w.instances(a, a.word(1))
			if err := a.finish(); err != nil {
				return err
			}
			return w.cutSets(from, to, cut, oneWay)
		}
	}
	fresh := func(want bool) command {
		return func(w *world, a *arguments) error {
			list, within := w.instances(a, a.word(0)), a.duration("within", 0)
			if err := a.finish(); err != nil {
				return err
			}
			return w.waitFresh(list, want, within)
		}
	}
	return map[string]command{
		"crash":  onList(func(w *world, list []int) error { w.kill(list); return nil }),
		"start":  onList((*world).startAgain),
		"race":   onList((*world).race),
		"freeze": each((*world).freeze), "resume": each((*world).resume), "shutdown": each((*world).stopInstance),
		"cut": link(true, false), "cut-one-way": link(true, true), "heal": link(false, false),
		"fresh": fresh(true), "not-fresh": fresh(false),
	}
}

func (w *world) waitFresh(list []int, want bool, within time.Duration) error {
	var last string
	for _, n := range list {
		if !until(within, func() bool {
			s, err := w.status(n)
			last = describeStatus(n, s, err)
			return err == nil && s.Fresh == want
		}) {
			return unmet("fresh is not %t within %s; %s", want, within, last)
		}
	}
	return nil
}

func (w *world) awaitStopCommand(a *arguments) error {
	n, within := a.instance(0), a.duration("within", stopLimit)
	if err := a.finish(); err != nil {
		return err
	}
	return w.awaitStop(n, within)
}

func (w *world) membersCommand(a *arguments) error {
	count, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.fail(usage("members needs a number"))
	}
	within := a.duration("within", startTimeout)
	if err := a.finish(); err != nil {
		return err
	}
	return w.waitMembers(count, within)
}

// patchCommand submits one patch; with within it repeats while the outcome is
// another than the expected one.
func (w *world) patchCommand(a *arguments) error {
	patch, via, is := []byte(a.word(0)), a.index(a.text("via", "1")), a.text("is", "202")
	version, within := a.number("version", int(w.version)), a.duration("within", 0)
	if err := a.finish(); err != nil {
		return err
	}
	var result patchResult
	if !until(within, func() bool {
		result = w.patch(via, int64(version), patch)
		return among(is, result.text())
	}) {
		return unmet("the patch was answered %s, expected %s: %s %v", result.text(), is, result.failure.Message, result.err)
	}
	if result.version > 0 {
		w.accepted(result.version)
	}
	return nil
}

func (w *world) inForceCommand(a *arguments) error {
	within := a.duration("within", inForceObjective)
	if err := a.finish(); err != nil {
		return err
	}
	at, err := w.markOf("accepted")
	if err != nil {
		return err
	}
	return w.waitInForce(w.version, max(0, within-time.Since(at)))
}

func (w *world) withdrawCommand(a *arguments) error {
	team, via := a.word(0), a.index(a.text("via", "1"))
	if err := a.finish(); err != nil {
		return err
	}
	result := w.patch(via, w.version, []byte(`{"keys":{"`+team+`-1":null}}`))
	if result.version == 0 {
		return unmet("the withdrawal was answered %s: %s %v", result.text(), result.failure.Message, result.err)
	}
	w.accepted(result.version)
	return nil
}

func (w *world) connectCommand(a *arguments) error {
	name, via := a.word(0), a.index(a.text("via", "1"))
	if err := a.finish(); err != nil {
		return err
	}
	c, err := dial(w.fleet.Instances[via].Settings.CallerAddress)
	if err != nil {
		return err
	}
	w.conns[name] = c
	return nil
}

func (w *world) afterCommand(a *arguments) error {
	mark, plus := a.word(0), a.duration("plus", 0)
	if err := a.finish(); err != nil {
		return err
	}
	at, err := w.markOf(mark)
	if err != nil {
		return err
	}
	time.Sleep(time.Until(at.Add(plus)))
	return nil
}

// expect runs one of the checks.
func (w *world) expect(a *arguments) error {
	switch a.word(0) {
	case "count":
		return w.checkCount(a)
	case "quiet":
		return w.checkQuiet(a)
	case "safety":
		return firstOf(a.finish(), w.checkSafety)
	case "no-cut":
		least := a.number("min", 1)
		return firstOf(a.finish(), func() error { return w.checkNoCut(least) })
	case "no-runs":
		team, since, plus := a.word(1), a.text("since", "in-force"), a.duration("plus", 0)
		return firstOf(a.finish(), func() error { return w.checkNoRuns(team, since, plus) })
	case "runs":
		id, count := a.word(1), a.number("count", 1)
		return firstOf(a.finish(), func() error { return w.checkRuns(id, count) })
	case "ejected":
		least, within := a.number("min", 1), a.duration("within", 0)
		return firstOf(a.finish(), func() error {
			if !until(within, func() bool { return w.watch.ejected() >= least }) {
				return unmet("at most %d targets were ejected", w.watch.ejected())
			}
			return nil
		})
	}
	return usage("unknown check %q", a.word(0))
}

func firstOf(err error, then func() error) error {
	if err != nil {
		return err
	}
	return then()
}

func (w *world) checkRuns(id string, count int) error {
	e, err := w.collect()
	if err != nil {
		return err
	}
	if e.runs[id] != count {
		return unmet("request %s ran %d times, expected %d", id, e.runs[id], count)
	}
	return nil
}
