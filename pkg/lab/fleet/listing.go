package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/platformsim"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// listing keeps the platform's list of instances in step with the processes,
// as a real platform does for the machines that it runs.
type listing struct {
	url     string
	changes chan platformsim.ListChange

	mu sync.Mutex
	// newest is the last process that was started at each address.
	newest map[string]*Process
}

const (
	maxListChanges = 1024
	listRetry      = 200 * time.Millisecond
)

func newListing(url string) *listing {
	return &listing{url: url, newest: map[string]*Process{}, changes: make(chan platformsim.ListChange, maxListChanges)}
}

// run applies the changes in their order until ctx ends. A change is repeated
// while the simulated platform is down.
func (l *listing) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-l.changes:
			for ctx.Err() == nil && !l.apply(ctx, change) {
				time.Sleep(listRetry)
			}
		}
	}
}

func (l *listing) apply(ctx context.Context, change platformsim.ListChange) bool {
	data, err := json.Marshal(change)
	if err != nil {
		return true
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader(data))
	if err != nil {
		return true
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusBadRequest
}

// follow lists the instance until its process has ended.
func (l *listing) follow(address, zone string, p *Process) {
	l.mu.Lock()
	l.newest[address] = p
	l.changes <- platformsim.ListChange{Register: []platform.Listed{{Address: address, Zone: zone, State: platform.Live}}}
	l.mu.Unlock()
	go func() {
		<-p.done
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.newest[address] == p {
			l.changes <- platformsim.ListChange{Deregister: []string{address}}
		}
	}()
}
