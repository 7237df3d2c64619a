package fleet

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against all standbys of a zone copying from one small instance: in load
// scenario trouble-1 of the enlarged print works deployment, three changes kept
// the link of one instance busy for 0.7 s.
func TestOffersPreferLargeInstances(t *testing.T) {
	is := is.New(t)
	sources := NewCopySources(func() time.Duration { return 50 * time.Millisecond })
	var mu sync.Mutex
	var copied []string
	release := make(chan struct{})
	copyFrom := func(h *peerpb.Heartbeat) {
		mu.Lock()
		copied = append(copied, h.Instance)
		mu.Unlock()
		<-release
	}
	for _, h := range []*peerpb.Heartbeat{
		{Instance: "small", Capacity: 53}, {Instance: "large", Capacity: 266}, {Instance: "other", Capacity: 53},
	} {
		sources.Add(h, copyFrom)
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		mu.Lock()
		started := len(copied) > 0
		mu.Unlock()
		if started {
			break
		}
	}
	sources.Add(&peerpb.Heartbeat{Instance: "late", Capacity: 900}, copyFrom) // a copy is running already
	close(release)
	for !sources.Idle() {
		time.Sleep(5 * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	is.Equal(copied, []string{"large"})
}
