package limit

import (
	"math"
	"math/bits"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Millitoken is the number of millitokens per token. Amounts are counted in
// millitokens; one request costs one token.
const Millitoken = 1000

// microsPerMilli and nanosPerSecond convert the product of millionths of a token
// per second and nanoseconds to millitokens.
const (
	microsPerMilli = 1000
	nanosPerSecond = 1_000_000_000
)

// Share is one issuer's share of the rate and burst of a team.
type Share struct {
	// RateMicro is the team's rate over the whole fleet in millionths of a token
	// per second.
	RateMicro int64
	// BurstMilli is the team's burst over the whole fleet in millitokens.
	BurstMilli int64
	// Divisor is the number of issuers among which rate and burst are divided
	// equally; 0 means that the instance is no issuer.
	Divisor int64
}

// Ceiling is the maximum number of millitokens that the instance may hold and
// have on loan together.
func (s Share) Ceiling() int64 {
	if s.Divisor == 0 {
		return 0
	}
	return s.BurstMilli / s.Divisor
}

// minimum combines two shares: the lower rate, the lower burst, and the larger
// divisor or none.
func (s Share) minimum(o Share) Share {
	m := Share{RateMicro: min(s.RateMicro, o.RateMicro), BurstMilli: min(s.BurstMilli, o.BurstMilli)}
	if s.Divisor > 0 && o.Divisor > 0 {
		m.Divisor = max(s.Divisor, o.Divisor)
	}
	return m
}

// shareOf returns the share of one of divisor issuers in the team's configured
// limits.
func shareOf(t config.Team, divisor int64) Share {
	return Share{
		RateMicro:  int64(math.Floor(t.RatePerSecond * 1e6)),
		BurstMilli: int64(t.Burst) * Millitoken,
		Divisor:    divisor,
	}
}

// bucket accumulates millitokens. The remainder of the division is carried over,
// so that many small steps mint exactly as much as one large step.
type bucket struct {
	millitokens int64
	// remainder counts units of 1/(10^12 * divisor) of a millitoken.
	remainder uint64
	divisor   int64
	// until is the time up to which tokens have been minted.
	until time.Duration
}

// advance mints tokens for the time from b.until to the time to, up to ceiling.
// Tokens above the ceiling are dropped.
func (b *bucket) advance(s Share, ceiling int64, to time.Duration) {
	if s.Divisor != b.divisor {
		b.divisor, b.remainder = s.Divisor, 0
	}
	dt := to - b.until
	if dt > 0 {
		b.until = to
		b.mint(s, ceiling, uint64(dt))
	}
	if b.millitokens >= ceiling {
		b.millitokens, b.remainder = max(0, ceiling), 0
	}
}

func (b *bucket) mint(s Share, ceiling int64, dt uint64) {
	if s.Divisor == 0 || s.RateMicro <= 0 || b.millitokens >= ceiling {
		return
	}
	denominator := uint64(nanosPerSecond) * microsPerMilli * uint64(s.Divisor)
	hi, lo := bits.Mul64(dt, uint64(s.RateMicro))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= denominator {
		b.millitokens = ceiling
		return
	}
	minted, remainder := bits.Div64(hi, lo, denominator)
	if minted >= uint64(ceiling-b.millitokens) {
		b.millitokens = ceiling
		return
	}
	b.millitokens += int64(minted)
	b.remainder = remainder
}

// mintTime returns how long a share takes to mint amount millitokens, at most an
// hour.
func mintTime(s Share, amount int64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if s.Divisor == 0 || s.RateMicro <= 0 {
		return time.Hour
	}
	seconds := float64(amount) * microsPerMilli * float64(s.Divisor) / float64(s.RateMicro)
	if seconds > 3600 {
		return time.Hour
	}
	return time.Duration(math.Ceil(seconds * nanosPerSecond))
}
