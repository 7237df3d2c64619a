// Package edgelab runs a small fleet of arbutus-edge on loopback addresses, with a simulated
// store and simulated targets, for trying it out.
package edgelab

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
	"github.com/arbutuslink/arbutuslink/pkg/lab/upstreamsim"
)

// What the configuration of the fleet holds.
const (
	Host    = "shop.example"
	Key     = "demo-key"
	service = "orders"
)

// Ports are the same on all instances, as on the platform.
const (
	callerPort    = 8689
	readyPort     = 8687
	directoryPort = 8682
	gossipPort    = 7360
	metricsPort   = 7361
)

const (
	// readyTimeout bounds the time until all instances are ready; they take about 1 s.
	readyTimeout = 20 * time.Second
	// readyInterval is the time between two questions whether an instance is ready.
	readyInterval = 50 * time.Millisecond
	// gracePeriod is the time that an instance has from SIGTERM to its end.
	gracePeriod = 3 * time.Second
)

// Options configure a Lab.
type Options struct {
	// Instances and Targets are the numbers of both; they alternate between two zones.
	Instances, Targets int
	// Network is the second and third number of the loopback addresses, such as "66.0" for
	// 127.66.0.1 onwards.
	Network string
	// Directory receives settings and logs. It is created.
	Directory string
}

// Lab is a running fleet.
type Lab struct {
	options   Options
	store     *storesim.Store
	targets   []*upstreamsim.Server
	processes []*fleet.Process
}

// NotReadyError reports that an instance ended or did not become ready in time.
type NotReadyError struct{ Instance string }

// Error names the instance.
func (e *NotReadyError) Error() string {
	return "instance " + e.Instance + " ended or did not become ready in time; its log says why"
}

// Start starts a fleet and waits until it is ready.
func Start(ctx context.Context, o Options) (*Lab, error) {
	l := &Lab{options: o}
	if err := l.start(ctx); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

func (l *Lab) start(ctx context.Context) error {
	if err := os.MkdirAll(l.options.Directory, 0o755); err != nil {
		return errors.WithStack(err)
	}
	binary, err := fleet.FindBinary("arbutus-edge", l.options.Directory)
	if err != nil {
		return err
	}
	if l.store, err = storesim.Start("127.0.0.1:0"); err != nil {
		return err
	}
	l.store.Put("op", "config", configuration())
	for n := range l.options.Targets {
		if err := l.startTarget(n); err != nil {
			return err
		}
	}
	for n := range l.options.Instances {
		if err := l.startInstance(n, binary); err != nil {
			return err
		}
	}
	return l.awaitReady(ctx)
}

// configuration returns the operator's document: one team with one key, and a route for
// requests that may be repeated beside one for requests that may not.
func configuration() []byte {
	rule := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": prefix, "kind": kind, "latency_target": "400ms", "priority": 0, "match": map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeout": "2s", "attempts": 3},
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":   "r1",
		"tenants":   []any{map[string]any{"name": "school", "api_keys": []string{Key}, "rate_per_s": 50, "burst": 20}},
		"listeners": []any{map[string]any{"hostname": Host, "rules": []any{rule("/preview/", "safe"), rule("/order/", "unsafe")}}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health"}},
	})
	if err != nil {
		panic(err) // cannot happen: only maps of strings and numbers
	}
	return data
}

func (l *Lab) startTarget(n int) error {
	id := fmt.Sprintf("i-%d", n+1)
	target, err := upstreamsim.Start(upstreamsim.Options{ID: id, Service: service, Zone: zone(n), Slots: 4, MeanDuration: 40 * time.Millisecond, Seed: uint64(n)})
	if err != nil {
		return err
	}
	l.targets = append(l.targets, target)
	l.store.Put("servers", id, target.ListEntry("ready", target.Addr()))
	return nil
}

func (l *Lab) startInstance(n int, binary string) error {
	name := fmt.Sprintf("edge-%d", n+1)
	data, err := json.MarshalIndent(map[string]any{
		"instance": name, "availability_zone": zone(n), "caller_address": l.address(n, callerPort), "ready_address": l.address(n, readyPort),
		"directory_address": l.address(n, directoryPort), "gossip_address": l.address(n, gossipPort), "metrics_address": l.address(n, metricsPort),
		"store_address": l.store.Address(), "grace": gracePeriod.String(), "first_start": true,
	}, "", "  ")
	if err != nil {
		return errors.WithStack(err)
	}
	for _, port := range []int{callerPort, readyPort, directoryPort, gossipPort, metricsPort} {
		if err := checkUnused(l.address(n, port)); err != nil {
			return errors.WithStack(&fleet.ProcessError{Name: name, Cause: err})
		}
	}
	file := filepath.Join(l.options.Directory, name+".json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return errors.WithStack(err)
	}
	process, err := fleet.StartProcess(name, l.options.Directory, binary, "--settings", file)
	if err != nil {
		return err
	}
	l.processes = append(l.processes, process)
	return nil
}

// checkUnused returns an error that names the address if a process listens there, such as an
// instance of another fleet, which would answer in place of the new one.
func checkUnused(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.WithStack(err)
	}
	return errors.WithStack(listener.Close())
}

// zone returns the availability zone of the instance or target with a number.
func zone(n int) string { return []string{"a", "b"}[n%2] }

func (l *Lab) address(n, port int) string {
	return fmt.Sprintf("127.%s.%d:%d", l.options.Network, n+1, port)
}

// awaitReady waits until all instances answer that they are ready.
func (l *Lab) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for n, p := range l.processes {
		for {
			status, _, err := fasthttp.GetTimeout(nil, "http://"+l.address(n, readyPort)+"/arbutuslink/ready", time.Second)
			if err == nil && status == fasthttp.StatusOK && p.Running() {
				break
			}
			if !p.Running() || (clock.System{}).Sleep(ctx, readyInterval) != nil {
				return errors.WithStack(&NotReadyError{Instance: p.Name})
			}
		}
	}
	return nil
}

// StoreAddress is the IP:port of the store.
func (l *Lab) StoreAddress() string { return l.store.Address() }

// DirectoryURL is where a caller asks for addresses.
func (l *Lab) DirectoryURL() string {
	return "http://" + l.address(0, directoryPort) + "/arbutuslink/resolve?name=" + Host + "&zone=a"
}

// CallerURL is the address of the first instance for callers.
func (l *Lab) CallerURL() string { return "http://" + l.address(0, callerPort) }

// MetricsURL is where the first instance serves its metrics and its dump.
func (l *Lab) MetricsURL() string { return "http://" + l.address(0, metricsPort) }

// Close stops the instances gracefully, and then the targets and the store.
func (l *Lab) Close() {
	for _, p := range l.processes {
		p.Signal(syscall.SIGTERM)
	}
	for deadline := time.Now().Add(gracePeriod); time.Now().Before(deadline) && l.running(); {
		time.Sleep(readyInterval)
	}
	for _, p := range l.processes {
		p.Kill()
	}
	for _, t := range l.targets {
		t.Close()
	}
	if l.store != nil {
		_ = l.store.Close()
	}
}

// running reports whether a process has not ended.
func (l *Lab) running() bool {
	for _, p := range l.processes {
		if p.Running() {
			return true
		}
	}
	return false
}
