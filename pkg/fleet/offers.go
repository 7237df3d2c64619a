package fleet

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// CopySources chooses the instance from which to copy state that is newer than the own
// one. An offer is a heartbeat whose sender has such state. Many instances learn of
// a change at the same moment; if all copied from one small instance, they would
// overload its link, which carries 10 Mbit/s on the enlarged deployments.
type CopySources struct {
	// delay returns how long to wait for better offers after the first one.
	delay func() time.Duration

	mu sync.Mutex
	// bestOffer is the offer with the largest capacity in this round; nil between
	// rounds. A round lasts from the first offer to the end of the copy.
	bestOffer *peerpb.Heartbeat
	// copying is set while the copy runs.
	copying bool
}

// NewCopySources returns CopySources without a round; delay is called once per round.
func NewCopySources(delay func() time.Duration) *CopySources { return &CopySources{delay: delay} }

// Add takes an offer. The first offer of a round starts it: after the delay, copyFrom
// is called in a goroutine with the best offer. Offers that arrive during a copy
// are dropped, because the next heartbeat repeats them.
func (o *CopySources) Add(h *peerpb.Heartbeat, copyFrom func(*peerpb.Heartbeat)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.copying:
	case o.bestOffer == nil:
		o.bestOffer = h
		go o.copyFromBest(copyFrom)
	case h.Capacity > o.bestOffer.Capacity:
		o.bestOffer = h
	}
}

// copyFromBest runs one round.
func (o *CopySources) copyFromBest(copyFrom func(*peerpb.Heartbeat)) {
	time.Sleep(o.delay())
	o.mu.Lock()
	chosen := o.bestOffer
	o.copying = true
	o.mu.Unlock()
	copyFrom(chosen)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bestOffer, o.copying = nil, false
}

// Idle reports whether no round is in progress.
func (o *CopySources) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bestOffer == nil
}
