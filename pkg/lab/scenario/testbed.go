// Package scenario is a test language for fleets of real processes. A script is
// a testscript file whose commands start a fleet, inject faults, send requests
// and check the guarantees. Commands documents them.
package scenario

import (
	"context"
	"net"
	"os"
	"path/filepath"
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
	// EntryBinary is the path of the arbutus-entry under test.
	EntryBinary string
	// Seed is the seed of the random choices, such as those of random-faults.
	Seed uint64
}

// testbed is the state of one script.
type testbed struct {
	options Options
	// directory is the working directory of the script.
	directory string
	logf      func(format string, args ...any)

	fleet *fleet.Fleet
	// config is the first configuration of the fleet.
	config *config.Config
	// keys is the key that callers use, by team.
	keys map[string]string
	// version is the newest accepted configuration version.
	version int64
	// relays are the relays in front of the targets, by target ID.
	relays map[string]*relay.Relay
	// conns are the open connections of the connect command, by name.
	conns map[string]*connection
	loads []*load
	watch *watcher
	// shutdowns receive the result of graceful shutdowns, by instance index.
	shutdowns map[int]chan error
	// frozen holds the indexes of the frozen instances.
	frozen map[int]bool
	// cuts holds the pairs of instances between which bytes are held, by cutKey.
	cuts map[string]bool

	mu sync.Mutex
	// marks are recorded times, by name.
	marks map[string]time.Time
	// records are the requests that the script has sent.
	records []*record
	// nextID is the number of the last request id.
	nextID int
}

func newTestbed(o Options, directory string) *testbed {
	return &testbed{
		options: o, directory: directory, relays: map[string]*relay.Relay{}, conns: map[string]*connection{},
		shutdowns: map[int]chan error{}, frozen: map[int]bool{}, cuts: map[string]bool{}, marks: map[string]time.Time{},
	}
}

// Names of the service and the routes of every script. Requests of the claim route
// are deduplicated by their idempotency key.
const (
	service    = "desk"
	readRoute  = "read"
	writeRoute = "write"
	claimRoute = "claim"
)

const (
	// startTimeout bounds the start of a fleet. It is no objective: a start on a busy
	// machine takes several seconds.
	startTimeout = 60 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// fleetCommand starts a fleet, puts the first configuration in force and waits until
// every instance serves every team.
func (tb *testbed) fleetCommand(a *arguments) error {
	d := newDeployment(a)
	instances, err := strconv.Atoi(a.word(0))
	if err != nil {
		a.fail(usage("fleet needs the number of instances"))
	}
	issuers, directory := a.number("issuers", 0), a.duration("directory", 0)
	rate, burst := a.number("rate", defaultRate), a.number("burst", defaultBurst)
	expires := a.duration("green-expires", 0)
	timeout, fenceValidity := a.duration("timeout", 0), a.duration("fence", 0)
	direct := a.number("direct", 0) == 1
	if err := a.validate(); err != nil {
		return err
	}
	tb.fleet, err = fleet.New(fleet.Options{
		Deployment: d, Instances: instances, Relays: true, EntryBinary: tb.options.EntryBinary, Seed: tb.options.Seed,
		Adjust: func(s *settings.Entry) {
			s.TargetFaultFile = filepath.Join(tb.directory, s.Instance+".fault")
			if issuers > 0 {
				s.Limits.IssuersPerTeam = issuers
			}
			if fenceValidity > 0 {
				s.Timings.FenceMS, s.Timings.RemoveAfterMS = int(fenceValidity.Milliseconds()), int(fenceValidity.Milliseconds())
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
	if err := tb.fleet.Start(ctx); err != nil {
		return err
	}
	addresses, err := tb.targetAddresses(direct)
	if err != nil {
		return err
	}
	tb.watch = startWatcher(tb)
	if err := tb.waitMembers(instances, startTimeout); err != nil {
		return err
	}
	tb.buildConfig(d, addresses, float64(rate), burst, timeout)
	if err := tb.applyConfig(tb.config); err != nil {
		return err
	}
	if expires > 0 {
		if err := tb.setGreenExpiry(expires); err != nil {
			return err
		}
	}
	return tb.warmUp()
}

// warmUp waits until every instance serves every team. That takes a while because
// token issuers start without tokens.
func (tb *testbed) warmUp() error {
	for n := range tb.fleet.Instances {
		for team, key := range tb.keys {
			r := request{team: team, key: key, route: readRoute}
			address := tb.fleet.Instances[n].Settings.CallerAddress
			if err := tb.sendUntil(nil, address, r, expectation{status: "200"}, startTimeout, ""); err != nil {
				return err
			}
		}
	}
	return nil
}

// Default limit of each team in requests per second, and its burst.
const (
	defaultRate  = 100
	defaultBurst = 30
)

// newDeployment returns a small deployment with one service and the teams red, blue
// and green.
func newDeployment(a *arguments) deployment.Deployment {
	zones := []string{"a", "b", "c", "d"}
	profile := config.Profile(a.text("profile", string(config.ProfileFast)))
	return deployment.Deployment{
		Name: "scenario", Zones: zones[:min(len(zones), max(1, a.number("zones", 3)))],
		Services: []deployment.Service{{
			Name: service, Targets: a.number("targets", 4), Slots: a.number("slots", 4), MaxConnections: 350, Profile: profile,
			FloorPercent: a.number("floor", 50), MedianServiceTime: a.duration("median", 10*time.Millisecond),
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

// buildConfig sets the first configuration and the keys of the teams.
func (tb *testbed) buildConfig(d deployment.Deployment, addresses map[string]string, rate float64, burst int, timeout time.Duration) {
	tb.config, tb.keys = d.Config(rate, addresses, time.Now())
	for name, team := range tb.config.Teams {
		team.RatePerSecond, team.Burst = rate, burst
		tb.config.Teams[name] = team
	}
	claim := tb.config.Routes[claimRoute]
	claim.Deduplicate = true
	tb.config.Routes[claimRoute] = claim
	if timeout > 0 {
		for name, route := range tb.config.Routes {
			route.TimeoutMS = int(timeout.Milliseconds())
			tb.config.Routes[name] = route
		}
	}
}

// targetRelayPort is the port of the relay on the address of each target.
const targetRelayPort = "7008"

// targetAddresses returns the addresses of the targets by their ID: those of their relays, or
// their own. A target that ends behind its relay seems to accept connections.
func (tb *testbed) targetAddresses(direct bool) (map[string]string, error) {
	if !direct {
		return tb.relayTargets()
	}
	addresses := map[string]string{}
	for _, t := range tb.fleet.Targets {
		addresses[t.ID] = t.Address
	}
	return addresses, nil
}

// relayTargets starts a relay in front of each target and returns the relays'
// addresses by target ID. A script that kills a target closes only its relay, so
// that the records of the target remain readable.
func (tb *testbed) relayTargets() (map[string]string, error) {
	addresses := map[string]string{}
	for _, t := range tb.fleet.Targets {
		host, _, err := net.SplitHostPort(t.Address)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		addresses[t.ID] = net.JoinHostPort(host, targetRelayPort)
		if err := tb.startRelay(t, addresses[t.ID]); err != nil {
			return nil, err
		}
	}
	return addresses, nil
}

func (tb *testbed) startRelay(t *fleet.Target, address string) error {
	r := relay.New(relay.Options{Address: address, Target: t.Address})
	if err := r.Start(); err != nil {
		return err
	}
	tb.relays[t.ID] = r
	return nil
}

// close ends everything that the script started.
func (tb *testbed) close() {
	for _, l := range tb.loads {
		l.stop()
	}
	for _, c := range tb.conns {
		c.close()
	}
	if tb.watch != nil {
		tb.watch.stop()
	}
	for _, r := range tb.relays {
		_ = r.Close() // the error does not matter: the processes end next
	}
	if tb.fleet != nil {
		tb.fleet.Close()
	}
}

// logTailBytes is how much of the end of each log a failed script prints.
const logTailBytes = 1500

// printLogs prints the end of the log of each instance.
func (tb *testbed) printLogs(logf func(string, ...any)) {
	if tb.fleet == nil {
		return
	}
	for _, i := range tb.fleet.Instances {
		if i.Process == nil {
			continue
		}
		data, err := os.ReadFile(i.Process.LogFile)
		if err != nil {
			continue
		}
		logf("# %s:\n%s", i.Process.Name, data[max(0, len(data)-logTailBytes):])
	}
}

// pollUntil polls the condition until it holds or the limit has passed.
func pollUntil(limit time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(limit); ; time.Sleep(pollInterval) {
		if condition() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
	}
}

// setMark records the current time under a name.
func (tb *testbed) setMark(name string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.marks[name] = time.Now()
}

// markTime returns the time that was recorded under a name.
func (tb *testbed) markTime(name string) (time.Time, error) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	at, ok := tb.marks[name]
	if !ok {
		return at, usage("no mark is named %q", name)
	}
	return at, nil
}
