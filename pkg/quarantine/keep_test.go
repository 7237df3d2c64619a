package quarantine

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// memoryStore is a Store that fails on demand.
type memoryStore struct {
	rows   map[Digest]Suspicion
	failed error
	writes int
}

func (s *memoryStore) ReadQuarantine(context.Context) (records []Record, err error) {
	for d, suspicion := range s.rows {
		records = append(records, Record{d, suspicion})
	}
	return records, s.failed
}

func (s *memoryStore) WriteQuarantine(_ context.Context, records []Record) error {
	s.writes++
	if s.failed != nil {
		return s.failed
	}
	for _, r := range records {
		if r.Crashes == 0 {
			delete(s.rows, r.Digest)
		} else {
			s.rows[r.Digest] = r.Suspicion
		}
	}
	return nil
}

func newTestKeeper(s *memoryStore) *Keeper {
	l, c := newTestList()
	log := zerolog.Nop()
	return &Keeper{List: l, Store: s, Clock: c, Log: &log}
}

// Guards against a quarantine that is not written after an outage or a restore of the store,
// that is written again and again, or that outlives its end there.
func TestKeeperWritesChangesOnce(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &memoryStore{rows: map[Digest]Suspicion{}, failed: errors.New("down")}
	k := newTestKeeper(s)
	crash(k.List, digest(1))
	known, _, _ := k.List.Admit(digest(1))
	crash(k.List, digest(1))
	k.write(ctx)
	is.Equal(s.writes, 0) // suspects are not kept
	crash(k.List, digest(1))
	k.write(ctx)
	s.failed = nil
	k.write(ctx)
	k.write(ctx)
	is.Equal(s.writes, 2)
	is.Equal(s.rows, map[Digest]Suspicion{digest(1): {Crashes: maxCrashes}})
	clear(s.rows)
	k.List.WriteAgain()
	k.write(ctx)
	is.Equal(len(s.rows), 1)
	next := newTestKeeper(s)
	is.True(next.load(ctx))
	is.True(quarantined(next.List, digest(1)))
	next.write(ctx)
	is.Equal(s.writes, 3) // what was read is not written
	k.List.RecordSuccess(digest(1), known)
	crash(k.List, digest(1))
	k.write(ctx)
	k.write(ctx)
	is.Equal(len(s.rows), 0)
	is.Equal(s.writes, 4)
}

// Guards against rows that stay in the store although the request never comes again, and
// against writes by instances that are not responsible.
func TestKeeperForgets(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &memoryStore{rows: map[Digest]Suspicion{digest(1): {Crashes: maxCrashes}}}
	k, other := newTestKeeper(s), newTestKeeper(s)
	other.List.Owns = func(Digest) bool { return false }
	for _, keeper := range []*Keeper{other, k} {
		is.True(keeper.load(ctx))
		keeper.Clock.(interface{ Advance(time.Duration) }).Advance(forgetAfter)
		keeper.write(ctx)
		is.True(keeper.List.Empty())
		is.Equal(len(s.rows) == 0, keeper == k)
	}
}

// Guards against a write without an answer that the store performs after a later one, which leaves
// an older state there for all instances that start.
func TestWriteThatIsPerformedLateIsRepaired(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := &memoryStore{rows: map[Digest]Suspicion{}, failed: errors.New("no answer")}
	l, c := newTestList()
	log := zerolog.Nop()
	k := &Keeper{List: l, Store: s, Clock: c, Log: &log}
	for range maxCrashes {
		crash(l, digest(1))
	}
	k.write(ctx)
	late := Suspicion{Crashes: maxCrashes}
	s.failed = nil
	crash(l, digest(1))
	k.write(ctx)
	s.rows[digest(1)] = late
	c.Advance(lateWriteTime)
	k.write(ctx)
	is.Equal(s.rows[digest(1)], Suspicion{Crashes: maxCrashes + 1})
	writes := s.writes
	c.Advance(lateWriteTime)
	k.write(ctx)
	is.Equal(s.writes, writes) // once is enough
}
