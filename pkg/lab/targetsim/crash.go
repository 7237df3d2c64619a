package targetsim

import (
	"strings"
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/lab/httpserver"
)

// crashDownTime is the time from a crash to the restart.
const crashDownTime = time.Second

// crashes reports whether an execution crashes the target.
func (f Faults) crashes(e Execution) bool {
	return f.CrashPath != "" && strings.HasSuffix(e.Path, f.CrashPath)
}

// restartable is the service listener of a target that may crash.
type restartable struct {
	mu      sync.Mutex
	current *httpserver.Server
	// down is set from a crash to the restart, closed from Close on.
	down, closed bool
	start        func(address string) *httpserver.Server
}

// Addr returns the address of the listener, IP:port.
func (r *restartable) Addr() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Addr()
}

// Close closes the listener for good.
func (r *restartable) Close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	if r.down {
		return nil
	}
	return r.current.Close()
}

// crash closes the listener and all connections, and opens it again after
// crashDownTime.
func (r *restartable) crash() error {
	r.mu.Lock()
	if r.down || r.closed {
		r.mu.Unlock()
		return nil
	}
	r.down = true
	address := r.current.Addr()
	err := r.current.Close()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(crashDownTime)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	r.down = false
	r.current = r.start(address)
	return r.current.Start()
}
