package balance

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

const (
	// retryShare of the requests of a route may be retried.
	retryShare = 0.1
	// retryConstant per second keeps routes with little traffic able to retry.
	retryConstant = 0.1
	// retryBurst bounds the saved budget and is what a route starts with.
	retryBurst = 10.0
)

// budgets holds the retry budget of each route at this instance.
type budgets struct {
	clock  clock.Clock
	mu     sync.RWMutex
	routes map[string]*budget
}

type budget struct {
	mu     sync.Mutex
	tokens float64
	at     time.Duration
}

func (b *budgets) route(name string) *budget {
	b.mu.RLock()
	r := b.routes[name]
	b.mu.RUnlock()
	if r != nil {
		return r
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if r = b.routes[name]; r == nil {
		if b.routes == nil {
			b.routes = map[string]*budget{}
		}
		r = &budget{tokens: retryBurst, at: b.clock.SinceBoot()}
		b.routes[name] = r
	}
	return r
}

// earn adds the share of one request.
func (b *budgets) earn(route string) { b.route(route).change(b.clock.SinceBoot(), retryShare) }

// spend takes one retry and tells whether the budget allows it.
func (b *budgets) spend(route string) bool { return b.route(route).change(b.clock.SinceBoot(), -1) }

func (r *budget) change(now time.Duration, tokens float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+retryConstant*(now-r.at).Seconds(), retryBurst)
	r.at = now
	if r.tokens+tokens < 0 {
		return false
	}
	r.tokens = min(r.tokens+tokens, retryBurst)
	return true
}

// retain drops the budgets of routes that are not configured.
func (b *budgets) retain(configured func(route string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name := range b.routes {
		if !configured(name) {
			delete(b.routes, name)
		}
	}
}
