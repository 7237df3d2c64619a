package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against rounding that loses or adds tokens: many small steps must mint
// exactly what one step mints. Without the carried remainder they mint less.
func TestSmallStepsMintExactly(t *testing.T) {
	const ceiling = 1 << 40
	rapid.Check(t, func(t *rapid.T) {
		s := Share{RateMicro: rapid.Int64Range(1, 1e12).Draw(t, "rate"), Parts: rapid.Int64Range(1, 16).Draw(t, "parts")}
		var steps, whole bucket
		for _, d := range rapid.SliceOfN(rapid.Int64Range(0, 1e9), 1, 50).Draw(t, "steps") {
			steps.advance(s, ceiling, steps.at+time.Duration(d))
		}
		whole.advance(s, ceiling, steps.at)
		if steps != whole {
			t.Fatalf("in steps %+v, at once %+v", steps, whole)
		}
	})
	is := is.New(t)
	s := Share{RateMicro: 1_000_000, Parts: 3}
	var carried, cut bucket
	for n := range 3000 {
		at := time.Duration(n+1) * time.Millisecond
		carried.advance(s, ceiling, at)
		cut.advance(s, ceiling, at)
		cut.remainder = 0
	}
	is.Equal(carried.tokens, int64(1000)) // 1/s in 3 parts for 3 s
	is.Equal(cut.tokens, int64(0))
}
