package scenario

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/experiment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// stopLimit is the default shutdown timeout of an instance and some room.
const stopLimit = 40 * time.Second

func (w *world) kill(instances []int) {
	for _, n := range instances {
		w.fleet.Instances[n].Process.Kill()
		delete(w.frozen, n)
	}
}

// startAgain starts instances that have ended, at once.
func (w *world) startAgain(instances []int) error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	results := make(chan error, len(instances))
	for _, n := range instances {
		go func() { results <- w.fleet.StartInstance(ctx, n) }()
	}
	var first error
	for range instances {
		if err := <-results; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (w *world) freeze(n int) {
	w.frozen[n] = true
	w.fleet.Instances[n].Process.Freeze()
}

func (w *world) resume(n int) {
	delete(w.frozen, n)
	w.fleet.Instances[n].Process.Resume()
}

// stopInstance begins a graceful shutdown in the background.
func (w *world) stopInstance(n int) {
	process, done := w.fleet.Instances[n].Process, make(chan error, 1)
	w.stops[n] = done
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		done <- process.Stop(ctx)
	}()
}

func (w *world) awaitStop(n int, limit time.Duration) error {
	select {
	case err := <-w.stops[n]:
		return err
	case <-time.After(limit):
		return unmet("instance %d has not stopped within %s", n+1, limit)
	}
}

// cut holds the bytes from one instance to another, on connections in either
// direction.
func (w *world) cut(from, to int, cut bool) error {
	ipOf := func(n int) string { return w.fleet.Instances[n].Settings.PeerSourceIP }
	// Connections from each instance pass the relay of the other one. Each
	// relay has one control per source, so both directions are set together.
	set := func(at, source int) error {
		return w.fleet.Instances[at].Link.SetFrom(ipOf(source), relay.Faults{
			CutToTarget: w.isCut(source, at), CutToClient: w.isCut(at, source),
		})
	}
	w.setCut(from, to, cut)
	if err := set(to, from); err != nil {
		return err
	}
	return set(from, to)
}

func cutMark(from, to int) string { return "cut-" + strconv.Itoa(from) + "-" + strconv.Itoa(to) }

func (w *world) isCut(from, to int) bool { return w.cuts[cutMark(from, to)] }

func (w *world) setCut(from, to int, cut bool) { w.cuts[cutMark(from, to)] = cut }

// cutSets cuts every instance of one set from every one of the other; oneWay
// cuts only from the first to the second.
func (w *world) cutSets(from, to []int, cut, oneWay bool) error {
	for _, f := range from {
		for _, t := range to {
			if f == t {
				continue
			}
			if err := w.cut(f, t, cut); err != nil {
				return err
			}
			if oneWay {
				continue
			}
			if err := w.cut(t, f, cut); err != nil {
				return err
			}
		}
	}
	return nil
}

// instances reads a list such as 1,3, "all", "zone-a", "not-" before a list, or
// "issuers-" before a team for the token issuers of the team.
func (w *world) instances(a *arguments, word string) []int {
	var found []int
	if team, ok := strings.CutPrefix(word, "issuers-"); ok {
		return w.issuers(a, team)
	}
	zone, byZone := strings.CutPrefix(word, "zone-")
	except, others := strings.CutPrefix(word, "not-")
	for n, i := range w.fleet.Instances {
		switch {
		case word == "all", byZone && i.Settings.AvailabilityZone == zone,
			others && !contains(w.instances(a, except), n):
			found = append(found, n)
		}
	}
	if word == "all" || byZone || others {
		return found
	}
	for _, w := range strings.Split(word, ",") {
		found = append(found, a.index(w))
	}
	return found
}

// issuers returns the token issuers of a team by the membership that the first
// active instance has.
func (w *world) issuers(a *arguments, team string) []int {
	var members api.MemberList
	for n := range w.fleet.Instances {
		if w.active(n) && get(w.fleet.Instances[n].Settings.OperatorAddress, api.MembershipPath, &members) {
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
	for _, issuer := range m.RankAcrossZones(team, w.fleet.Instances[0].Settings.Limits.IssuersPerTeam) {
		for n, i := range w.fleet.Instances {
			if i.Settings.Instance == issuer.Instance {
				found = append(found, n)
			}
		}
	}
	if len(found) == 0 {
		a.fail(usage("no instance tells the token issuers of team %q", team))
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

// platform switches faults of the platform.
func (w *world) platform(a *arguments) error {
	var faults map[string]any
	switch a.word(0) {
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
		a.fail(usage("platform down, up, slow or lose-answers"))
	}
	if err := a.finish(); err != nil {
		return err
	}
	return experiment.SetPlatformFaults(w.fleet, faults)
}

// targets reads a list such as 1,2 or all.
func (w *world) targets(a *arguments, word string) []*fleet.Target {
	if word == "all" {
		return w.fleet.Targets
	}
	var found []*fleet.Target
	for _, part := range strings.Split(word, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > len(w.fleet.Targets) {
			a.fail(usage("%q is not the number of a target", part))
			continue
		}
		found = append(found, w.fleet.Targets[n-1])
	}
	return found
}

// target changes targets: faults as JSON, drain, undrain, kill,
// revive, silence, or late by a time in each direction.
func (w *world) target(a *arguments) error {
	targets, action, by := w.targets(a, a.word(0)), a.word(1), a.duration("by", 0)
	if err := a.finish(); err != nil {
		return err
	}
	for _, t := range targets {
		if action == "late" {
			// The delay is that of each direction.
			if err := w.relays[t.ID].SetFaults(relay.Faults{DelayMS: int(by.Milliseconds())}); err != nil {
				return err
			}
			continue
		}
		if err := w.changeTarget(t, action); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) changeTarget(t *fleet.Target, action string) error {
	switch action {
	case "drain", "undrain":
		return experiment.SetDraining(t, action == "drain")
	case "kill":
		return w.relays[t.ID].Close()
	case "revive":
		return w.startRelay(t, w.config.Services[service].Targets[t.ID].Address)
	case "silence":
		w.relays[t.ID].SilenceExisting()
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
