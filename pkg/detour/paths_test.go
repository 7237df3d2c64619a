package detour

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against detours for targets that have failed, and against an instance that takes
// the loss of a few targets for that of its paths.
func TestPathsDecide(t *testing.T) {
	const now = time.Minute
	type step struct {
		address string
		ok      bool
		after   time.Duration
	}
	fail := func(address string, after time.Duration) step { return step{address, false, after} }
	for name, c := range map[string]struct {
		steps                []step
		test, avoid, suspect bool
	}{
		"nothing yet":                        {},
		"one target once":                    {steps: []step{fail("a", 0)}},
		"one target twice":                   {steps: []step{fail("a", 0), fail("a", 0)}, avoid: true, suspect: true},
		"two targets":                        {steps: []step{fail("b", 0), fail("a", 0)}, suspect: true},
		"three targets":                      {steps: []step{fail("b", 0), fail("c", 0), fail("a", 0)}, suspect: true, test: true},
		"another target answers":             {steps: []step{fail("b", 0), fail("c", 0), {"d", true, time.Millisecond}, fail("a", time.Millisecond)}},
		"it answers itself":                  {steps: []step{fail("a", 0), fail("a", 0), {"a", true, time.Millisecond}}},
		"failures from long ago":             {steps: []step{fail("b", 0), fail("c", 0), fail("a", failureMemory)}},
		"one target twice, a direct try due": {steps: []step{fail("a", 0), fail("a", 0), {"b", true, failureMemory}}, suspect: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, at, test := &Paths{}, now, false
			for _, s := range c.steps {
				at += s.after
				if s.ok {
					p.Connected(s.address, at)
					at += time.Millisecond
				} else {
					test = p.Failed(s.address, at)
				}
			}
			is.Equal(test, c.test)
			is.Equal(p.Avoid("a", at), c.avoid)
			is.Equal(p.Suspect("a", at), c.suspect)
			is.True(!p.Lost())
		})
	}
}
