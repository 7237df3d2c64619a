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

// listUpdater keeps the platform's list of instances up to date with the running
// processes, as a real platform does for the machines that it runs.
type listUpdater struct {
	// url is the URL of the instance list.
	url string
	// changes are the changes not yet applied, in their order.
	changes chan platformsim.ListChange

	mu sync.Mutex
	// latest is the process that was started last, by peer address.
	latest map[string]*Process
}

const (
	maxPendingListChanges = 1024
	listRetryInterval     = 200 * time.Millisecond
)

func newListUpdater(url string) *listUpdater {
	return &listUpdater{url: url, latest: map[string]*Process{}, changes: make(chan platformsim.ListChange, maxPendingListChanges)}
}

// run applies the changes in order until ctx ends. It retries a change while the
// simulated platform is down.
func (l *listUpdater) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case change := <-l.changes:
			for ctx.Err() == nil && !l.apply(ctx, change) {
				time.Sleep(listRetryInterval)
			}
		}
	}
}

// apply posts one change. It returns false if the change must be retried.
func (l *listUpdater) apply(ctx context.Context, change platformsim.ListChange) bool {
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

// track registers the instance, and deregisters it when its process has ended,
// unless another process has been started at the address since.
func (l *listUpdater) track(address, zone string, p *Process) {
	l.mu.Lock()
	l.latest[address] = p
	l.changes <- platformsim.ListChange{Register: []platform.InstanceListEntry{{Address: address, Zone: zone, State: platform.Live}}}
	l.mu.Unlock()
	go func() {
		<-p.done
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.latest[address] == p {
			l.changes <- platformsim.ListChange{Deregister: []string{address}}
		}
	}()
}
