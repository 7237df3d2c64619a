package relay

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Faults are the faults of a relay that can be switched at run time.
//
// While a direction is cut, the relay holds its bytes and the end of its stream,
// drops neither, and forwards both when the cut ends. TCP behaves like this
// across a network partition: it retransmits lost segments after the partition
// ends. New connections are accepted during a cut, because the relay cannot keep
// the kernel from accepting them.
type Faults struct {
	// CutToTarget holds the bytes from clients to the target.
	CutToTarget bool `json:"cut_to_target"`
	// CutToClient holds the bytes from the target to clients.
	CutToClient bool `json:"cut_to_client"`
	// DelayMS is the latency added in each direction, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// FaultsError reports that a field of Faults is out of range.
type FaultsError struct{ Field string }

// Error names the field.
func (e *FaultsError) Error() string { return fmt.Sprintf("relay: %s is out of range", e.Field) }

func (f Faults) validate() error {
	if f.DelayMS < 0 {
		return &FaultsError{"delay_ms"}
	}
	return nil
}

// isCut reports whether the direction to the target, or else the one to the
// client, is cut.
func (f Faults) isCut(toTarget bool) bool {
	if toTarget {
		return f.CutToTarget
	}
	return f.CutToClient
}

// faultState holds the current faults and notifies goroutines that wait for the
// end of a cut.
type faultState struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced on each change
}

func newFaultState() *faultState { return &faultState{changed: make(chan struct{})} }

func (c *faultState) set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *faultState) get() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.changed
}

func (c *faultState) delay() time.Duration {
	f, _ := c.get()
	return time.Duration(f.DelayMS) * time.Millisecond
}

// waitUncut waits until the direction is not cut. It fails with the error of ctx
// when ctx ends.
func (c *faultState) waitUncut(ctx context.Context, toTarget bool) error {
	for {
		f, changed := c.get()
		if !f.isCut(toTarget) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
