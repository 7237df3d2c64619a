// Package storesim simulates the row and object store of the users' platform and
// its possible faults. The tests of the store adapter in platform/ use it.
package storesim

import (
	"encoding/base64"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Row is one row in its JSON form on the wire. Table, Part (the partition of the
// table) and Key identify it.
type Row struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	// Value is encoded in base64.
	Value string `json:"value,omitempty"`
	// Version is the version of the store that last changed the row. In an
	// expectation, 0 means that the row must not exist.
	Version int64 `json:"ver"`
	// Deleted marks the deletion of the row in a list of changes.
	Deleted bool `json:"tombstone,omitempty"`
}

func (r Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// tables holds the contents of the store. It is safe for concurrent use.
type tables struct {
	mu sync.Mutex
	// version counts the transactions that were applied.
	version int64
	// rows are keyed by Row.id.
	rows map[string]Row
	// history holds the changes in ascending order of version, one entry for each
	// row that a transaction set or deleted.
	history []Row
	// trimmedVersion is the newest version that the history no longer covers.
	trimmedVersion int64
	// changed is closed and replaced at each change, which wakes the waiting feeds.
	changed chan struct{}
	// blobs are the stored objects by name.
	blobs map[string][]byte
	// era counts the restores, from 1 on.
	era int64
	// clockOrigin is when the store's steady clock showed 0.
	clockOrigin time.Time
}

// clockStart is what the store's clock shows at its start and after a restore.
const clockStart = time.Hour

func newTables() *tables {
	return &tables{rows: map[string]Row{}, changed: make(chan struct{}), blobs: map[string][]byte{}, era: 1, clockOrigin: time.Now().Add(-clockStart)}
}

// transaction is the body of a rows-tx call. It is applied only if each row in
// Expect has the given version.
type transaction struct {
	Expect []Row `json:"expect"`
	Set    []Row `json:"set_keys"`
	Delete []Row `json:"delete"`
}

// apply applies a transaction atomically. If an expectation does not hold, it
// changes nothing, returns false, and returns the current rows of all
// expectations as the conflict.
func (t *tables) apply(tx transaction) (version int64, conflict []Row, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok = true
	for _, e := range tx.Expect {
		current := t.rows[e.id()]
		ok = ok && current.Version == e.Version
		if current.Version != 0 {
			conflict = append(conflict, current)
		}
	}
	if !ok {
		return t.version, conflict, false
	}
	t.version++
	for _, r := range tx.Set {
		r.Version = t.version
		t.rows[r.id()] = r
		t.history = append(t.history, r)
	}
	for _, r := range tx.Delete {
		if _, exists := t.rows[r.id()]; exists {
			delete(t.rows, r.id())
			t.history = append(t.history, Row{Table: r.Table, Part: r.Part, Key: r.Key, Version: t.version, Deleted: true})
		}
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return t.version, nil, true
}

// list returns up to limit rows of one part with keys in [from, to), in the order
// of their keys, and whether there are more. An empty to means no upper bound.
func (t *tables) list(table, part, from, to string, limit int) (rows []Row, more bool, version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rows {
		if r.Table == table && r.Part == part && r.Key >= from && (to == "" || r.Key < to) {
			rows = append(rows, r)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	if len(rows) > limit {
		return rows[:limit], true, t.version
	}
	return rows, false, t.version
}

// parts returns the parts of a table whose names are greater than after, in
// ascending order.
func (t *tables) parts(table, after string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for _, r := range t.rows {
		if r.Table == table && r.Part > after {
			found[r.Part] = true
		}
	}
	parts := make([]string, 0, len(found))
	for part := range found {
		parts = append(parts, part)
	}
	slices.Sort(parts)
	return parts
}

// changesAfter returns the changes of a table after a version. It waits up to the
// given time for the first one. gone reports that the history no longer reaches
// back to that version, or that the store does not have it.
func (t *tables) changesAfter(table string, after int64, wait time.Duration) (rows []Row, version int64, gone bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		if after < t.trimmedVersion || after > t.version {
			t.mu.Unlock()
			return nil, 0, true
		}
		for _, r := range t.history {
			if r.Table == table && r.Version > after {
				rows = append(rows, r)
			}
		}
		version, changed := t.version, t.changed
		t.mu.Unlock()
		if len(rows) > 0 {
			return rows, version, false
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, version, false
		}
	}
}

// dropHistory drops the history up to the current version.
func (t *tables) dropHistory() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.trimmedVersion = nil, t.version
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *tables) currentEra() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// now returns what the steady clock shows.
func (t *tables) now() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Since(t.clockOrigin)
}

// tablesCopy is the contents of the store at one moment.
type tablesCopy struct {
	version, trimmedVersion int64
	rows                    map[string]Row
	history                 []Row
	blobs                   map[string][]byte
}

func (t *tables) copy() *tablesCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &tablesCopy{
		version: t.version, trimmedVersion: t.trimmedVersion, rows: maps.Clone(t.rows), history: slices.Clone(t.history),
		blobs: maps.Clone(t.blobs),
	}
}

// restore replaces the contents by a copy and begins a new era. Waiting feeds
// check again whether their version exists.
func (t *tables) restore(c *tablesCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version, t.trimmedVersion, t.rows = c.version, c.trimmedVersion, maps.Clone(c.rows)
	t.history, t.blobs = slices.Clone(c.history), maps.Clone(c.blobs)
	t.era++
	t.clockOrigin = time.Now().Add(-clockStart)
	close(t.changed)
	t.changed = make(chan struct{})
}

func encodeBase64(value []byte) string { return base64.StdEncoding.EncodeToString(value) }
