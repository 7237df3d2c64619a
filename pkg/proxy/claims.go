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
	claimOperation = "operation"
	claimCreated   = "created"
)

const (
	claimTimeout = time.Second
	// firstClaimRetryWait is the longest wait before the first retry; it doubles
	// with each retry and is drawn at random.
	firstClaimRetryWait = 10 * time.Millisecond
	maxClaimRetryWait   = 160 * time.Millisecond
)

// ReleasingClaims is implemented by Claims that can take a claim back when the
// request has provably not run.
type ReleasingClaims interface {
	Claims
	// ClaimReleasable is Claim; release removes the claim again, and only it.
	ClaimReleasable(ctx context.Context, team, route, key string) (release func(context.Context), err error)
}

// TableClaims keeps one row per idempotency key in the platform's table. Each
// claim writes its own operation id, so that a claim whose response was lost
// recognises its row.
type TableClaims struct {
	table   platform.Table
	clock   clock.Clock
	timeout time.Duration
}

// NewTableClaims returns claims in table. A timeout of zero bounds a claim to 1 s.
func NewTableClaims(table platform.Table, c clock.Clock, timeout time.Duration) *TableClaims {
	setDefault(&timeout, claimTimeout)
	return &TableClaims{table: table, clock: c, timeout: timeout}
}

// ClaimRow returns the key of the row for an idempotency key. The key is
// hashed, so that its length and its characters do not matter to the table.
func ClaimRow(team, route, key string) string {
	sum := sha256.Sum256([]byte(key))
	return "claim/" + url.PathEscape(team) + "/" + url.PathEscape(route) + "/" + hex.EncodeToString(sum[:])
}

// Claim records the key once.
func (c *TableClaims) Claim(ctx context.Context, team, route, key string) error {
	_, err := c.ClaimReleasable(ctx, team, route, key)
	return err
}

// ClaimReleasable records the key once; release deletes this claim's row and no other.
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

// try writes the row once and reads it when the write was not confirmed. A
// result of false without an error means that the row did not exist when read.
func (c *TableClaims) try(ctx context.Context, row, operation string) (bool, error) {
	item := platform.Item{claimOperation: operation, claimCreated: c.clock.Now().UTC().Format(time.RFC3339)}
	err := c.table.Put(ctx, row, item, platform.Condition{Absent: true})
	if err == nil {
		return true, nil
	}
	// Also after a failed condition: an adapter may have resent a write whose
	// first response was lost.
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

// release deletes the row if it is still that of operation. A failure leaves
// the row, and the key stays refused as a duplicate.
func (c *TableClaims) release(ctx context.Context, row, operation string) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	_ = c.table.Delete(ctx, row, platform.Condition{Attribute: claimOperation, Equals: operation})
}
