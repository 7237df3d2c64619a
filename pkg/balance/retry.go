package balance

import (
	"sync"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
)

const (
	// tokensPerRequest is added to a route's budget by each request, so that
	// a tenth of the requests may be retried.
	tokensPerRequest = 0.1
	// tokensPerSecond is added to each budget over time, so that routes with
	// little traffic can retry too.
	tokensPerSecond = 0.1
	// maxTokens is the maximum and the initial budget of a route.
	maxTokens = 10.0
)

// budgets holds the retry budget of each route at this instance.
type budgets struct {
	clock  clock.Clock
	mu     sync.RWMutex
	routes map[string]*budget
}

// budget is a token bucket; a retry costs one token.
type budget struct {
	mu        sync.Mutex
	tokens    float64
	updatedAt time.Duration
}

// route returns the budget of the route; it creates it if necessary.
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
		r = &budget{tokens: maxTokens, updatedAt: b.clock.SinceBoot()}
		b.routes[name] = r
	}
	return r
}

// earn adds the tokens of one request.
func (b *budgets) earn(route string) { b.route(route).change(b.clock.SinceBoot(), tokensPerRequest) }

// spend takes one token and reports whether the budget had it.
func (b *budgets) spend(route string) bool { return b.route(route).change(b.clock.SinceBoot(), -1) }

// change adds the tokens that accrued since the last call and then the given ones,
// which may be negative. If too few are left, it takes none and returns false.
func (r *budget) change(now time.Duration, tokens float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+tokensPerSecond*(now-r.updatedAt).Seconds(), maxTokens)
	r.updatedAt = now
	if r.tokens+tokens < 0 {
		return false
	}
	r.tokens = min(r.tokens+tokens, maxTokens)
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
