package quarantine

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// keepInterval is the time between two looks for what has to be written, and the
	// longest pause before a failed read of the store is repeated.
	keepInterval = time.Second
	// storeTimeout bounds one call to the store.
	storeTimeout = 2 * time.Second
	// maxRecordsPerWrite bounds one write.
	maxRecordsPerWrite = 40
	// lateWriteTime is the time after which the store no longer performs a write that got no
	// answer; it does so within seconds.
	lateWriteTime = 10 * time.Second
)

// Record is what the store holds of a request in quarantine. One that is no longer in
// quarantine has a suspicion without crashes; the store drops it.
type Record struct {
	Digest Digest
	Suspicion
}

// Store holds the requests in quarantine, so that they outlive the loss of all instances.
type Store interface {
	ReadQuarantine(ctx context.Context) ([]Record, error)
	WriteQuarantine(ctx context.Context, records []Record) error
}

// Keeper keeps the requests in quarantine in a store. The owner of a request writes it.
type Keeper struct {
	List  *List
	Store Store
	Clock clock.Clock
	Log   *zerolog.Logger
	// Empty says that the store holds none, as when the whole fleet starts for the first
	// time.
	Empty bool
	// unanswered holds when writes of requests failed, as time since boot: the store may perform
	// them after later ones, so that these requests are written once more.
	unanswered map[Digest]time.Duration
}

// Run reads what the store holds and writes changes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	for loaded := k.Empty; ; {
		if !loaded {
			loaded = k.load(ctx)
		}
		k.write(ctx)
		if err := k.Clock.Sleep(ctx, keepInterval-rand.N(keepInterval/4)); err != nil {
			return errors.WithStack(err)
		}
	}
}

// load applies what the store holds, and reports whether it could be read.
func (k *Keeper) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, err := k.Store.ReadQuarantine(ctx)
	if err != nil {
		event.QuarantineNotKept.Log(k.Log).Err(err).Str("call", "read").Send()
		return false
	}
	k.List.restore(records)
	return true
}

// write writes what this instance is responsible for and the store may lack.
func (k *Keeper) write(ctx context.Context) {
	now := k.Clock.SinceBoot()
	for d, failedAt := range k.unanswered {
		if now-failedAt >= lateWriteTime {
			delete(k.unanswered, d)
			k.List.writeAgain(d)
		}
	}
	records := append(k.List.expire(), k.List.unwritten()...)
	if len(records) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := k.Store.WriteQuarantine(ctx, records); err != nil {
		event.QuarantineNotKept.Log(k.Log).Err(err).Str("call", "write").Int("requests", len(records)).Send()
		if k.unanswered == nil {
			k.unanswered = map[Digest]time.Duration{}
		}
		for _, r := range records {
			k.unanswered[r.Digest] = now
		}
		return
	}
	k.List.written(records)
}

// restore applies the records of the store.
func (l *List) restore(records []Record) {
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if l.raise(r.Digest, r.Suspicion, now, now, "store") {
			l.find(r.Digest, now).unwritten = false
		}
	}
}

// record returns what the store should hold of a request.
func (e *entry) record() Record {
	if e.quarantined() {
		return Record{e.digest, e.Suspicion}
	}
	return Record{Digest: e.digest}
}

// expire drops the requests that have not come for forgetAfter. It returns those that
// this instance has to remove from the store.
func (l *List) expire() []Record {
	if l.Empty() {
		return nil
	}
	now := l.clock.SinceBoot()
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for d, el := range l.entries {
		e := el.Value.(*entry)
		if now-e.seenAt < forgetAfter || len(records) == maxRecordsPerWrite {
			continue
		}
		if e.quarantined() && l.owns(e) {
			records = append(records, Record{Digest: d})
		}
		l.remove(el)
	}
	return records
}

// unwritten returns what this instance has to write into the store.
func (l *List) unwritten() []Record {
	if l.Empty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var records []Record
	for el := l.recent.Front(); el != nil && len(records) < maxRecordsPerWrite; el = el.Next() {
		if e := el.Value.(*entry); e.unwritten && l.owns(e) {
			records = append(records, e.record())
		}
	}
	return records
}

// written marks records that the store holds now.
func (l *List) written(records []Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range records {
		if el := l.entries[r.Digest]; el != nil && el.Value.(*entry).record() == r {
			el.Value.(*entry).unwritten = false
		}
	}
}

// writeAgain makes the owner write one request once more, or remove it if it is no longer in
// quarantine.
func (l *List) writeAgain(d Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if el := l.entries[d]; el != nil {
		el.Value.(*entry).unwritten = true
	}
}

// WriteAgain makes the owners write all requests in quarantine once more: the store may
// have lost them.
func (l *List) WriteAgain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, el := range l.entries {
		e := el.Value.(*entry)
		e.unwritten = e.unwritten || e.quarantined()
	}
}
