package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/event"
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
type quarantineTable struct {
	platform.Table
	log *zerolog.Logger
}

// ReadQuarantine returns the requests in quarantine. Attributes that cannot be decoded are
// logged and left out.
func (t quarantineTable) ReadQuarantine(ctx context.Context) ([]quarantine.Record, error) {
	item, err := t.read(ctx)
	if err != nil {
		return nil, err
	}
	var records []quarantine.Record
	for name, value := range item {
		if name == quarantineOperation {
			continue
		}
		record, err := decodeQuarantined(name, value)
		if err != nil {
			event.EntryRejected.Log(t.log).Err(err).Str("key", name).Send()
			continue
		}
		records = append(records, record)
	}
	return records, nil
}

// InvalidAttributeError says that an attribute of the row is no request in quarantine.
type InvalidAttributeError struct{ Name, Value string }

// Error names the attribute.
func (e *InvalidAttributeError) Error() string {
	return "row " + quarantineRow + ", attribute " + strconv.Quote(e.Name) + ": no digest with two counts but " + strconv.Quote(e.Value)
}

// decodeQuarantined reads an attribute of the row. Errors: *InvalidAttributeError.
func decodeQuarantined(name, value string) (record quarantine.Record, err error) {
	digest, err := hex.DecodeString(name)
	if err == nil && len(digest) == len(record.Digest) {
		if _, err = fmt.Sscanf(value, "%d %d", &record.Clearings, &record.Crashes); err == nil {
			record.Digest = quarantine.Digest(digest)
			return record, nil
		}
	}
	return quarantine.Record{}, errors.WithStack(&InvalidAttributeError{Name: name, Value: value})
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
