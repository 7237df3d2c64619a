package health

import (
	"sort"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// RequiredSlots is the number of slots that ejections must leave in use: the
// floor's share of the slots of all configured targets that are not leaving.
func RequiredSlots(s config.Service) int {
	total := 0
	for _, t := range s.Targets {
		if !t.Leaving {
			total += t.Slots
		}
	}
	return (total*s.FloorPercent + 99) / 100
}

// SlotsInUse counts the slots of the active targets that are not leaving.
func SlotsInUse(s config.Service, state func(target string) peerpb.TargetState) int {
	total := 0
	for name, t := range s.Targets {
		if !t.Leaving && state(name) == peerpb.TargetState_TARGET_STATE_ACTIVE {
			total += t.Slots
		}
	}
	return total
}

// ejectedOrTrial tells whether the state is the result of an ejection.
func ejectedOrTrial(state peerpb.TargetState) bool {
	return state == peerpb.TargetState_TARGET_STATE_EJECTED || state == peerpb.TargetState_TARGET_STATE_TRIAL
}

// targetsToRestore names the ejected targets that must take work again because
// the capacity of others went away. The targets that less releases first.
func targetsToRestore(s config.Service, state func(target string) peerpb.TargetState, less func(a, b string) bool) []string {
	missing := RequiredSlots(s) - SlotsInUse(s, state)
	if missing <= 0 {
		return nil
	}
	var ejected []string
	for name, t := range s.Targets {
		if !t.Leaving && ejectedOrTrial(state(name)) {
			ejected = append(ejected, name)
		}
	}
	sort.Slice(ejected, func(i, j int) bool { return less(ejected[i], ejected[j]) })
	for i, name := range ejected {
		if missing <= 0 {
			return ejected[:i]
		}
		missing -= s.Targets[name].Slots
	}
	return ejected
}
