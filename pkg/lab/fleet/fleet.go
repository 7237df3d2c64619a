package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/arbutuslink/arbutuslink/pkg/lab/deployment"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// OperatorToken is the operator token that every instance of a fleet accepts.
const OperatorToken = "lab-operator"

// Options configure a fleet.
type Options struct {
	// Deployment defines the zones and the services with their targets.
	Deployment deployment.Deployment
	// Instances is the number of instances.
	Instances int
	// Adjust, if not nil, changes the settings of an instance before each start.
	Adjust func(*settings.Entry)
	// Directory is where settings and logs are written; empty creates a temporary
	// directory that Close removes.
	Directory string
	// Relays starts a TCP relay in front of the peer listener of each instance.
	Relays bool
	// EntryBinary is the path of arbutus-entry; empty means the result of
	// FindBinary.
	EntryBinary string
	// Seed drives the simulators.
	Seed uint64
}

// Fleet is the set of processes of one experiment.
type Fleet struct {
	Options   Options
	Platform  *Process
	Targets   []*Target
	Instances []*Instance

	directory string
	// removeDirectory makes Close remove the directory, because New created it.
	removeDirectory bool
	entryBinaryPath string
	listUpdater     *listUpdater
	// stop ends the background goroutine of the fleet.
	stop         context.CancelFunc
	addressBlock *addressBlock

	mu        sync.Mutex
	processes []*Process
}

// Instance is one instance of the fleet.
type Instance struct {
	Process  *Process
	Settings *settings.Entry
	// PeerRelay is the relay in front of the peer listener; nil without Options.Relays.
	PeerRelay *PeerRelay
}

// New prepares a fleet without starting its processes: it finds the program of
// the instances and claims a block of loopback addresses.
func New(o Options) (*Fleet, error) {
	f := &Fleet{Options: o, directory: o.Directory}
	if f.directory == "" {
		directory, err := os.MkdirTemp("", "arbutus-lab-")
		if err != nil {
			return nil, errors.WithStack(&ProcessError{Name: "temporary directory", Cause: err})
		}
		f.directory, f.removeDirectory = directory, true
	}
	f.entryBinaryPath = o.EntryBinary
	if f.entryBinaryPath == "" {
		entryBinaryPath, err := FindBinary(entryBinary, f.directory)
		if err != nil {
			return nil, err
		}
		f.entryBinaryPath = entryBinaryPath
	}
	var err error
	if f.addressBlock, err = claimAddressBlock(); err != nil {
		return nil, err
	}
	background, stop := context.WithCancel(context.Background())
	f.stop, f.listUpdater = stop, newListUpdater(f.PlatformURL()+"/instances")
	go f.listUpdater.run(background)
	return f, nil
}

// Start starts the platform, the targets and all instances, and waits until
// they listen.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startPlatform(ctx); err != nil {
		return err
	}
	if err := f.startTargets(ctx); err != nil {
		return err
	}
	for range f.Options.Instances {
		f.Instances = append(f.Instances, &Instance{})
	}
	group, groupCtx := errgroup.WithContext(ctx)
	for n := range f.Options.Instances {
		group.Go(func() error { return f.StartInstance(groupCtx, n) })
	}
	return group.Wait()
}

// PlatformURL returns the endpoint URL of the platform simulator.
func (f *Fleet) PlatformURL() string {
	return "http://" + hostPort(f.addressBlock.loopback(platformSubnet, 1), servicePort)
}

// PlatformAdminAddress returns the admin address of the platform simulator, IP:port.
func (f *Fleet) PlatformAdminAddress() string {
	return hostPort(f.addressBlock.loopback(platformSubnet, 1), adminPort)
}

func (f *Fleet) startPlatform(ctx context.Context) error {
	address := hostPort(f.addressBlock.loopback(platformSubnet, 1), servicePort)
	p, err := f.startSubcommand("platform", "platform", "--address", address, "--admin-address", f.PlatformAdminAddress(),
		"--seed", fmt.Sprint(f.Options.Seed))
	if err != nil {
		return err
	}
	f.Platform = p
	return waitListening(ctx, address, p)
}

// StartInstance starts or restarts instance n, counted from 0, and waits until it
// listens.
func (f *Fleet) StartInstance(ctx context.Context, n int) error {
	s := f.instanceSettings(n)
	if f.Options.Adjust != nil {
		f.Options.Adjust(s)
	}
	instance := f.Instances[n]
	instance.Settings = s
	if f.Options.Relays && instance.PeerRelay == nil {
		link, err := newPeerRelay(s.PeerAddress, hostPort(f.addressBlock.loopback(instanceSubnet, n+1), relayPort))
		if err != nil {
			return err
		}
		instance.PeerRelay = link
	}
	if instance.PeerRelay != nil {
		s.AdvertisePeerAddress = instance.PeerRelay.Address()
		// The relays distinguish the connecting instances by their source address.
		s.PeerSourceIP = f.addressBlock.loopback(instanceSubnet, n+1)
	}
	file := filepath.Join(f.directory, s.Instance+".json")
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.WithStack(&ProcessError{Name: s.Instance, Cause: err})
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.WithStack(&ProcessError{Name: s.Instance, Cause: err})
	}
	p, err := f.startProcess(s.Instance, f.entryBinaryPath, "--settings", file)
	if err != nil {
		return err
	}
	instance.Process = p
	f.listUpdater.track(s.AdvertisedPeer(), s.AvailabilityZone, p)
	return waitListening(ctx, s.CallerAddress, p)
}

// instanceSettings returns the settings of instance n before Options.Adjust.
func (f *Fleet) instanceSettings(n int) *settings.Entry {
	zones := f.Options.Deployment.Zones
	ip := f.addressBlock.loopback(instanceSubnet, n+1)
	digest := sha256.Sum256([]byte(OperatorToken))
	s := settings.DefaultEntry()
	s.Instance = fmt.Sprintf("entry-%02d", n+1)
	s.AvailabilityZone = zones[n%len(zones)]
	s.CallerAddress, s.OperatorAddress, s.PeerAddress = hostPort(ip, servicePort), hostPort(ip, operatorPort), hostPort(ip, peerPort)
	s.OperatorTokens = map[string]string{"lab": hex.EncodeToString(digest[:])}
	s.Platform.TableEndpoint, s.Platform.ObjectEndpoint = f.PlatformURL(), f.PlatformURL()
	s.Platform.ListURL = f.PlatformURL() + "/instances"
	s.Platform.AccessKeyID, s.Platform.SecretAccessKey = "lab", "lab"
	for seed := range min(3, f.Options.Instances) {
		port := peerPort
		if f.Options.Relays {
			port = relayPort
		}
		s.SeedPeers = append(s.SeedPeers, hostPort(f.addressBlock.loopback(instanceSubnet, seed+1), port))
	}
	return s
}

// startSubcommand starts the running program again with the given arguments.
func (f *Fleet) startSubcommand(name string, args ...string) (*Process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, errors.WithStack(&ProcessError{Name: name, Cause: err})
	}
	return f.startProcess(name, self, args...)
}

// startProcess starts a program as a process that Close ends.
func (f *Fleet) startProcess(name, binary string, args ...string) (*Process, error) {
	p, err := StartProcess(name, f.directory, binary, args...)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.processes = append(f.processes, p)
	return p, nil
}

// CallerAddresses returns the caller addresses of all instances, IP:port.
func (f *Fleet) CallerAddresses() []string {
	addresses := make([]string, len(f.Instances))
	for i, instance := range f.Instances {
		addresses[i] = instance.Settings.CallerAddress
	}
	return addresses
}

// Directory returns the directory of the settings and logs.
func (f *Fleet) Directory() string { return f.directory }

// Close kills every process that still runs, closes the relays, releases the
// addresses and removes the directory if it is a temporary one.
func (f *Fleet) Close() {
	f.stop()
	f.mu.Lock()
	processes := f.processes
	f.mu.Unlock()
	for _, p := range processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.done
	}
	for _, instance := range f.Instances {
		if instance.PeerRelay != nil {
			instance.PeerRelay.Close()
		}
	}
	f.addressBlock.release()
	if f.removeDirectory {
		_ = os.RemoveAll(f.directory)
	}
}
