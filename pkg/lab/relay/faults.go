package relay

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Faults are the faults of a relay that can be switched at run time.
//
// Bytes that meet a cut are held, not dropped: the end of a connection is held
// as well, and both continue when the cut ends. This is how TCP behaves across
// a partition, where lost segments are sent again once it heals. New
// connections are accepted during a cut, because the relay cannot keep the
// kernel from accepting them.
type Faults struct {
	// CutToTarget holds the bytes from clients to the target.
	CutToTarget bool `json:"cut_to_target"`
	// CutToClient holds the bytes from the target to clients.
	CutToClient bool `json:"cut_to_client"`
	// DelayMS delays the bytes in each direction.
	DelayMS int `json:"delay_ms"`
}

// FaultsError says that a field of Faults is out of range.
type FaultsError struct{ Field string }

// Error names the field.
func (e *FaultsError) Error() string { return fmt.Sprintf("relay: %s is out of range", e.Field) }

func (f Faults) validate() error {
	if f.DelayMS < 0 {
		return &FaultsError{"delay_ms"}
	}
	return nil
}

func (f Faults) cuts(toTarget bool) bool {
	if toTarget {
		return f.CutToTarget
	}
	return f.CutToClient
}

// control holds the current faults and wakes those who wait for a cut to end.
type control struct {
	mu      sync.Mutex
	faults  Faults
	changed chan struct{} // closed and replaced on each change
}

func newControl() *control { return &control{changed: make(chan struct{})} }

func (c *control) set(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *control) get() (Faults, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults, c.changed
}

func (c *control) delay() time.Duration {
	f, _ := c.get()
	return time.Duration(f.DelayMS) * time.Millisecond
}

// waitOpen waits until the direction is not cut, or ctx ends.
func (c *control) waitOpen(ctx context.Context, toTarget bool) error {
	for {
		f, changed := c.get()
		if !f.cuts(toTarget) {
			return ctx.Err()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
