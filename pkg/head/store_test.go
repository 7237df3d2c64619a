package head

import (
	"context"
	"maps"
	"testing"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// fakeTable is a table. The answers of the next lostAnswers writes are lost
// after the write took effect; afterLostAnswer runs after each of these, before
// the retry.
type fakeTable struct {
	item            platform.Item
	lostAnswers     int
	afterLostAnswer func()
}

func (f *fakeTable) Get(context.Context, string) (platform.Item, error) {
	if f.item == nil {
		return nil, &platform.NotFoundError{Name: rowKey}
	}
	return maps.Clone(f.item), nil
}

func (f *fakeTable) Put(_ context.Context, _ string, item platform.Item, c platform.Condition) error {
	if (c.Absent && f.item != nil) || (!c.Absent && f.item[c.Attribute] != c.Equals) {
		return &platform.ConditionError{Name: rowKey}
	}
	f.item = maps.Clone(item)
	if f.lostAnswers > 0 {
		f.lostAnswers--
		if f.afterLostAnswer != nil {
			f.afterLostAnswer()
		}
		return &platform.UnavailableError{Operation: "put", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (f *fakeTable) Delete(context.Context, string, platform.Condition) error { return nil }

type fakeObjects map[string][]byte

func (o fakeObjects) Get(_ context.Context, name string) ([]byte, error) { return o[name], nil }

func (o fakeObjects) Put(_ context.Context, name string, data []byte) error {
	o[name] = data
	return nil
}

func configChange(operation string) Change {
	return Change{Operation: operation, Config: []byte("{}"), Metadata: Metadata{Author: operation}}
}

func newStore() (*Store, *fakeTable) {
	f := &fakeTable{}
	return NewStore(f, fakeObjects{}, clock.System{}), f
}

// Guards against a write on top of an undelivered change, and against a change
// of an outdated version being merged or refused without the current version.
func TestProposeRefusals(t *testing.T) {
	is := is.New(t)
	s, _ := newStore()
	ctx := t.Context()
	base, err := s.Read(ctx)
	is.NoErr(err)
	first, err := s.Propose(ctx, base, configChange("a"))
	is.NoErr(err)
	var undelivered *UndeliveredError
	_, err = s.Propose(ctx, first, configChange("b"))
	is.True(errors.As(err, &undelivered))
	var stale *StaleError
	_, err = s.Propose(ctx, base, configChange("b"))
	is.True(errors.As(err, &stale))
	is.Equal(*stale, StaleError{Expected: 0, Current: 1})
	delivered, err := s.MarkDelivered(ctx, first)
	is.NoErr(err)
	member := &membership.Membership{Version: 1}
	joined, err := s.Propose(ctx, delivered, Change{Operation: "c", Membership: member})
	is.NoErr(err)
	_, err = s.Propose(ctx, delivered, configChange("d"))
	is.True(errors.As(err, &undelivered))
	_, err = s.MarkDelivered(ctx, joined)
	is.NoErr(err)
	var conflict *ConflictError
	_, err = s.Propose(ctx, delivered, configChange("d"))
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Row.MembershipVersion, int64(1))
}

// Guards against a writer whose answer was lost taking its own write for that
// of another, also when later changes were written before it read the row
// again.
func TestLostAnswerIsRecognised(t *testing.T) {
	for _, later := range []int{0, 1, 3} {
		is := is.New(t)
		s, f := newStore()
		ctx := t.Context()
		f.lostAnswers = 1
		f.afterLostAnswer = func() {
			for i := range later {
				row, err := s.Read(ctx)
				is.NoErr(err)
				row, err = s.MarkDelivered(ctx, row)
				is.NoErr(err)
				_, err = s.Propose(ctx, row, configChange(string(rune('b'+i))))
				is.NoErr(err)
			}
		}
		row, err := s.Propose(ctx, Row{Delivered: true}, configChange("a"))
		is.NoErr(err)
		is.Equal(row.ConfigVersion, int64(1+later))
		history, err := s.History(ctx, row, 10)
		is.NoErr(err)
		is.Equal(history[later].Author, "a")
		// Another change with the same base is not taken for that of a.
		_, err = s.Propose(ctx, Row{Delivered: true}, configChange("z"))
		var stale *StaleError
		is.True(errors.As(err, &stale))
	}
}

// Guards against a write on top of a row that another writer has given the same revision
// after a restore of the table.
func TestRevisionGivenOutAgainIsNotOverwritten(t *testing.T) {
	is := is.New(t)
	s, table := newStore()
	ctx := t.Context()
	base, err := s.Read(ctx)
	is.NoErr(err)
	lost, err := s.Propose(ctx, base, configChange("a"))
	is.NoErr(err)
	table.item = nil
	current, err := s.Propose(ctx, base, configChange("b"))
	is.NoErr(err)
	is.Equal(current.Revision, lost.Revision)
	marked, err := s.MarkDelivered(ctx, lost)
	is.NoErr(err)
	is.Equal(marked, current)
}
