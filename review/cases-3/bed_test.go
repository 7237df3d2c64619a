//go:build review3

package cases3

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/lab/storesim"
)

// Names of the small deployment that the cases run.
const (
	host    = "shop.example"
	key     = "i9n73hh2b9wu3fexd9dn"
	tenant  = "kaje80"
	service = "orders"
	// rate and burst are the tenant's allotment: the requests per second, and their burst.
	rate, burst = 52, 52
)

// Times of the deployment, from the settings and the configuration of the users' pages.
const (
	grace        = 6 * time.Second
	routeTimeout = 2500 * time.Millisecond
	readyTimeout = 20 * time.Second
)

// bed is a store, targets and instances on loopback addresses.
type bed struct {
	folder string
	store  *storesim.Store
	edges  []*edge
	record *record
	// counts holds how often each kind of event happened in each second of the record.
	counts map[int]map[string]int
	// closers end the stand-ins.
	closers []func()
}

// edge is one running instance.
type edge struct {
	name                    string
	settings                map[string]any
	process                 *fleet.Process
	callers, ready, metrics string
}

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// newBed starts a store with the operator's configuration.
func newBed(recordFile string) (*bed, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	b := &bed{folder: folder, record: &record{file: file, start: time.Now()}, counts: map[int]map[string]int{}}
	if b.store, err = storesim.Start("127.0.0.1:0"); err != nil {
		return nil, err
	}
	b.store.Put("op", "config", operatorConfig(1, routeTimeout))
	return b, nil
}

// operatorConfig returns the operator's document: a tenant with a key, a route for requests that
// may be repeated, and one for requests that may not.
func operatorConfig(version int, timeout time.Duration) []byte {
	rule := func(prefix, kind string) map[string]any {
		return map[string]any{
			"name": "r-" + kind, "kind": kind, "latency_target": "1000ms", "priority": 1, "public": false,
			"match":  map[string]any{"prefix": prefix},
			"action": map[string]any{"service": service, "timeout": fmt.Sprintf("%dms", timeout.Milliseconds()), "attempts": 2},
		}
	}
	data, err := json.Marshal(map[string]any{
		"version":   fmt.Sprintf("r%d", version),
		"limits":    map[string]any{"max_header_bytes": 16384, "max_body_bytes": 64 << 20, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants":   []any{map[string]any{"name": tenant, "api_keys": []string{key}, "rate_per_s": rate, "burst": burst}},
		"listeners": []any{map[string]any{"hostname": host, "rules": []any{rule("/safe/", "safe"), rule("/unsafe/", "unsafe")}}},
		"clusters":  []any{map[string]any{"name": service, "health_path": "/health"}},
	})
	if err != nil {
		panic(err) // only maps of strings and numbers
	}
	return data
}

// list writes a target's entry into the store.
func (b *bed) list(id, address string, slots int) {
	b.store.Put("servers", id, fmt.Appendf(nil,
		`{"address":%q,"born":%d,"info":{"service":%q,"zone":"a","slots":%d,"version":"v1"},"status":{"state":"ready","seq":1,"warmup_left":"0ms"}}`,
		address, time.Now().UnixMilli(), service, slots))
}

// freeAddresses returns addresses of a new loopback host. No other process uses that host, so that the
// ports are still free when the instance listens on them.
func freeAddresses(count int) ([]string, error) {
	host := fmt.Sprintf("127.%d.%d.%d", 64+rand.N(128), rand.N(256), 1+rand.N(254))
	addresses := make([]string, count)
	for i := range addresses {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses[i] = l.Addr().String()
	}
	return addresses, nil
}

// startEdge starts one instance with the command of the deploy file.
func (b *bed) startEdge(firstStart bool) (*edge, error) {
	addresses, err := freeAddresses(5)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("edge-%d", len(b.edges)+1)
	e := &edge{name: name, callers: addresses[0], ready: addresses[1], metrics: addresses[4]}
	e.settings = map[string]any{
		"instance": name, "availability_zone": "a", "caller_address": addresses[0], "ready_address": addresses[1],
		"directory_address": addresses[2], "gossip_address": addresses[3], "metrics_address": addresses[4], "store_address": b.store.Address(),
		"processor_share": 0.32, "cores": 1, "memory_mb": 284, "link_mbps": 1000.0, "grace": grace.String(),
	}
	b.edges = append(b.edges, e)
	return e, b.run(e, firstStart)
}

// run starts the process of an instance and waits until it is ready. firstStart says that the whole
// deployment starts for the first time.
func (b *bed) run(e *edge, firstStart bool) error {
	e.settings["first_start"] = firstStart
	settings, err := json.Marshal(e.settings)
	if err != nil {
		return err
	}
	file := filepath.Join(b.folder, e.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	if e.process, err = fleet.StartProcess(e.name, b.folder, "target/arbutus-edge", "--settings", file); err != nil {
		return err
	}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + e.ready + "/arbutuslink/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready", e.name)
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, e := range b.edges {
		if e.process != nil {
			e.process.Kill()
		}
	}
	for _, c := range b.closers {
		c()
	}
	_ = b.store.Close()
	_ = b.record.file.Close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", b.folder)
	}
}

// requestHead returns the head of a caller's request without its last empty line.
func requestHead(method, path, id string, timeout time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nArbutuslink-Request-Id: %s\r\nArbutuslink-Timeout-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, timeout.Milliseconds(), key)
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, %d bytes, signature %q", a.status, len(a.body), a.header.Get("Arbutuslink-Server-Signature"))
}

// readAnswer reads one answer to a request with the method.
func readAnswer(r *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	var body strings.Builder
	_, err = bufio.NewReader(response.Body).WriteTo(&body)
	return answer{status: response.StatusCode, header: response.Header, body: []byte(body.String()), err: err}
}
