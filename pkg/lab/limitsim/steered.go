package limitsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/directory"
)

// steeredCallers is the number of callers of the team, as in pkg/lab/experiment.
const steeredCallers = 6

// steered is a caller that uses the addresses of the directory, as those of
// pkg/lab/caller do.
type steered struct {
	addresses []string
	preferred int
	expires   time.Duration
}

// steer picks the instance for the next request of a random caller.
func (s *simulation) steer() *instance {
	c := s.callers[s.random.IntN(len(s.callers))]
	if s.now >= c.expires {
		s.refresh(c)
	}
	start := s.random.IntN(c.preferred)
	for try := range c.addresses {
		if i := s.byID[c.addresses[(start+try)%len(c.addresses)]]; !i.dead {
			return i
		}
	}
	s.refresh(c)
	return s.byID[c.addresses[0]]
}

// refresh asks a random instance. All callers have the same remote address, as
// on one machine.
func (s *simulation) refresh(c *steered) {
	i := s.instances[s.random.IntN(len(s.instances))]
	for i.dead {
		i = s.instances[s.random.IntN(len(s.instances))]
	}
	answer := directory.Options{Params: s.c.Params}.Answer(i.view, team, "caller", directory.State{Fresh: true})
	c.addresses = answer.Addresses
	c.preferred = answer.Preferred
	c.expires = s.now + directory.DefaultLifetime
}
