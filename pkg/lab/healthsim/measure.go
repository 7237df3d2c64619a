package healthsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	sampleInterval = 20 * time.Millisecond
	// detectedFraction is the fraction of the instances that must have ejected a
	// faulty target before it counts as detected.
	detectedFraction = 0.9
)

// counts counts requests by outcome.
type counts struct{ total, failed, shed int }

// requestStats counts requests that start or end after the fault began.
type requestStats struct {
	counts
	latency []time.Duration
}

// count applies the change to the counts if the fault has begun.
func (m *requestStats) count(sim *simulation, change func(*counts)) {
	if sim.engine.SinceBoot() >= faultAt {
		change(&m.counts)
	}
}

// recordLatency records the latency of an answered request if the fault has begun.
func (m *requestStats) recordLatency(sim *simulation, latency time.Duration) {
	if sim.engine.SinceBoot() >= faultAt {
		m.latency = append(m.latency, latency)
	}
}

// stats collects the figures of a run.
type stats struct {
	requests requestStats
	// detectionTimes maps a faulty target to the time from the fault to its detection.
	detectionTimes map[string]time.Duration
	// falseEjections counts the periods in which at least one instance had
	// ejected a healthy target.
	falseEjections int
	// falselyEjected reports for each healthy target whether any instance had
	// ejected it in the last sample.
	falselyEjected     map[string]bool
	falseTargetSeconds float64
	// minInUsePercent is the minimum percentage of a service's slots that were in
	// use at any instance.
	minInUsePercent float64
	// samplesBelowFloor counts the samples of one service at one instance in which
	// ejections left less than the floor.
	samplesBelowFloor int
}

func newStats() stats {
	return stats{detectionTimes: map[string]time.Duration{}, falselyEjected: map[string]bool{}, minInUsePercent: 100}
}

// sample evaluates the state of all targets at all instances.
func (sim *simulation) sample() {
	for _, s := range serviceSpecs {
		svc := sim.config.Services[s.name]
		for _, name := range sim.names[s.name] {
			sim.sampleTarget(s.name, name)
		}
		for _, i := range sim.instances {
			sim.sampleFloor(i, s, svc)
		}
	}
}

// sampleTarget detects the ejection of a faulty target and counts false
// ejections of a healthy one.
func (sim *simulation) sampleTarget(service, name string) {
	n := 0
	for _, i := range sim.instances {
		if i.ejected(service, name) {
			n++
		}
	}
	fraction := float64(n) / float64(len(sim.instances))
	m := &sim.stats
	if sim.targets[name].faulty {
		_, known := m.detectionTimes[name]
		if sim.engine.SinceBoot() >= faultAt && !known && fraction >= detectedFraction {
			m.detectionTimes[name] = sim.engine.SinceBoot() - faultAt
		}
		return
	}
	if n > 0 && !m.falselyEjected[name] {
		m.falseEjections++
	}
	m.falselyEjected[name] = n > 0
	m.falseTargetSeconds += fraction * sampleInterval.Seconds()
}

// sampleFloor checks the slots in use of one service at one instance.
func (sim *simulation) sampleFloor(i *instance, s serviceSpec, svc config.Service) {
	if i.baseline == nil && i.follower.Standings(s.name) == nil {
		return
	}
	withheld := false
	used := health.SlotsInUse(svc, func(target string) peerpb.TargetState {
		if i.ejected(s.name, target) {
			withheld = true
			return peerpb.TargetState_TARGET_STATE_EJECTED
		}
		if i.baseline != nil {
			return peerpb.TargetState_TARGET_STATE_ACTIVE
		}
		return i.follower.Standings(s.name).Targets[target].State
	})
	sim.stats.minInUsePercent = min(sim.stats.minInUsePercent, 100*float64(used)/float64(s.targets*s.slots))
	// Cold or draining targets alone may leave less than the floor. Ejections
	// must not.
	if withheld && used < health.RequiredSlots(svc) {
		sim.stats.samplesBelowFloor++
	}
}
