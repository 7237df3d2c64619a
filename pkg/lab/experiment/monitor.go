package experiment

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/report"
)

// monitor polls the state dumps of some instances, and counts ejections and
// violations of the floor.
type monitor struct {
	run   *Run
	polls sync.WaitGroup

	mu sync.Mutex
	// detectedAt holds, by ejectionKey, the time of the first poll that saw the
	// faulty target ejected.
	detectedAt map[string]time.Time
	// openEjections holds the start of each ejection in force, by ejectionKey.
	openEjections map[string]time.Time
	// trueEjections and falseEjections count ejections of targets with and without
	// a fault.
	trueEjections  int64
	falseEjections int64
	// falseEjectionSeconds is the total duration of the false ejections that ended.
	falseEjectionSeconds float64
	// lowestSlots and floorSlots are the remaining slots and the floor of a service
	// at the observation with the smallest margin above the floor; lowestSlots is
	// -1 before the first observation.
	lowestSlots int
	floorSlots  int
	// floorCrossings counts observations of a service with fewer slots than its floor.
	floorCrossings int64
	// maxEjectedBySecond maps seconds of the run to the highest number of targets
	// that one polled instance had ejected.
	maxEjectedBySecond map[int]int
	// instances are the indices of the polled instances.
	instances []int
}

const (
	pollInterval = 100 * time.Millisecond
	// maxPolledInstances bounds the polled instances, because a dump costs an
	// instance processing time.
	maxPolledInstances = 6
)

func newMonitor(r *Run) *monitor {
	return &monitor{
		run: r, detectedAt: map[string]time.Time{}, openEjections: map[string]time.Time{}, lowestSlots: -1, maxEjectedBySecond: map[int]int{},
		instances: r.busyInstances(maxPolledInstances),
	}
}

// busyInstances picks up to maxCount instances that have traffic for every service.
// The others hold no verdicts, so they would wrongly count as instances that did
// not detect a fault.
func (r *Run) busyInstances(maxCount int) []int {
	var busy []int
	for n := range r.Fleet.Instances {
		var dump partialDump
		if err := r.Operator(n).Dump(&dump); err != nil {
			continue
		}
		if len(dump.Follower.Services) == len(r.Config.Services) || r.Options.Policy == "baseline" {
			busy = append(busy, n)
		}
		if len(busy) == maxCount {
			break
		}
	}
	return busy
}

// partialDump is the part of a dump that the monitor reads.
type partialDump struct {
	Follower struct {
		Services map[string]struct {
			Targets map[string]string `json:"targets"`
		} `json:"services"`
	} `json:"follower"`
	Baseline map[string][]string `json:"baseline_ejected"`
}

func (m *monitor) start(ctx context.Context) {
	for _, instance := range m.instances {
		m.polls.Add(1)
		go func() {
			defer m.polls.Done()
			m.poll(ctx, instance)
		}()
	}
}

func (m *monitor) wait() { m.polls.Wait() }

// poll observes one instance until ctx ends. It skips polls while the instance
// does not run or does not answer.
func (m *monitor) poll(ctx context.Context, instance int) {
	for sleepUntil(ctx, time.Now().Add(pollInterval)) {
		if !m.run.Fleet.Instances[instance].Process.Running() {
			continue
		}
		var dump partialDump
		if err := m.run.Operator(instance).Dump(&dump); err != nil {
			continue
		}
		m.observe(instance, dump, time.Now())
	}
}

// ejectedStates are the target states with reduced or no load because of an
// ejection.
var ejectedStates = map[string]bool{"ejected": true, "trial": true}

// ejected reports whether the dumped instance has ejected the target.
func (d partialDump) ejected(service, target string) bool {
	for _, t := range d.Baseline[service] {
		if t == target {
			return true
		}
	}
	return ejectedStates[d.Follower.Services[service].Targets[target]]
}

// observe records what one dump shows about every target.
func (m *monitor) observe(instance int, dump partialDump, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ejected := 0
	for name, service := range m.run.Config.Services {
		total, remaining := 0, 0
		for id, target := range service.Targets {
			total += target.Slots
			isEjected := dump.ejected(name, id)
			if isEjected {
				ejected++
			} else {
				remaining += target.Slots
			}
			m.trackEjection(ejectionKey(instance, id), id, isEjected, now)
		}
		m.checkFloor(total, remaining, service.FloorPercent)
	}
	second := int(now.Sub(m.run.started).Seconds())
	m.maxEjectedBySecond[second] = max(m.maxEjectedBySecond[second], ejected)
}

// ejectionKey identifies a target as seen by one instance.
func ejectionKey(instance int, target string) string { return target + "@" + strconv.Itoa(instance) }

// checkFloor compares the slots of a service that remain in use with its floor,
// percent of the total rounded up.
func (m *monitor) checkFloor(total, remaining, percent int) {
	floor := (total*percent + 99) / 100
	if m.lowestSlots < 0 || remaining-floor < m.lowestSlots-m.floorSlots {
		m.lowestSlots, m.floorSlots = remaining, floor
	}
	if remaining < floor {
		m.floorCrossings++
	}
}

// trackEjection updates the ejection counts with the state of one target as seen
// by one instance.
func (m *monitor) trackEjection(key, target string, isEjected bool, now time.Time) {
	since, wasEjected := m.openEjections[key]
	faulty := m.run.hasFault(target, now)
	switch {
	case isEjected && !wasEjected:
		m.openEjections[key] = now
		if faulty {
			m.trueEjections++
			if _, seen := m.detectedAt[key]; !seen {
				m.detectedAt[key] = now
			}
		} else {
			m.falseEjections++
		}
	case !isEjected && wasEjected:
		delete(m.openEjections, key)
		if !m.run.hasFault(target, since) {
			m.falseEjectionSeconds += now.Sub(since).Seconds()
		}
	}
}

// detectionTimes returns the time from a fault to its detection, over all faulty
// targets and polled instances. A pair without a detection counts with the time
// from the fault to the end of the run. The result is nil without faults.
func (m *monitor) detectionTimes(ended time.Time) *report.Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := report.NewHistogram()
	for target, period := range m.run.faultPeriods {
		for _, instance := range m.instances {
			at, ok := m.detectedAt[ejectionKey(instance, target)]
			if !ok {
				at = ended
			}
			_ = h.RecordValue(max(1, at.Sub(period.from).Microseconds()))
		}
	}
	if h.TotalCount() == 0 {
		return nil
	}
	q := report.Summarize(h)
	return &q
}

// ejections summarizes the ejections up to the end of the run.
func (m *monitor) ejections(ended time.Time) report.Ejections {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := m.falseEjectionSeconds
	for k, since := range m.openEjections {
		if !m.run.hasFault(targetOf(k), since) {
			seconds += ended.Sub(since).Seconds()
		}
	}
	// Counts are sums over the polled instances; seconds are the mean per polled instance.
	return report.Ejections{False: m.falseEjections, True: m.trueEjections, FalseTargetSeconds: seconds / float64(max(1, len(m.instances)))}
}

// targetOf returns the target of an ejectionKey.
func targetOf(key string) string {
	for i := range key {
		if key[i] == '@' {
			return key[:i]
		}
	}
	return key
}
