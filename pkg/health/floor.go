package health

import (
	"sort"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// RequiredSlots returns the number of slots that ejections must leave in use: the
// percentage FloorPercent of the slots of all configured targets that are not out of
// use, rounded up.
func RequiredSlots(s config.Service) int {
	total := 0
	for _, t := range s.Targets {
		if !t.OutOfUse() {
			total += t.Slots
		}
	}
	return (total*s.FloorPercent + 99) / 100
}

// SlotsInUse counts the slots of the active targets that are not out of use.
func SlotsInUse(s config.Service, state func(target string) peerpb.TargetState) int {
	total := 0
	for name, t := range s.Targets {
		if !t.OutOfUse() && state(name) == peerpb.TargetState_TARGET_STATE_ACTIVE {
			total += t.Slots
		}
	}
	return total
}

// ejectedOrTrial reports whether the state is the result of an ejection.
func ejectedOrTrial(state peerpb.TargetState) bool {
	return state == peerpb.TargetState_TARGET_STATE_EJECTED || state == peerpb.TargetState_TARGET_STATE_TRIAL
}

// targetsToRestore returns the names of the ejected targets that must become active
// again because fewer slots than RequiredSlots are in use, for example after other
// targets left. It chooses targets in the order that less defines.
func targetsToRestore(s config.Service, state func(target string) peerpb.TargetState, less func(a, b string) bool) []string {
	missing := RequiredSlots(s) - SlotsInUse(s, state)
	if missing <= 0 {
		return nil
	}
	var candidates []string
	for name, t := range s.Targets {
		if !t.OutOfUse() && ejectedOrTrial(state(name)) {
			candidates = append(candidates, name)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return less(candidates[i], candidates[j]) })
	for i, name := range candidates {
		if missing <= 0 {
			return candidates[:i]
		}
		missing -= s.Targets[name].Slots
	}
	return candidates
}
