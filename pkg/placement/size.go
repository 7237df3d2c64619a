package placement

const (
	// bytesPerCost is the size of a response in bytes for which a target in another zone
	// costs one unit more: traffic between zones is expensive, and small responses are
	// a small part of it.
	bytesPerCost = 16 << 10
	// maxSizeCost is the most that the size adds. A target that probably fails a request
	// that may be retried costs about as much, so that a large response crosses zones only when
	// no target of the zone is likely to give it.
	maxSizeCost = 4.0
	// sizeWeight is the weight of one response in the typical size of a route.
	sizeWeight = 0.1
	// maxSizes bounds the routes whose sizes are kept.
	maxSizes = 4096
)

// responseSizes holds the typical size of responses in bytes by route.
type responseSizes map[string]float64

// add counts one response.
func (s responseSizes) add(route string, bytes int64) {
	typical, known := s[route]
	switch {
	case known:
		s[route] = typical + sizeWeight*(float64(bytes)-typical)
	case len(s) < maxSizes:
		s[route] = float64(bytes)
	}
}

// zoneCost returns what a target in another zone costs more for a request of the route
// than for a small response.
func (s responseSizes) zoneCost(route string) float64 { return min(s[route]/bytesPerCost, maxSizeCost) }

// ObserveSize counts the size of a response's body.
func (a *attempt) ObserveSize(bytes int64) {
	a.service.mu.Lock()
	defer a.service.mu.Unlock()
	a.service.sizes.add(a.route, bytes)
}
