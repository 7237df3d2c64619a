package scenario

import (
	"context"
	"encoding/json"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// shutdownTimeout is the default shutdown timeout of an instance plus a margin.
const shutdownTimeout = 40 * time.Second

// killInstances ends the processes of instances with SIGKILL.
func (tb *testbed) killInstances(instances []int) {
	for _, n := range instances {
		tb.fleet.Instances[n].Process.Kill()
		delete(tb.frozen, n)
	}
}

// restartInstances starts instances that have ended, all in parallel.
func (tb *testbed) restartInstances(instances []int) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	results := make(chan error, len(instances))
	for _, n := range instances {
		go func() { results <- tb.fleet.StartInstance(ctx, n) }()
	}
	var firstErr error
	for range instances {
		if err := <-results; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

// cutTargets makes the new connections of instances to all targets hang or be refused.
func (tb *testbed) cutTargets(instances []int, how string) error {
	for _, n := range instances {
		if err := os.WriteFile(tb.fleet.Instances[n].Settings.TargetFaultFile, []byte(how), 0o600); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (tb *testbed) healTargets(instances []int) error {
	for _, n := range instances {
		if err := os.Remove(tb.fleet.Instances[n].Settings.TargetFaultFile); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

func (tb *testbed) freezeInstance(n int) {
	tb.frozen[n] = true
	tb.fleet.Instances[n].Process.Freeze()
}

func (tb *testbed) resumeInstance(n int) {
	delete(tb.frozen, n)
	tb.fleet.Instances[n].Process.Resume()
}

// shutDownInstance begins a graceful shutdown in the background.
func (tb *testbed) shutDownInstance(n int) {
	process, done := tb.fleet.Instances[n].Process, make(chan error, 1)
	tb.shutdowns[n] = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		done <- process.Stop(ctx)
	}()
}

// awaitShutdown waits for the end of a graceful shutdown and returns its error,
// such as an exit code other than 0.
func (tb *testbed) awaitShutdown(n int, limit time.Duration) error {
	select {
	case err := <-tb.shutdowns[n]:
		return err
	case <-time.After(limit):
		return unmet("instance %d has not shut down within %s", n+1, limit)
	}
}

// cut holds the bytes from one instance to another, on connections that either of
// them opened, or releases them if cut is false.
func (tb *testbed) cut(from, to int, cut bool) error {
	ipOf := func(n int) string { return tb.fleet.Instances[n].Settings.PeerSourceIP }
	// Connections that an instance opens pass the relay of the other one. A relay
	// has one set of faults per source address, which covers both directions.
	set := func(at, source int) error {
		return tb.fleet.Instances[at].PeerRelay.SetSourceFaults(ipOf(source), relay.Faults{
			CutToTarget: tb.isCut(source, at), CutToClient: tb.isCut(at, source),
		})
	}
	tb.recordCut(from, to, cut)
	if err := set(to, from); err != nil {
		return err
	}
	return set(from, to)
}

// cutKey is the key of a pair of instances in testbed.cuts.
func cutKey(from, to int) string { return "cut-" + strconv.Itoa(from) + "-" + strconv.Itoa(to) }

func (tb *testbed) isCut(from, to int) bool { return tb.cuts[cutKey(from, to)] }

func (tb *testbed) recordCut(from, to int, cut bool) { tb.cuts[cutKey(from, to)] = cut }

// setCuts cuts every instance of one set from every one of the other, or ends the
// cuts if cut is false. oneWay leaves the direction from the second set to the
// first one unchanged.
func (tb *testbed) setCuts(from, to []int, cut, oneWay bool) error {
	for _, f := range from {
		for _, t := range to {
			if f == t {
				continue
			}
			if err := tb.cut(f, t, cut); err != nil {
				return err
			}
			if oneWay {
				continue
			}
			if err := tb.cut(t, f, cut); err != nil {
				return err
			}
		}
	}
	return nil
}

// instances returns the indexes of the instances in a list: "1,3", "all", "zone-a",
// "not-" before a list, or "issuers-" before a team for the token issuers of it.
func (tb *testbed) instances(a *arguments, word string) []int {
	var found []int
	if team, ok := strings.CutPrefix(word, "issuers-"); ok {
		return tb.tokenIssuers(a, team)
	}
	zone, byZone := strings.CutPrefix(word, "zone-")
	except, others := strings.CutPrefix(word, "not-")
	for n, i := range tb.fleet.Instances {
		switch {
		case word == "all", byZone && i.Settings.AvailabilityZone == zone,
			others && !contains(tb.instances(a, except), n):
			found = append(found, n)
		}
	}
	if word == "all" || byZone || others {
		return found
	}
	for _, number := range strings.Split(word, ",") {
		found = append(found, a.index(number))
	}
	return found
}

// tokenIssuers returns the token issuers of a team according to the membership that
// the first active instance reports.
func (tb *testbed) tokenIssuers(a *arguments, team string) []int {
	var members api.MemberList
	for n := range tb.fleet.Instances {
		if tb.active(n) && get(tb.fleet.Instances[n].Settings.OperatorAddress, api.MembershipPath, &members) {
			break
		}
	}
	m := membership.Membership{Version: members.Version}
	for _, member := range members.Members {
		m.Members = append(m.Members, membership.Member{
			Incarnation: member.Incarnation, Instance: member.Instance, Zone: member.Zone,
		})
	}
	var found []int
	for _, issuer := range m.RankAcrossZones(team, tb.fleet.Instances[0].Settings.Limits.IssuersPerTeam) {
		for n, i := range tb.fleet.Instances {
			if i.Settings.Instance == issuer.Instance {
				found = append(found, n)
			}
		}
	}
	if len(found) == 0 {
		a.fail(usage("no instance reports a membership to find the token issuers of team %q", team))
	}
	return found
}

func contains(list []int, n int) bool {
	for _, x := range list {
		if x == n {
			return true
		}
	}
	return false
}

// platformCommand sets or clears faults of the platform, or copies or restores its state.
func (tb *testbed) platformCommand(a *arguments) error {
	var faults map[string]any
	switch a.word(0) {
	case "copy":
		if err := a.validate(); err != nil {
			return err
		}
		return experiment.CopyPlatform(tb.fleet)
	case "restore":
		objects := a.has("objects")
		if err := a.validate(); err != nil {
			return err
		}
		return experiment.RestorePlatform(tb.fleet, objects)
	case "down":
		faults = map[string]any{"down": true}
	case "up":
		faults = map[string]any{
			"down": false, "delay_ms": 0,
			"lose_answers": map[string]any{"probability": 0, "next_writes": 0, "before_effect": false, "table_only": false},
		}
	case "slow":
		faults = map[string]any{"delay_ms": a.duration("by", time.Second).Milliseconds()}
	case "lose-answers":
		faults = map[string]any{"lose_answers": map[string]any{
			"next_writes": a.number("next", 1), "before_effect": a.has("before-effect"), "table_only": a.has("table-only"),
		}}
	default:
		a.fail(usage("platform must be followed by down, up, slow, lose-answers, copy or restore"))
	}
	if err := a.validate(); err != nil {
		return err
	}
	return experiment.SetPlatformFaults(tb.fleet, faults)
}

// targets returns the targets in a list: "1,2" or "all".
func (tb *testbed) targets(a *arguments, word string) []*fleet.Target {
	if word == "all" {
		return tb.fleet.Targets
	}
	var found []*fleet.Target
	for _, part := range strings.Split(word, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > len(tb.fleet.Targets) {
			a.fail(usage("%q is not the number of a target", part))
			continue
		}
		found = append(found, tb.fleet.Targets[n-1])
	}
	return found
}

// targetCommand changes targets. The action is faults as JSON, drain, undrain, kill,
// revive, silence, heal, or late, which delays the bytes in each direction.
func (tb *testbed) targetCommand(a *arguments) error {
	targets, action, by := tb.targets(a, a.word(0)), a.word(1), a.duration("by", 0)
	if err := a.validate(); err != nil {
		return err
	}
	for _, t := range targets {
		if action == "late" {
			// The relay applies the delay to each direction.
			if err := tb.relays[t.ID].SetFaults(relay.Faults{DelayMS: int(by.Milliseconds())}); err != nil {
				return err
			}
			continue
		}
		if err := tb.changeTarget(t, action); err != nil {
			return err
		}
	}
	return nil
}

// changeTarget performs one action on a target. kill and revive close and reopen
// the relay in front of it; silence blackholes its existing connections.
func (tb *testbed) changeTarget(t *fleet.Target, action string) error {
	switch action {
	case "drain", "undrain":
		return experiment.SetDraining(t, action == "drain")
	case "kill":
		return tb.relays[t.ID].Close()
	case "revive":
		return tb.startRelay(t, tb.config.Services[service].Targets[t.ID].Address)
	case "silence":
		tb.relays[t.ID].BlackholeExisting()
		return nil
	case "heal":
		return experiment.SetTargetFaults(t, map[string]any{
			"stall": 0, "error_rate": 0, "slow_factor": 0, "flap_period_ms": 0, "silent": false, "half_response": 0, "health": "",
		})
	}
	var faults map[string]any
	if err := json.Unmarshal([]byte(action), &faults); err != nil {
		return usage("unknown action %q", action)
	}
	return experiment.SetTargetFaults(t, faults)
}
