package proxy

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	mathrand "math/rand/v2"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

// Attributes of a claim's row.
const (
	// claimOperation holds the operation id of the claim that wrote the row.
	claimOperation = "operation"
	// claimCreated holds the wall-clock time of the write.
	claimCreated = "created"
)

const (
	// claimTimeout is the default time limit of a claim, retries included.
	claimTimeout = time.Second
	// firstClaimRetryWait bounds the wait before the first retry. The bound doubles
	// with each retry up to maxClaimRetryWait; the wait is random below the bound.
	firstClaimRetryWait = 10 * time.Millisecond
	maxClaimRetryWait   = 160 * time.Millisecond
)

// ReleasingClaims is implemented by Claims that can delete a claim again when the
// request has provably not run.
type ReleasingClaims interface {
	Claims
	// ClaimReleasable records the key as Claim does; release deletes this claim and
	// no other.
	ClaimReleasable(ctx context.Context, team, route, key string) (release func(context.Context), err error)
}

// TableClaims keeps one row per idempotency key in the platform's table. Each
// claim writes its own random operation id, so that a claim whose write succeeded
// but whose response was lost recognises its row.
type TableClaims struct {
	table   platform.Table
	clock   clock.Clock
	timeout time.Duration
}

// NewTableClaims returns claims that are kept in table. The timeout bounds each
// claim; zero means 1 s.
func NewTableClaims(table platform.Table, c clock.Clock, timeout time.Duration) *TableClaims {
	setDefault(&timeout, claimTimeout)
	return &TableClaims{table: table, clock: c, timeout: timeout}
}

// ClaimRow returns the table key of the row for an idempotency key. The
// idempotency key is hashed, so that the table need not support its length and
// its characters.
func ClaimRow(team, route, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claim/" + url.PathEscape(team) + "/" + url.PathEscape(route) + "/" + hex.EncodeToString(sum[:])
}

// Claim records the key unless it is recorded already.
func (c *TableClaims) Claim(ctx context.Context, team, route, key string) error {
	_, err := c.ClaimReleasable(ctx, team, route, key)
	return err
}

// ClaimReleasable is Claim with a function that deletes this claim's row and no other.
func (c *TableClaims) ClaimReleasable(ctx context.Context, team, route, key string) (func(context.Context), error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	row, operation := ClaimRow(team, route, key), rand.Text()
	for wait := firstClaimRetryWait; ; wait = min(2*wait, maxClaimRetryWait) {
		owned, err := c.try(ctx, row, operation)
		var r *refusal.Refusal
		switch {
		case err == nil && owned:
			return func(ctx context.Context) { c.release(ctx, row, operation) }, nil
		case errors.As(err, &r):
			return nil, err
		}
		if ctx.Err() != nil || c.clock.Sleep(ctx, mathrand.N(wait)) != nil {
			return nil, refusal.New(refusal.ClaimUnavailable, err)
		}
	}
}

// try writes the row once, and reads it if the write was not confirmed. It returns
// true if the row is that of operation. False without an error means that the row
// did not exist when read; the claim may be tried again.
func (c *TableClaims) try(ctx context.Context, row, operation string) (bool, error) {
	item := platform.Item{claimOperation: operation, claimCreated: c.clock.Now().UTC().Format(time.RFC3339)}
	err := c.table.Put(ctx, row, item, platform.Condition{Absent: true})
	if err == nil {
		return true, nil
	}
	// The row is read even if the condition failed: a platform adapter may have
	// resent the write after its first response was lost.
	found, err := c.table.Get(ctx, row)
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &missing):
		return false, nil
	case err != nil:
		return false, errors.Wrap(err, "read claim")
	case found[claimOperation] == operation:
		return true, nil
	default:
		return false, refusal.New(refusal.DuplicateRequest, nil)
	}
}

// release deletes the row if it is still that of operation. If the deletion fails,
// the row stays and requests with the key are still refused as duplicates.
func (c *TableClaims) release(ctx context.Context, row, operation string) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_ = c.table.Delete(ctx, row, platform.Condition{Attribute: claimOperation, Equals: operation})
}
