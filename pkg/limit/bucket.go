package limit

import (
	"math"
	"math/bits"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
)

// Millitoken is the unit of tokens: one request costs 1,000 thousandths.
const Millitoken = 1000

// microPerMilli and nanoPerSecond scale micro-tokens per second times
// nanoseconds to thousandths of a token.
const (
	microPerMilli = 1000
	nanoPerSecond = 1_000_000_000
)

// Share is one instance's part of a team's rate and burst.
type Share struct {
	// RateMicro is the team's rate over the fleet in millionths of a token per second.
	RateMicro int64
	// BurstMilli is the team's burst over the fleet in thousandths of a token.
	BurstMilli int64
	// Parts is the number of equal parts, of which the instance has one; 0 means none.
	Parts int64
}

// Ceiling is the largest number of thousandths that the instance may hold and
// have on loan together.
func (s Share) Ceiling() int64 {
	if s.Parts == 0 {
		return 0
	}
	return s.BurstMilli / s.Parts
}

// minimum combines two shares: the lower rate, the lower burst, the smaller part.
func (s Share) minimum(o Share) Share {
	m := Share{RateMicro: min(s.RateMicro, o.RateMicro), BurstMilli: min(s.BurstMilli, o.BurstMilli)}
	if s.Parts > 0 && o.Parts > 0 {
		m.Parts = max(s.Parts, o.Parts)
	}
	return m
}

// shareOf returns the share of one in parts of the team's configured limits.
func shareOf(t config.Team, parts int64) Share {
	return Share{
		RateMicro:  int64(math.Floor(t.RatePerSecond * 1e6)),
		BurstMilli: int64(t.Burst) * Millitoken,
		Parts:      parts,
	}
}

// bucket accumulates thousandths of a token. The remainder of the division is
// carried, so that no amount of small steps adds or loses anything.
type bucket struct {
	tokens int64
	// remainder counts 1/(10^12 * parts) of a thousandth.
	remainder uint64
	parts     int64
	at        time.Duration
}

// advance mints for the time up to to, but not above ceiling. Tokens above the
// ceiling are dropped.
func (b *bucket) advance(s Share, ceiling int64, to time.Duration) {
	if s.Parts != b.parts {
		b.parts, b.remainder = s.Parts, 0
	}
	dt := to - b.at
	if dt > 0 {
		b.at = to
		b.mint(s, ceiling, uint64(dt))
	}
	if b.tokens >= ceiling {
		b.tokens, b.remainder = max(0, ceiling), 0
	}
}

func (b *bucket) mint(s Share, ceiling int64, dt uint64) {
	if s.Parts == 0 || s.RateMicro <= 0 || b.tokens >= ceiling {
		return
	}
	divisor := uint64(nanoPerSecond) * microPerMilli * uint64(s.Parts)
	hi, lo := bits.Mul64(dt, uint64(s.RateMicro))
	lo, carry := bits.Add64(lo, b.remainder, 0)
	hi += carry
	if hi >= divisor {
		b.tokens = ceiling
		return
	}
	minted, remainder := bits.Div64(hi, lo, divisor)
	if minted >= uint64(ceiling-b.tokens) {
		b.tokens = ceiling
		return
	}
	b.tokens += int64(minted)
	b.remainder = remainder
}

// timeFor returns how long a share needs to mint amount thousandths.
func timeFor(s Share, amount int64) time.Duration {
	if amount <= 0 {
		return 0
	}
	if s.Parts == 0 || s.RateMicro <= 0 {
		return time.Hour
	}
	seconds := float64(amount) * microPerMilli * float64(s.Parts) / float64(s.RateMicro)
	if seconds > 3600 {
		return time.Hour
	}
	return time.Duration(math.Ceil(seconds * nanoPerSecond))
}
