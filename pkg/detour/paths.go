// Package detour connects to targets through other instances while this one has no path to
// them. Its decisions are those of Paths; Monitor tests the paths, Dialer takes them, and
// Server is the other end.
package detour

import (
	"sync"
	"time"
)

const (
	// suspectTargets is the number of targets to which connections have failed, without
	// one to another target meanwhile, from which the instance tries a detour, and
	// testTargets the number from which it tests its paths.
	suspectTargets = 2
	testTargets    = 3
	// failuresOfTarget is the number of connections to one target that fail one after the
	// other before the instance takes a detour to it.
	failuresOfTarget = 2
	// failureMemory is the time for which a failed connection counts. It is also the time
	// after which a target that is reached by a detour gets a direct connection again.
	failureMemory = 5 * time.Second
	// maxFailing bounds the targets whose failures are remembered.
	maxFailing = 4096
)

// pathFailure are the connections to one target that have failed since one succeeded.
type pathFailure struct {
	count  int
	lastAt time.Duration
}

// Paths records which targets the instance connects to by itself, and decides when it takes
// a detour. It is safe for concurrent use; times are those since boot.
type Paths struct {
	mu sync.Mutex
	// connectedAt is the time of the last direct connection, failedSince that of the first
	// failure after it.
	connectedAt, failedSince time.Duration
	failing                  map[string]pathFailure
	// lost says that the instance connects to no target, though others do.
	lost bool
}

// Connected records a direct connection.
func (p *Paths) Connected(address string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connectedAt, p.failedSince = now, 0
	delete(p.failing, address)
}

// Failed records a direct connection that failed, and reports whether the paths should be
// tested.
func (p *Paths) Failed(address string, now time.Duration) (test bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failedSince == 0 {
		p.failedSince = now
	}
	if p.failing == nil || len(p.failing) >= maxFailing {
		p.failing = map[string]pathFailure{}
	}
	f := p.failing[address]
	p.failing[address] = pathFailure{count: f.count + 1, lastAt: now}
	return p.failed(now) >= testTargets
}

// failed returns the number of targets to which a connection has failed within failureMemory
// since the last one that succeeded. The caller holds mu.
func (p *Paths) failed(now time.Duration) int {
	count := 0
	for address, f := range p.failing {
		switch {
		case now-f.lastAt >= 2*failureMemory:
			delete(p.failing, address)
		case f.lastAt > p.connectedAt && now-f.lastAt < failureMemory:
			count++
		}
	}
	return count
}

// Avoid reports whether a connection to a target should take a detour at once.
func (p *Paths) Avoid(address string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	f := p.failing[address]
	return p.lost || (f.count >= failuresOfTarget && now-f.lastAt < failureMemory)
}

// Suspect reports whether a connection that has failed may have failed because of the
// path, and not of the target.
func (p *Paths) Suspect(address string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost || p.failing[address].count >= failuresOfTarget || p.failed(now) >= suspectTargets
}

// Lost reports whether the instance connects to no target, though others do.
func (p *Paths) Lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// setLost changes the result of Lost and reports whether that is new.
func (p *Paths) setLost(lost bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed, p.lost = p.lost != lost, lost
	return changed
}

// ConnectedAt returns the time of the last direct connection, 0 if there was none.
func (p *Paths) ConnectedAt() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connectedAt
}

// FailedSince returns the time of the first failure after the last direct connection, 0 if
// there was none.
func (p *Paths) FailedSince() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failedSince
}

// suspected returns the addresses to which connections have failed lately.
func (p *Paths) suspected() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	addresses := make(map[string]bool, len(p.failing))
	for address := range p.failing {
		addresses[address] = true
	}
	return addresses
}
