package health

import (
	"sync"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// evaluatorCache caches the result of EvaluatorsOf for each service and one membership
// version, because ranking sorts all members.
type evaluatorCache struct {
	mu      sync.Mutex
	version int64
	members map[string][]membership.Member
}

// of returns the evaluators of a service in rank order, or nil without a membership.
func (c *evaluatorCache) of(m *membership.Membership, service string) []membership.Member {
	if m == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.members == nil || c.version != m.Version {
		c.members, c.version = map[string][]membership.Member{}, m.Version
	}
	members, ok := c.members[service]
	if !ok {
		members = EvaluatorsOf(m, service)
		c.members[service] = members
	}
	return members
}
