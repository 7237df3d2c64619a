package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// watchInterval is the poll interval of the watcher for each instance.
const watchInterval = 100 * time.Millisecond

// watcher polls every instance during a script and records violations that may be
// visible only for a short time: versions that decrease, an instance that admits
// requests with a version older than one in force, and ejections below the floor.
type watcher struct {
	testbed *testbed
	done    chan struct{}
	group   sync.WaitGroup

	mu sync.Mutex
	// inForceVersion is the newest version that was reported in force.
	inForceVersion int64
	// lastVersions are the last configuration and membership version reported by
	// each incarnation of an instance.
	lastVersions map[string][2]int64
	violations   []string
	// polls counts the polls that an instance answered.
	polls int
	// maxEjected is the largest number of targets that an instance had ejected at once.
	maxEjected int
}

func startWatcher(tb *testbed) *watcher {
	v := &watcher{testbed: tb, done: make(chan struct{}), lastVersions: map[string][2]int64{}}
	for _, instance := range tb.fleet.Instances {
		address := instance.Settings.OperatorAddress
		v.group.Go(func() { v.poll(address) })
	}
	return v
}

func (v *watcher) stop() {
	close(v.done)
	v.group.Wait()
}

// recordInForce records that a version was reported in force.
func (v *watcher) recordInForce(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.inForceVersion = max(v.inForceVersion, version)
}

func (v *watcher) poll(address string) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-ticker.C:
			v.observe(address)
		}
	}
}

// observe reads the status and the dump of one instance and checks them.
func (v *watcher) observe(address string) {
	v.mu.Lock()
	inForceVersion := v.inForceVersion
	v.mu.Unlock()
	var s api.Status
	if !get(address, api.StatusPath, &s) {
		return
	}
	var d dump
	hasDump := get(address, api.DumpPath, &d)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polls++
	v.checkVersions(s, inForceVersion)
	if s.ConfigState == api.InForce {
		v.inForceVersion = max(v.inForceVersion, s.ConfigVersion)
	}
	if hasDump {
		v.checkFloor(s.Instance, d)
	}
}

// get reads a document of the operator API and reports whether that succeeded.
func get(address, path string, into any) bool {
	code, data, err := callOperatorAPIAt(address, statusTimeout, http.MethodGet, path, nil, nil)
	return err == nil && code == http.StatusOK && json.Unmarshal(data, into) == nil
}

// checkVersions checks the versions of one instance. inForceVersion is the version
// that was in force before the status was requested.
func (v *watcher) checkVersions(s api.Status, inForceVersion int64) {
	before := v.lastVersions[s.Incarnation]
	if s.ConfigVersion < before[0] || s.MembershipVersion < before[1] {
		v.addViolation("configuration and membership version of %s decreased from %v to %d and %d", s.Instance, before, s.ConfigVersion, s.MembershipVersion)
	}
	v.lastVersions[s.Incarnation] = [2]int64{s.ConfigVersion, s.MembershipVersion}
	if s.Fresh && s.ConfigVersion < inForceVersion {
		v.addViolation("%s is fresh with configuration version %d after version %d was in force", s.Instance, s.ConfigVersion, inForceVersion)
	}
}

func (v *watcher) addViolation(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// dump is the part of an instance's state dump that the watcher reads.
type dump struct {
	Follower struct {
		Services map[string]struct {
			Targets map[string]string `json:"targets"`
		} `json:"services"`
	} `json:"follower"`
}

// ejectedTargets counts the targets that do not take full load because of an ejection,
// those that are in trial after one included.
func (d dump) ejectedTargets() int {
	count := 0
	for _, state := range d.Follower.Services[service].Targets {
		if state == "ejected" || state == "trial" {
			count++
		}
	}
	return count
}

// checkFloor checks that ejections leave at least the floor of the service's slots
// in use.
func (v *watcher) checkFloor(instance string, d dump) {
	ejectedTargets := d.ejectedTargets()
	v.maxEjected = max(v.maxEjected, ejectedTargets)
	s := v.testbed.fleet.Options.Deployment.Services[0]
	floor := (s.Targets*s.Slots*s.FloorPercent + 99) / 100
	if remaining := (s.Targets - ejectedTargets) * s.Slots; remaining < floor {
		v.addViolation("%s leaves %d slots in use, the floor is %d", instance, remaining, floor)
	}
}

// result returns an error if there were violations so far, or if no instance has
// answered a poll.
func (v *watcher) result() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.violations) > 0 {
		return unmet("the watcher recorded %d violations, the first: %s", len(v.violations), v.violations[0])
	}
	if v.polls == 0 {
		return unmet("no instance answered the watcher")
	}
	return nil
}

// maxEjectedTargets returns the largest number of targets that an instance had
// ejected at once.
func (v *watcher) maxEjectedTargets() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.maxEjected
}
