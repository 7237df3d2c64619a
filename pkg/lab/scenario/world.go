// Package scenario is a test language for fleets of real processes. A script is
// a testscript file whose commands start a fleet, inject faults, send requests
// and check the guarantees. The package documentation of Commands lists them.
package scenario

import (
	"context"
	"net"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/relay"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// Options configure the scripts.
type Options struct {
	// EntryBinary is the path of arbutus-entry.
	EntryBinary string
	// Seed is the seed of the random choices.
	Seed uint64
}

// world is the state of one script.
type world struct {
	options Options
	logf    func(format string, args ...any)

	fleet   *fleet.Fleet
	config  *config.Config
	keys    map[string]string
	version int64
	relays  map[string]*relay.Relay
	conns   map[string]*connection
	loads   []*load
	watch   *watcher
	stops   map[int]chan error
	frozen  map[int]bool
	cuts    map[string]bool

	mu      sync.Mutex
	marks   map[string]time.Time
	records []*record
	nextID  int
}

func newWorld(o Options) *world {
	return &world{
		options: o, relays: map[string]*relay.Relay{}, conns: map[string]*connection{},
		stops: map[int]chan error{}, frozen: map[int]bool{}, cuts: map[string]bool{}, marks: map[string]time.Time{},
	}
}

// Names of the fixed parts of the configuration.
const (
	service    = "desk"
	readRoute  = "read"
	writeRoute = "write"
	claimRoute = "claim"
)

// Times that a fleet gets to start. They are no objectives; a busy machine
// needs several seconds.
const (
	startTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// start starts a fleet and puts the first configuration in force.
func (w *world) start(a *arguments) error {
	d := layout(a)
	instances, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.fail(usage("the number of instances is missing"))
	}
	issuers, directory := a.number("issuers", 0), a.duration("directory", 0)
	rate, burst := a.number("rate", defaultRate), a.number("burst", defaultBurst)
	expires := a.duration("green-expires", 0)
	timeout, fence := a.duration("timeout", 0), a.duration("fence", 0)
	if err := a.finish(); err != nil {
		return err
	}
	w.fleet, err = fleet.New(fleet.Options{
		Deployment: d, Instances: instances, Relays: true, EntryBinary: w.options.EntryBinary, Seed: w.options.Seed,
		Adjust: func(s *settings.Entry) {
			if issuers > 0 {
				s.Limits.IssuersPerTeam = issuers
			}
			if fence > 0 {
				s.Timings.FenceMS, s.Timings.RemoveAfterMS = int(fence.Milliseconds()), int(fence.Milliseconds())
			}
			if directory > 0 {
				s.Timings.DirectoryLifetimeMS = int(directory.Milliseconds())
			}
		},
	})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := w.fleet.Start(ctx); err != nil {
		return err
	}
	addresses, err := w.relayTargets()
	if err != nil {
		return err
	}
	w.watch = startWatcher(w)
	if err := w.waitMembers(instances, startTimeout); err != nil {
		return err
	}
	w.configure(d, addresses, float64(rate), burst, timeout)
	if err := w.apply(w.config); err != nil {
		return err
	}
	if expires > 0 {
		if err := w.expireGreen(expires); err != nil {
			return err
		}
	}
	return w.warmUp()
}

// warmUp waits until every instance serves every team: token issuers start
// without tokens.
func (w *world) warmUp() error {
	for n := range w.fleet.Instances {
		for team, key := range w.keys {
			r := request{team: team, key: key, route: readRoute}
			address := w.fleet.Instances[n].Settings.CallerAddress
			if err := w.sendUntil(nil, address, r, expectation{status: "200"}, startTimeout, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

const (
	defaultRate  = 100
	defaultBurst = 30
)

// layout is a small deployment with one service and the teams red, blue and green.
func layout(a *arguments) deployment.Deployment {
	zones := []string{"a", "b", "c", "d"}
	profile := config.Profile(a.text("profile", string(config.ProfileFast)))
	return deployment.Deployment{
		Name: "scenario", Zones: zones[:min(len(zones), max(1, a.number("zones", 3)))],
		Services: []deployment.Service{{
			Name: service, Targets: a.number("targets", 4), Slots: a.number("slots", 4), MaxConnections: 350, Profile: profile,
			FloorPercent: a.number("floor", 50), Median: a.duration("median", 10*time.Millisecond),
		}},
		Routes: []deployment.Route{
			{Name: readRoute, Path: "/read", Method: "GET", Service: service, Idempotent: true},
			{Name: writeRoute, Path: "/write", Method: "POST", Service: service},
			{Name: claimRoute, Path: "/claim", Method: "POST", Service: service},
		},
		Batches: map[string]float64{"spring": 2, "short": 1},
		Teams:   []deployment.Team{{Name: "red", Batch: "spring"}, {Name: "blue", Batch: "spring"}, {Name: "green", Batch: "short"}},
	}
}

func (w *world) configure(d deployment.Deployment, addresses map[string]string, rate float64, burst int, timeout time.Duration) {
	w.config, w.keys = d.Config(rate, addresses, time.Now())
	for name, team := range w.config.Teams {
		team.RatePerSecond, team.Burst = rate, burst
		w.config.Teams[name] = team
	}
	claim := w.config.Routes[claimRoute]
	claim.Deduplicate = true
	w.config.Routes[claimRoute] = claim
	if timeout > 0 {
		for name, route := range w.config.Routes {
			route.TimeoutMS = int(timeout.Milliseconds())
			w.config.Routes[name] = route
		}
	}
}

// targetRelayPort is the port of the relay on the address of each target.
const targetRelayPort = "7008"

// relayTargets puts a relay before each target, so that a script can kill a
// target as seen by the fleet and keep its records.
func (w *world) relayTargets() (map[string]string, error) {
	addresses := map[string]string{}
	for _, t := range w.fleet.Targets {
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		addresses[t.ID] = net.JoinHostPort(host, targetRelayPort)
		if err := w.startRelay(t, addresses[t.ID]); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

func (w *world) startRelay(t *fleet.Target, address string) error {
	r := relay.New(relay.Options{Address: address, Target: t.Address})
	if err := r.Start(); err != nil {
		return err
	}
	w.relays[t.ID] = r
	return nil
}

// close ends everything that the script started.
func (w *world) close() {
	for _, l := range w.loads {
		l.stop()
	}
	for _, c := range w.conns {
		c.close()
	}
	if w.watch != nil {
		w.watch.stop()
	}
	for _, r := range w.relays {
		_ = r.Close() // the processes end anyway
	}
	if w.fleet != nil {
		w.fleet.Close()
	}
}

// logTail is how much of each log a failed script prints.
const logTail = 1500

// keepLogs prints the ends of the logs of all instances.
func (w *world) keepLogs(logf func(string, ...any)) {
	if w.fleet == nil {
		return
	}
	for _, i := range w.fleet.Instances {
		if i.Process == nil {
			continue
		}
		data, err := os.ReadFile(i.Process.LogFile)
		if err != nil {
			continue
		}
		logf("# %s:\n%s", i.Process.Name, data[max(0, len(data)-logTail):])
	}
}

// until polls the condition until it holds or the limit has passed.
func until(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// mark records the time of an event under a name.
func (w *world) mark(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.marks[name] = time.Now()
}

func (w *world) markOf(name string) (time.Time, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.marks[name]
	if !ok {
		return at, usage("there is no mark %q", name)
	}
	return at, nil
}
