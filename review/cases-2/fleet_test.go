//go:build review2

package cases2

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

const (
	// host and key are those of the consumers' requests.
	host = "shop.example"
	key  = "i9n73hh2b9wu3fexd9dn"
	// readyTimeout bounds the start of the machines.
	readyTimeout = 15 * time.Second
)

// machine is one process of the system with its addresses.
type machine struct {
	name, zone                           string
	front, ready, directory, gossip, mtr string
	settings                             string
	command                              *exec.Cmd
	ended                                chan struct{}
}

// fleet is the store, the upstreams and the machines of a small deployment.
type fleet struct {
	folder   string
	store    *storesim.Store
	machines []*machine

	mu        sync.Mutex
	upstreams []*upstreamsim.Server
	started   int
}

// newFleet starts the store with a first configuration. Nothing else runs yet.
func newFleet(folder string) (*fleet, error) {
	store, err := storesim.Start("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &fleet{folder: folder, store: store}, nil
}

// freeAddress returns an address on which nothing listens, for TCP and UDP.
func freeAddress(ip string) (string, error) {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		return address, nil
	}
	return "", fmt.Errorf("no free port on %s", ip)
}

// addMachine writes the settings of a machine as the template of the deploy file renders them.
func (f *fleet) addMachine(zone string) (*machine, error) {
	n := len(f.machines) + 1
	m := &machine{name: fmt.Sprintf("front-%s-%d", zone, n), zone: zone}
	ip := fmt.Sprintf("127.0.%d.%d", 40+os.Getpid()%200, n)
	for _, address := range []*string{&m.front, &m.ready, &m.directory, &m.gossip, &m.mtr} {
		var err error
		if *address, err = freeAddress(ip); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(map[string]any{
		"instance": m.name, "availability_zone": zone, "caller_address": m.front, "ready_address": m.ready,
		"directory_address": m.directory, "gossip_address": m.gossip, "metrics_address": m.mtr,
		"store_address": f.store.Address(), "processor_share": 0.32, "cores": 1, "memory_mb": 284, "link_mbps": 1000.0,
		"first_start": true, "grace": "6s",
	})
	if err != nil {
		return nil, err
	}
	m.settings = filepath.Join(f.folder, m.name+".json")
	f.machines = append(f.machines, m)
	return m, os.WriteFile(m.settings, data, 0o600)
}

// start runs the process of a machine with the command of the deploy file.
func (f *fleet) start(m *machine) error {
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command("target/arbutus-edge", "--settings", m.settings)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func() {
		_ = m.command.Wait()
		_ = log.Close()
		close(m.ended)
	}()
	return nil
}

// running reports whether the process of a machine has not ended.
func (m *machine) running() bool {
	select {
	case <-m.ended:
		return false
	default:
		return true
	}
}

// awaitReady waits until all machines say that they are ready.
func (f *fleet) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for {
			response, err := client.Get("http://" + m.ready + "/arbutuslink/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if !m.running() || time.Now().After(deadline) {
				return fmt.Errorf("machine %s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// rule returns a route of the operator's document.
func rule(prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "kind": kind, "latency_target": "1000ms", "priority": 1, "public": false,
		"match":  map[string]any{"prefix": prefix},
		"action": map[string]any{"service": service, "timeout": "2500ms", "attempts": 2},
	}
}

// configure writes a version of the operator's document.
func (f *fleet) configure(version int, services []string, rules ...map[string]any) error {
	var clusters []any
	for _, s := range services {
		clusters = append(clusters, map[string]any{"name": s, "health_path": "/health", "max_conns": 360})
	}
	data, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"tenants":   []any{map[string]any{"name": "kaje80", "api_keys": []string{key}, "rate_per_s": 0, "burst": 0}},
		"listeners": []any{map[string]any{"hostname": host, "rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		return err
	}
	f.store.Put("op", "config", data)
	return nil
}

// addUpstream starts an upstream and registers it.
func (f *fleet) addUpstream(service, zone string) (*upstreamsim.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	u, err := upstreamsim.Start(upstreamsim.Options{
		ID: fmt.Sprintf("i-%03d", f.started), Service: service, Zone: zone, Slots: 4,
		MeanDuration: 20 * time.Millisecond, Seed: uint64(f.started),
	})
	if err != nil {
		return nil, err
	}
	f.upstreams = append(f.upstreams, u)
	f.store.Put("servers", u.ID, u.ListEntry("ready", u.Addr()))
	return u, nil
}

// runs returns the requests that upstreams began to work on.
func (f *fleet) runs() []upstreamsim.Execution {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []upstreamsim.Execution
	for _, u := range f.upstreams {
		all = append(all, u.Executions()...)
	}
	return all
}

// close ends everything that was started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.command != nil && m.running() {
			_ = m.command.Process.Signal(syscall.SIGKILL)
			<-m.ended
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, u := range f.upstreams {
		u.Close()
	}
	_ = f.store.Close()
}
