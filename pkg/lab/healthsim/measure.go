package healthsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/health"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	measureEvery = 20 * time.Millisecond
	// detectedShare of the instances must keep work from a target before it
	// counts as detected.
	detectedShare = 0.9
)

type counts struct{ total, failed, shed int }

// requestMeasure counts requests that start or end after the fault began.
type requestMeasure struct {
	counts
	latency []time.Duration
}

func (m *requestMeasure) count(w *world, change func(*counts)) {
	if w.engine.SinceBoot() >= faultAt {
		change(&m.counts)
	}
}

func (m *requestMeasure) answered(w *world, latency time.Duration) {
	if w.engine.SinceBoot() >= faultAt {
		m.latency = append(m.latency, latency)
	}
}

// measure samples the standings of all instances.
type measure struct {
	requests requestMeasure
	// detected maps a faulty target to the time from the fault to its detection.
	detected map[string]time.Duration
	// mistaken counts the episodes in which any instance ejected a healthy target.
	mistaken        int
	mistakenNow     map[string]bool
	mistakenSeconds float64
	// lowest is the smallest share of slots in use at any instance, in percent.
	lowest  float64
	crossed int
}

func newMeasure() measure {
	return measure{detected: map[string]time.Duration{}, mistakenNow: map[string]bool{}, lowest: 100}
}

func (w *world) sample() {
	for _, s := range shapes {
		svc := w.config.Services[s.name]
		for _, name := range w.names[s.name] {
			w.sampleTarget(s.name, name)
		}
		for _, i := range w.instances {
			w.sampleFloor(i, s, svc)
		}
	}
}

func (w *world) sampleTarget(service, name string) {
	n := 0
	for _, i := range w.instances {
		if i.ejected(service, name) {
			n++
		}
	}
	share := float64(n) / float64(len(w.instances))
	m := &w.measure
	if w.targets[name].faulty {
		_, known := m.detected[name]
		if w.engine.SinceBoot() >= faultAt && !known && share >= detectedShare {
			m.detected[name] = w.engine.SinceBoot() - faultAt
		}
		return
	}
	if n > 0 && !m.mistakenNow[name] {
		m.mistaken++
	}
	m.mistakenNow[name] = n > 0
	m.mistakenSeconds += share * measureEvery.Seconds()
}

func (w *world) sampleFloor(i *instance, s shape, svc config.Service) {
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
	w.measure.lowest = min(w.measure.lowest, 100*float64(used)/float64(s.targets*s.slots))
	// Cold or draining targets alone may leave less than the floor; only
	// ejections must not.
	if withheld && used < health.RequiredSlots(svc) {
		w.measure.crossed++
	}
}
