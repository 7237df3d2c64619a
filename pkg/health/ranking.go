package health

import (
	"sync"

	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// evaluatorCache caches the evaluators of each service for one membership version,
// because ranking sorts all members.
type evaluatorCache struct {
	mu      sync.Mutex
	version int64
	members map[string][]membership.Member
}

func (r *evaluatorCache) of(m *membership.Membership, service string) []membership.Member {
	if m == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.members == nil || r.version != m.Version {
		r.members, r.version = map[string][]membership.Member{}, m.Version
	}
	members, ok := r.members[service]
	if !ok {
		members = EvaluatorsOf(m, service)
		r.members[service] = members
	}
	return members
}
