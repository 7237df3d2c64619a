package entry

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// claimsFixture is two instances that keep their claims in one table.
func claimsFixture() (*memory.Platform, [2]*keptClaims) {
	p, nop := memory.New(memory.Options{}), zerolog.Nop()
	var instances [2]*keptClaims
	for n := range instances {
		instances[n] = newKeptClaims(proxy.NewTableClaims(p.Table(), clock.System{}, 0), p.Table(), clock.System{}, &nop)
	}
	return p, instances
}

func isDuplicate(err error) bool {
	var r *refusal.Refusal
	return errors.As(err, &r) && r.Code == refusal.DuplicateRequest.Code
}

// Guards against a request that runs again through another instance after a restore of the
// table, and against one that cannot run because a claim that was released came back.
func TestClaimsAreWrittenAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		p, instances := claimsFixture()
		go func() { _ = instances[0].run(ctx) }()
		time.Sleep(2 * claimCheckInterval)
		before := p.Copy()
		is.NoErr(instances[0].Claim(ctx, "red", "seat", "used"))
		release, err := instances[0].ClaimReleasable(ctx, "red", "seat", "released")
		is.NoErr(err)
		release(ctx)
		late, err := instances[0].ClaimReleasable(ctx, "red", "seat", "late")
		is.NoErr(err)

		p.Restore(before, true)
		is.True(isDuplicate(instances[0].Claim(ctx, "red", "seat", "used"))) // remembered, whatever the table has
		time.Sleep(2 * claimCheckInterval)
		is.True(isDuplicate(instances[1].Claim(ctx, "red", "seat", "used")))
		is.NoErr(instances[1].Claim(ctx, "red", "seat", "released"))
		late(ctx)
		is.NoErr(instances[1].Claim(ctx, "red", "seat", "late"))
		cancel()
		synctest.Wait()
	})
}

// Guards against claims that fill the memory.
func TestOldClaimsAreForgotten(t *testing.T) {
	is := is.New(t)
	_, instances := claimsFixture()
	for n := range maxKeptClaims + 10 {
		instances[0].remember(fmt.Sprint(n))
	}
	is.Equal(len(instances[0].kept), maxKeptClaims)
	is.True(!instances[0].remembers("0"))
}
