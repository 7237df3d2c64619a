// Package storesim simulates the row and object store of the users' platform,
// with the faults that it may show, for tests of the adapter in platform/.
package storesim

import (
	"encoding/base64"
	"slices"
	"strings"
	"sync"
	"time"
)

// Row is one row as it travels.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"tombstone,omitempty"`
}

func (r Row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

// tables is the content of the store. It is safe for concurrent use.
type tables struct {
	mu      sync.Mutex
	version int64
	rows    map[string]Row
	// history holds changes in ascending order of version, one per row and change.
	history []Row
	// forgotten is the newest version that the history no longer covers.
	forgotten int64
	// changed is closed and replaced at each change.
	changed chan struct{}
	blobs   map[string][]byte
}

func newTables() *tables {
	return &tables{rows: map[string]Row{}, changed: make(chan struct{}), blobs: map[string][]byte{}}
}

// transaction is the body of a change.
type transaction struct {
	Expect []Row `json:"expect"`
	Set    []Row `json:"set_keys"`
	Delete []Row `json:"delete"`
}

// apply performs a transaction whole or not at all. When an expectation does
// not hold, it returns the current rows of all of them.
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

// list returns the rows of one part in the order of their keys.
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

// parts returns the parts of a table in ascending order.
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

// feed waits for changes of a table after a version. gone says that the
// history no longer reaches back that far.
func (t *tables) feed(table string, after int64, wait time.Duration) (rows []Row, version int64, gone bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		t.mu.Lock()
		if after < t.forgotten {
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

// forget drops the history up to now.
func (t *tables) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history, t.forgotten = nil, t.version
	close(t.changed)
	t.changed = make(chan struct{})
}

func encode(value []byte) string { return base64.StdEncoding.EncodeToString(value) }
