//go:build review2

package cases2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// timeLimit is the time limit of a consumer's request.
	timeLimit = 2 * time.Second
	// resolveInterval is shorter than the time for which machines say that their addresses hold.
	resolveInterval = 500 * time.Millisecond
)

// request is one consumer attempt.
type request struct {
	id, path, machine string
	sent, ended       time.Time
	status            int
	err               error
}

// consumers send requests to the addresses that the directory names.
type consumers struct {
	fleet  *fleet
	client *http.Client
	next   atomic.Int64

	mu        sync.Mutex
	addresses []string
	requests  []*request
}

func newConsumers(f *fleet) *consumers {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &consumers{fleet: f, client: &http.Client{Transport: transport, Timeout: timeLimit}}
}

// resolve asks the machines in turn where to connect, until ctx ends.
func (c *consumers) resolve(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		m := c.fleet.machines[n%len(c.fleet.machines)]
		response, err := client.Get("http://" + m.directory + "/arbutuslink/resolve?name=" + host + "&zone=" + m.zone)
		if err == nil {
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			err = json.NewDecoder(response.Body).Decode(&answer)
			_ = response.Body.Close()
			if err == nil && len(answer.Addresses) > 0 {
				c.mu.Lock()
				c.addresses = answer.Addresses
				c.mu.Unlock()
			}
		}
		time.Sleep(resolveInterval)
	}
}

// run sends requests one after the other with a pause between, until ctx ends.
func (c *consumers) run(ctx context.Context, paths []string, pause time.Duration) {
	for ctx.Err() == nil {
		c.send(paths[rand.IntN(len(paths))])
		time.Sleep(pause/2 + rand.N(pause))
	}
}

// send sends one request: a POST with a body on routes of unsafe requests, else a GET.
func (c *consumers) send(path string) {
	c.mu.Lock()
	if len(c.addresses) == 0 {
		c.mu.Unlock()
		return
	}
	address := c.addresses[rand.IntN(len(c.addresses))]
	c.mu.Unlock()
	r := &request{id: fmt.Sprintf("q%08d", c.next.Add(1)), path: path, machine: c.nameOf(address)}
	method, body := http.MethodGet, ""
	if strings.HasPrefix(path, "/unsafe/") {
		method, body = http.MethodPost, r.id
	}
	out, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the address is that of a machine
	}
	out.Host = host
	out.Header.Set("Arbutuslink-Request-Id", r.id)
	out.Header.Set("Arbutuslink-Timeout-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	out.Header.Set("Authorization", "Bearer "+key)
	r.sent = time.Now()
	response, err := c.client.Do(out)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		r.status = response.StatusCode
	}
	r.ended, r.err = time.Now(), err
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, r)
}

// nameOf returns the name of the machine at a front address.
func (c *consumers) nameOf(address string) string {
	for _, m := range c.fleet.machines {
		if m.front == address {
			return m.name
		}
	}
	return address
}

// byID returns the requests that have ended.
func (c *consumers) byID() map[string]*request {
	c.mu.Lock()
	defer c.mu.Unlock()
	byID := make(map[string]*request, len(c.requests))
	for _, r := range c.requests {
		byID[r.id] = r
	}
	return byID
}
