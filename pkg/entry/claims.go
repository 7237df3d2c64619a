package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/proxy"
	"github.com/arbutuslink/arbutuslink/pkg/refusal"
)

const (
	// claimMemory is the time for which an instance remembers its claims. Copies from
	// which a table is restored are some seconds old.
	claimMemory = time.Minute
	// maxKeptClaims bounds the claims that are remembered, to about 4 MB; the oldest are
	// forgotten first.
	maxKeptClaims = 20_000
	// claimCheckInterval is the time between two reads of the newest claim. For as long after
	// a restore, a request with a lost key may run again through another instance.
	claimCheckInterval = 500 * time.Millisecond
	// claimCallTimeout bounds one read or write of a claim by run.
	claimCallTimeout = time.Second
	// rewrittenOperation is the operation of claims that were written again.
	rewrittenOperation = "rewritten"
)

// keptClaims are claims that outlive a restore of the table from a copy that lacks them: the
// instance remembers its own, and writes them again.
type keptClaims struct {
	proxy.ReleasingClaims
	table platform.Table
	clock clock.Clock
	log   *zerolog.Logger

	// mu guards the fields below: the time since boot of each claim by its row, and the
	// rows, oldest first.
	mu    sync.Mutex
	kept  map[string]time.Duration
	order []string
}

func newKeptClaims(claims proxy.ReleasingClaims, table platform.Table, c clock.Clock, log *zerolog.Logger) *keptClaims {
	return &keptClaims{ReleasingClaims: claims, table: table, clock: c, log: log, kept: map[string]time.Duration{}}
}

// Claim records the key unless it is recorded already.
func (k *keptClaims) Claim(ctx context.Context, team, route, key string) error {
	_, err := k.ClaimReleasable(ctx, team, route, key)
	return err
}

// ClaimReleasable is Claim with a function that deletes this claim and no other.
func (k *keptClaims) ClaimReleasable(ctx context.Context, team, route, key string) (func(context.Context), error) {
	row := proxy.ClaimRow(team, route, key)
	if k.remembers(row) {
		return nil, refusal.New(refusal.DuplicateRequest, nil)
	}
	release, err := k.ReleasingClaims.ClaimReleasable(ctx, team, route, key)
	if err != nil {
		return nil, err
	}
	k.remember(row)
	return func(ctx context.Context) {
		k.forget(row)
		release(ctx)
		// It may have been written again meanwhile.
		_ = k.table.Delete(ctx, row, platform.Condition{Attribute: "operation", Equals: rewrittenOperation})
	}, nil
}

func (k *keptClaims) remembers(row string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.kept[row]
	return ok && k.clock.SinceBoot()-at < claimMemory
}

func (k *keptClaims) remember(row string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.SinceBoot()
	k.kept[row] = now
	k.order = append(k.order, row)
	for len(k.order) > 0 && (len(k.order) > maxKeptClaims || now-k.kept[k.order[0]] >= claimMemory) {
		delete(k.kept, k.order[0])
		k.order = k.order[1:]
	}
}

func (k *keptClaims) forget(row string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.kept, row)
}

// run writes the remembered claims again after each restore of the table, until ctx ends. A
// copy that has the newest claim has all of them.
func (k *keptClaims) run(ctx context.Context) error {
	for {
		if err := k.clock.Sleep(ctx, claimCheckInterval); err != nil {
			return errors.WithStack(err)
		}
		if rows := k.rows(); len(rows) > 0 && k.lost(ctx, rows[len(rows)-1]) {
			k.writeAgain(ctx)
		}
	}
}

// lost reports whether the table lacks the row of a remembered claim.
func (k *keptClaims) lost(ctx context.Context, row string) bool {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	_, err := k.table.Get(ctx, row)
	var missing *platform.NotFoundError
	return errors.As(err, &missing) && k.remembers(row)
}

// writeAgain writes the remembered claims that the table lacks, those that fail repeatedly.
func (k *keptClaims) writeAgain(ctx context.Context) {
	rows := k.rows()
	written, present := 0, 0
	for len(rows) > 0 && ctx.Err() == nil {
		var failed []string
		for _, row := range rows {
			switch err := k.write(ctx, row); {
			case err == nil:
				written++
			case isConditionError(err):
				present++
			default:
				failed = append(failed, row)
			}
		}
		event.ClaimsWritten.Log(k.log).Int("written", written).Int("present", present).Int("failed", len(failed)).Send()
		rows = failed
		if len(rows) > 0 && k.clock.Sleep(ctx, claimCheckInterval) != nil {
			return
		}
	}
}

// rows returns the rows of the remembered claims, oldest first.
func (k *keptClaims) rows() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var rows []string
	for _, row := range k.order {
		if at, ok := k.kept[row]; ok && k.clock.SinceBoot()-at < claimMemory {
			rows = append(rows, row)
		}
	}
	return rows
}

// write writes the claim's row unless there is one.
func (k *keptClaims) write(ctx context.Context, row string) error {
	ctx, cancel := context.WithTimeout(ctx, claimCallTimeout)
	defer cancel()
	item := platform.Item{"operation": rewrittenOperation, "created": k.clock.Now().UTC().Format(time.RFC3339)}
	return k.table.Put(ctx, row, item, platform.Condition{Absent: true})
}

func isConditionError(err error) bool {
	var condition *platform.ConditionError
	return errors.As(err, &condition)
}
