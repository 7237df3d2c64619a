package limitsim

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/directory"
)

// steeredCallerCount is the number of callers of the team; it equals
// callersPerTeam of pkg/lab/experiment.
const steeredCallerCount = 6

// steeredCaller is a caller that sends its requests to the addresses of its last
// directory answer, like the callers of pkg/lab/caller.
type steeredCaller struct {
	addresses []string
	// preferred is the number of leading addresses over which the caller spreads
	// its requests; it uses the others when these have crashed.
	preferred int
	// expires is the time from which the caller requests the directory again.
	expires time.Duration
}

// pickSteered chooses the instance for the next request of a random caller.
func (s *simulation) pickSteered() *instance {
	c := s.callers[s.random.IntN(len(s.callers))]
	if s.now >= c.expires {
		s.refresh(c)
	}
	start := s.random.IntN(c.preferred)
	for attempt := range c.addresses {
		if i := s.byID[c.addresses[(start+attempt)%len(c.addresses)]]; !i.crashed {
			return i
		}
	}
	s.refresh(c)
	return s.byID[c.addresses[0]]
}

// refresh replaces the caller's addresses by the directory answer of a random
// running instance. All callers have the same remote address, as if they ran on
// one host.
func (s *simulation) refresh(c *steeredCaller) {
	i := s.instances[s.random.IntN(len(s.instances))]
	for i.crashed {
		i = s.instances[s.random.IntN(len(s.instances))]
	}
	answer := directory.Options{Params: s.c.Params}.Answer(i.view, team, "caller", directory.State{MayServe: true})
	c.addresses = answer.Addresses
	c.preferred = answer.Preferred
	c.expires = s.now + directory.DefaultLifetime
}
