package scenario

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

const watchInterval = 100 * time.Millisecond

// watcher polls every instance during a script and notes violations that only
// show for a while: versions that decrease, an instance that admits requests
// on a version older than one in force, and ejections below the floor.
type watcher struct {
	world *world
	done  chan struct{}
	group sync.WaitGroup

	mu         sync.Mutex
	forced     int64
	seen       map[string][2]int64 // configuration and membership version per incarnation
	violations []string
	polls      int
	mostOut    int
}

func startWatcher(w *world) *watcher {
	v := &watcher{world: w, done: make(chan struct{}), seen: map[string][2]int64{}}
	for _, instance := range w.fleet.Instances {
		address := instance.Settings.OperatorAddress
		v.group.Go(func() { v.poll(address) })
	}
	return v
}

func (v *watcher) stop() {
	close(v.done)
	v.group.Wait()
}

// inForce tells the watcher that a version was reported in force.
func (v *watcher) inForce(version int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.forced = max(v.forced, version)
}

func (v *watcher) poll(address string) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	for {
		select {
		case <-v.done:
			return
		case <-tick.C:
			v.observe(address)
		}
	}
}

func (v *watcher) observe(address string) {
	v.mu.Lock()
	forced := v.forced
	v.mu.Unlock()
	var s api.Status
	if !get(address, api.StatusPath, &s) {
		return
	}
	var d dump
	known := get(address, api.DumpPath, &d)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polls++
	v.versions(s, forced)
	if s.ConfigState == api.InForce {
		v.forced = max(v.forced, s.ConfigVersion)
	}
	if known {
		v.floor(s.Instance, d)
	}
}

func get(address, path string, into any) bool {
	code, data, err := operateAt(address, statusTimeout, http.MethodGet, path, nil, nil)
	return err == nil && code == http.StatusOK && json.Unmarshal(data, into) == nil
}

func (v *watcher) versions(s api.Status, forced int64) {
	before := v.seen[s.Incarnation]
	if s.ConfigVersion < before[0] || s.MembershipVersion < before[1] {
		v.note("%s went from versions %v back to %d and %d", s.Instance, before, s.ConfigVersion, s.MembershipVersion)
	}
	v.seen[s.Incarnation] = [2]int64{s.ConfigVersion, s.MembershipVersion}
	if s.Fresh && s.ConfigVersion < forced {
		v.note("%s is fresh with version %d after %d was in force", s.Instance, s.ConfigVersion, forced)
	}
}

func (v *watcher) note(format string, args ...any) {
	v.violations = append(v.violations, fmt.Sprintf(format, args...))
}

// dump is the part of an instance's dump that scripts read.
type dump struct {
	Follower struct {
		Services map[string]struct {
			Targets map[string]string `json:"targets"`
		} `json:"services"`
	} `json:"follower"`
}

// out counts the targets that take no full load because of an ejection.
func (d dump) out() int {
	count := 0
	for _, state := range d.Follower.Services[service].Targets {
		if state == "ejected" || state == "trial" {
			count++
		}
	}
	return count
}

func (v *watcher) floor(instance string, d dump) {
	out := d.out()
	v.mostOut = max(v.mostOut, out)
	s := v.world.fleet.Options.Deployment.Services[0]
	floor := (s.Targets*s.Slots*s.FloorPercent + 99) / 100
	if left := (s.Targets - out) * s.Slots; left < floor {
		v.note("%s leaves %d slots in use, the floor is %d", instance, left, floor)
	}
}

// result returns an error for the violations so far.
func (v *watcher) result() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.violations) > 0 {
		return unmet("%d violations, the first: %s", len(v.violations), v.violations[0])
	}
	if v.polls == 0 {
		return unmet("no instance answered the watcher")
	}
	return nil
}

// ejected returns the largest number of targets that an instance had ejected.
func (v *watcher) ejected() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mostOut
}
