//go:build review

// Package cases holds the cases of the review and the stand-ins that they use: a store, targets
// and callers on loopback addresses. The instances are processes of their own. The build tag
// keeps the cases out of the default build and tests.
package cases

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// heartbeat is the interval at which targets write their entries.
const heartbeat = 1500 * time.Millisecond

// troubled reports whether the case runs with its disruption.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// lab is a small deployment.
type lab struct {
	*record
	dir    string
	store  *storesim.Store
	cancel context.CancelFunc
	ctx    context.Context

	mu        sync.Mutex
	instances []*instance
	// taken are the addresses that freeAddress has returned.
	taken map[string]bool
}

// caseFailure ends a case that cannot run.
type caseFailure struct{ reason string }

// runCase runs one case and ends the process with the exit code of the case. check returns the
// number of breaks of the rule.
func runCase(t *testing.T, name string, play func(l *lab) (breaks int)) {
	folder := os.Getenv("CASE_FOLDER")
	if folder == "" {
		t.Skip("started by run.sh only")
	}
	os.Exit(playCase(folder, name, play))
}

func playCase(folder, name string, play func(l *lab) int) (code int) {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.line("cannot run: %v", err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &lab{record: rec, dir: dir, ctx: ctx, cancel: cancel, taken: map[string]bool{}}
	defer l.close()
	defer func() {
		cause := recover()
		if failure, ok := cause.(caseFailure); ok {
			rec.line("cannot run: %s", failure.reason)
			fmt.Fprintln(os.Stderr, name+": cannot run: "+failure.reason)
			code = exitNotRun
		} else if cause != nil {
			panic(cause)
		}
	}()
	rec.line("case %s, trouble %t", name, troubled())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		l.close()
		os.Exit(exitNotRun)
	}()
	if l.store, err = storesim.Start("127.0.0.1:0"); err != nil {
		l.fail("store: %v", err)
	}
	breaks := play(l)
	if breaks > 0 {
		rec.line("result: the rule was broken, %d times", breaks)
		fmt.Printf("%s: the rule was broken, %d times; see record.txt\n", name, breaks)
		return exitBroken
	}
	rec.line("result: the rule held")
	fmt.Printf("%s: the rule held\n", name)
	return exitHeld
}

// fail ends the case as one that could not run.
func (l *lab) fail(format string, args ...any) { panic(caseFailure{fmt.Sprintf(format, args...)}) }

// close ends all processes that the case started.
func (l *lab) close() {
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.instances {
		i.kill()
	}
	if l.store != nil {
		_ = l.store.Close()
	}
}

// configure writes a configuration as the operator does. The file holds the document; VERSION
// in it is replaced.
func (l *lab) configure(version int, document string) {
	l.store.Put("op", "config", []byte(strings.ReplaceAll(document, "VERSION", fmt.Sprintf("r%d", version))))
	l.line("operator: configuration r%d acknowledged", version)
}

// instance is one process of arbutus-edge.
type instance struct {
	name, zone                                                string
	caller, ready, directory, gossip, metrics, store, logFile string
	lab                                                       *lab
	process                                                   *exec.Cmd
	ended                                                     chan struct{}
}

// Ports are taken from below the range from which the kernel takes those of connections.
const (
	firstPort = 20000
	portCount = 12000
)

// freeAddress returns an address whose port nothing uses, neither for TCP nor for UDP.
func (l *lab) freeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if l.taken[address] {
			continue
		}
		tcp, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = tcp.Close()
		udp, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = udp.Close()
		l.taken[address] = true
		return address
	}
	l.fail("no free port")
	return ""
}

// addInstance starts an instance with the settings that deploy/edge.json.tmpl yields for the
// machines of the site.
func (l *lab) addInstance(name, zone string) *instance {
	i := &instance{
		name: name, zone: zone, lab: l, caller: l.freeAddress(), ready: l.freeAddress(), directory: l.freeAddress(),
		gossip: l.freeAddress(), metrics: l.freeAddress(), store: l.store.Address(), logFile: filepath.Join(l.dir, name+".log"),
	}
	l.mu.Lock()
	l.instances = append(l.instances, i)
	l.mu.Unlock()
	i.start(true)
	return i
}

// start starts the process with the command of deploy/system.toml, except for the path of the
// settings.
func (i *instance) start(first bool) {
	l := i.lab
	settings, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "availability_zone": i.zone, "caller_address": i.caller, "ready_address": i.ready,
		"directory_address": i.directory, "gossip_address": i.gossip, "metrics_address": i.metrics, "store_address": i.store,
		"processor_share": 0.32, "cores": 1, "memory_mb": 284, "link_mbps": 1000.0, "first_start": first, "grace": "6s",
	}, "", "  ")
	if err != nil {
		l.fail("settings: %v", err)
	}
	file := filepath.Join(l.dir, i.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		l.fail("settings: %v", err)
	}
	out, err := os.OpenFile(i.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		l.fail("log: %v", err)
	}
	defer func() { _ = out.Close() }()
	i.process = exec.Command(filepath.Join(os.Getenv("TOP"), "target", "arbutus-edge"), "--settings", file)
	i.process.Dir, i.process.Stdout, i.process.Stderr = os.Getenv("TOP"), out, out
	// The process must not outlive this one, however that ends.
	i.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	i.process.Env = append(os.Environ(), "ARBUTUSLINK_SETTINGS="+file)
	if err := i.process.Start(); err != nil {
		l.fail("start %s: %v", i.name, err)
	}
	i.ended = make(chan struct{})
	go func(p *exec.Cmd, ended chan struct{}) {
		err := p.Wait()
		l.line("%s: process ended (%v)", i.name, describeEnd(err))
		close(ended)
	}(i.process, i.ended)
	l.line("%s: started in zone %s", i.name, i.zone)
}

func describeEnd(err error) string {
	if err == nil {
		return "exit status 0"
	}
	return err.Error()
}

// running reports whether the process has not ended.
func (i *instance) running() bool {
	select {
	case <-i.ended:
		return false
	default:
		return true
	}
}

func (i *instance) signal(s syscall.Signal) {
	i.lab.line("%s: %s", i.name, s)
	if err := i.process.Process.Signal(s); err != nil {
		i.lab.fail("signal %s: %v", i.name, err)
	}
}

func (i *instance) kill() {
	if i.process != nil && i.running() {
		_ = i.process.Process.Kill()
		<-i.ended
	}
}

// isReady asks the readiness check of the platform.
func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/arbutuslink/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all instances are ready, and a second longer, for their heartbeats.
func (l *lab) awaitReady() {
	deadline := time.Now().Add(20 * time.Second)
	for _, i := range l.instances {
		for !i.isReady() {
			if time.Now().After(deadline) || !i.running() {
				l.fail("%s did not become ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second)
	l.line("all instances are ready")
}

// resolve asks the directory of an instance for addresses.
func (i *instance) resolve(zone string) []string {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.directory + "/arbutuslink/resolve?name=shop.example&region=r&zone=" + zone)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}
