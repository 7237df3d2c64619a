package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
)

const (
	// quarantineRow is the table's row for all requests in quarantine, one attribute each.
	quarantineRow = "quarantine"
	// quarantineOperation is the attribute that tells one write of the row from the next.
	quarantineOperation = "operation"
)

// ownsSuspect reports whether this instance is the one among the members that tries a
// request in quarantine again.
func (i *Instance) ownsSuspect(d quarantine.Digest) bool {
	view := i.control.View()
	names := make([]string, 0, len(view.Membership.Members))
	for _, m := range view.Membership.Members {
		names = append(names, m.Incarnation)
	}
	return d.Owner(names) == view.Self.Incarnation
}

// quarantineTable keeps the requests in quarantine in the platform's table. It implements
// quarantine.Store.
type quarantineTable struct{ platform.Table }

// ReadQuarantine returns the requests in quarantine. Attributes that cannot be decoded are
// left out.
func (t quarantineTable) ReadQuarantine(ctx context.Context) ([]quarantine.Record, error) {
	item, err := t.read(ctx)
	if err != nil {
		return nil, err
	}
	var records []quarantine.Record
	for name, value := range item {
		digest, err := hex.DecodeString(name)
		record := quarantine.Record{}
		if err != nil || len(digest) != len(record.Digest) {
			continue
		}
		if _, err := fmt.Sscanf(value, "%d %d", &record.Clearings, &record.Crashes); err != nil {
			continue
		}
		record.Digest = quarantine.Digest(digest)
		records = append(records, record)
	}
	return records, nil
}

// read returns the row, or an empty one.
func (t quarantineTable) read(ctx context.Context) (platform.Item, error) {
	item, err := t.Get(ctx, quarantineRow)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return platform.Item{}, nil
	}
	return item, errors.Wrap(err, "read the quarantine")
}

// WriteQuarantine changes the records in the row. It fails if another instance changes the
// row meanwhile.
func (t quarantineTable) WriteQuarantine(ctx context.Context, records []quarantine.Record) error {
	item, err := t.read(ctx)
	if err != nil {
		return err
	}
	condition := platform.Condition{Absent: len(item) == 0, Attribute: quarantineOperation, Equals: item[quarantineOperation]}
	for _, r := range records {
		if r.Crashes == 0 {
			delete(item, r.Digest.String())
			continue
		}
		item[r.Digest.String()] = fmt.Sprintf("%d %d", r.Clearings, r.Crashes)
	}
	item[quarantineOperation] = rand.Text()
	return errors.Wrap(t.Put(ctx, quarantineRow, item, condition), "write the quarantine")
}
