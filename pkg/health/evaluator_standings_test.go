package health

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Guards against a dispatcher that assigns no target, or an ejected one, because its
// instance has no traffic of its own and therefore follows no verdict.
func TestEvaluatorKnowsItsStandings(t *testing.T) {
	is := is.New(t)
	r := newFixture(fourTargets(config.ProfileFast))
	is.True(r.evaluator.Standings("s") == nil)
	is.True(r.evaluator.Standings("unknown") == nil)
	good := &peerpb.TargetCounts{Answers: 5}
	states := r.run(10*time.Second, &peerpb.TargetCounts{Stalls: 3}, good)
	is.Equal(states["t0"], peerpb.TargetState_TARGET_STATE_EJECTED)
	standings := r.evaluator.Standings("s")
	is.Equal(len(standings.Targets), 4)
	for name, state := range states {
		is.Equal(standings.Targets[name].State, state)
	}
}
