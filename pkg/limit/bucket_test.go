package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against rounding that loses or adds tokens: many small steps must mint
// exactly what one step mints. Without the remainder that is carried over they
// mint less.
func TestSmallStepsMintExactly(t *testing.T) {
	const ceiling = 1 << 40
	rapid.Check(t, func(t *rapid.T) {
		s := Share{RateMicro: rapid.Int64Range(1, 1e12).Draw(t, "rate"), Divisor: rapid.Int64Range(1, 16).Draw(t, "parts")}
		var steps, whole bucket
		for _, d := range rapid.SliceOfN(rapid.Int64Range(0, 1e9), 1, 50).Draw(t, "steps") {
			steps.advance(s, ceiling, steps.until+time.Duration(d))
		}
		whole.advance(s, ceiling, steps.until)
		if steps != whole {
			t.Fatalf("small steps minted %+v, one step %+v", steps, whole)
		}
	})
	is := is.New(t)
	s := Share{RateMicro: 1_000_000, Divisor: 3}
	var carried, cut bucket
	for n := range 3000 {
		until := time.Duration(n+1) * time.Millisecond
		carried.advance(s, ceiling, until)
		cut.advance(s, ceiling, until)
		cut.remainder = 0
	}
	is.Equal(carried.millitokens, int64(1000)) // one of 3 issuers at 1/s for 3 s
	is.Equal(cut.millitokens, int64(0))
}
