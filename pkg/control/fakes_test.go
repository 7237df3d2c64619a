package control

import (
	"context"
	"maps"
	"sync"

	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/cockroachdb/errors"
)

// fakePlatform is the table, the object store and the instance list. fault is
// called before and after each operation takes effect; if it returns true, the
// request or the answer is lost.
type fakePlatform struct {
	mu      sync.Mutex
	rows    map[string]platform.Item
	objects map[string][]byte
	listed  []platform.InstanceListEntry
	fault   func(operation string, after bool) bool
	// caller is the address of the instance whose operation runs.
	caller string
	reads  int
	writes int
}

func newFakePlatform() *fakePlatform {
	return &fakePlatform{
		rows: map[string]platform.Item{}, objects: map[string][]byte{},
		fault: func(string, bool) bool { return false },
	}
}

func (p *fakePlatform) run(operation string, effect func() error) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost := errors.WithStack(&platform.UnavailableError{Operation: operation, Cause: context.DeadlineExceeded})
	if p.fault(operation, false) {
		return lost
	}
	err := effect()
	if p.fault(operation, true) {
		return lost
	}
	return err
}

type fakeTable struct{ *fakePlatform }

func (p fakeTable) Get(_ context.Context, key string) (item platform.Item, err error) {
	err = p.run("get", func() error {
		p.reads++
		row, ok := p.rows[key]
		if !ok {
			return &platform.NotFoundError{Name: key}
		}
		item = maps.Clone(row)
		return nil
	})
	return item, err
}

func (p fakeTable) Put(_ context.Context, key string, item platform.Item, cond platform.Condition) error {
	return p.run("put", func() error {
		p.writes++
		row, ok := p.rows[key]
		if (cond.Absent && ok) || (!cond.Absent && cond.Attribute != "" && row[cond.Attribute] != cond.Equals) {
			return &platform.ConditionError{Name: key}
		}
		p.rows[key] = maps.Clone(item)
		return nil
	})
}

func (p fakeTable) Delete(context.Context, string, platform.Condition) error { return nil }

type fakeObjects struct{ *fakePlatform }

func (p fakeObjects) Get(_ context.Context, name string) (data []byte, err error) {
	err = p.run("get object", func() error {
		p.reads++
		var ok bool
		if data, ok = p.objects[name]; !ok {
			return &platform.NotFoundError{Name: name}
		}
		return nil
	})
	return data, err
}

func (p fakeObjects) Put(_ context.Context, name string, data []byte) error {
	return p.run("put object", func() error {
		p.writes++
		if _, ok := p.objects[name]; ok {
			return &platform.ConditionError{Name: name}
		}
		p.objects[name] = data
		return nil
	})
}

func (p *fakePlatform) List(context.Context) (listed []platform.InstanceListEntry, err error) {
	err = p.run("list", func() error {
		listed = p.listed
		return nil
	})
	return listed, err
}
