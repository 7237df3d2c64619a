// Package memory implements the interfaces of pkg/platform in memory, with
// injected faults. It is meant for tests and for the platform simulator.
package memory

import (
	"bytes"
	"context"
	"maps"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/lab/lagged"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
)

// InjectedError is the cause of an UnavailableError that an injected fault produced.
type InjectedError struct {
	// Fault is "down", "lost before effect" or "lost after effect".
	Fault string
}

// Error names the fault.
func (e *InjectedError) Error() string { return "injected fault: " + e.Fault }

// Options configure a Platform.
type Options struct {
	// Clock is used for delays and the lag of the instance list; nil means the system
	// clock.
	Clock clock.Clock
	// Plan chooses the faults; nil injects none.
	Plan Plan
	// ListLag is the initial lag of the instance list.
	ListLag time.Duration
}

// Platform holds the state of the table, the object store and the instance
// list. It is safe for concurrent use.
type Platform struct {
	clock clock.Clock

	mu   sync.Mutex
	plan Plan
	// down and delay apply to every call in addition to the plan.
	down      bool
	delay     time.Duration
	listLag   time.Duration
	tableRows map[string]platform.Item
	objects   map[string][]byte
	// instances holds the current entries of the instance list by address.
	instances map[string]platform.InstanceListEntry
	// listHistory holds the instance list over time, for reads that lag.
	listHistory lagged.Value[[]platform.InstanceListEntry]
}

// New returns an empty platform.
func New(o Options) *Platform {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return &Platform{
		clock: o.Clock, plan: o.Plan, listLag: o.ListLag,
		tableRows: map[string]platform.Item{}, objects: map[string][]byte{},
		instances: map[string]platform.InstanceListEntry{},
	}
}

// Table returns the table.
func (p *Platform) Table() platform.Table { return table{p} }

// Objects returns the object store.
func (p *Platform) Objects() platform.ObjectStore { return objects{p} }

// Instances returns the instance list.
func (p *Platform) Instances() platform.InstanceList { return instances{p} }

// SetPlan replaces the plan; nil injects no planned faults.
func (p *Platform) SetPlan(plan Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.plan = plan
}

// SetDown makes every call fail without an effect, in addition to the plan.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetDelay delays every call, in addition to the plan.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = delay
}

// SetListLag sets the lag of the instance list.
func (p *Platform) SetListLag(listLag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = listLag
}

// Copy is a copy of the table and the object store at one time.
type Copy struct {
	tableRows map[string]platform.Item
	objects   map[string][]byte
}

// Copy returns a copy of the table and the object store.
func (p *Platform) Copy() Copy {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Copy{maps.Clone(p.tableRows), maps.Clone(p.objects)}
}

// Restore replaces the table by that of a copy, and the object store too if objects is
// set: what was written since is gone.
func (p *Platform) Restore(from Copy, objects bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tableRows = maps.Clone(from.tableRows)
	if objects {
		p.objects = maps.Clone(from.objects)
	}
}

// Register adds the entry to the instance list, or replaces the one with the same
// address.
func (p *Platform) Register(entry platform.InstanceListEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[entry.Address] = entry
	p.recordListHistory()
}

// Deregister removes the entry with the address from the instance list, if there
// is one.
func (p *Platform) Deregister(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, address)
	p.recordListHistory()
}

// recordListHistory adds the current instance list to listHistory; the caller
// holds p.mu.
func (p *Platform) recordListHistory() {
	list := make([]platform.InstanceListEntry, 0, len(p.instances))
	for _, entry := range p.instances {
		list = append(list, entry)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Address < list[j].Address })
	p.listHistory.Set(p.clock.SinceBoot(), list)
}

// call runs the effect of one operation, with p.mu held, unless a fault prevents
// it, and returns the error of the effect or of the fault.
func (p *Platform) call(ctx context.Context, op Operation, effect func() error) error {
	fault := p.nextFault(op)
	if fault.Delay > 0 {
		if err := p.clock.Sleep(ctx, fault.Delay); err != nil {
			return unavailable(op, err)
		}
	}
	if err := ctx.Err(); err != nil {
		return unavailable(op, err)
	}
	if fault.Down {
		return unavailable(op, &InjectedError{"down"})
	}
	if fault.LoseRequest {
		return unavailable(op, &InjectedError{"lost before effect"})
	}
	p.mu.Lock()
	err := effect()
	p.mu.Unlock()
	if fault.LoseAnswer {
		return unavailable(op, &InjectedError{"lost after effect"})
	}
	return err
}

// nextFault returns the planned fault of the next call combined with those set by
// SetDown and SetDelay.
func (p *Platform) nextFault(op Operation) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	var fault Fault
	if p.plan != nil {
		fault = p.plan.Next(op)
	}
	fault.Down = fault.Down || p.down
	fault.Delay += p.delay
	return fault
}

func unavailable(op Operation, cause error) error {
	return errors.WithStack(&platform.UnavailableError{Operation: string(op), Cause: cause})
}

// conditionHolds reports whether the condition holds for a row; exists
// reports whether there is one.
func conditionHolds(row platform.Item, exists bool, cond platform.Condition) bool {
	switch {
	case cond.Absent:
		return !exists
	case cond.Attribute == "":
		return true
	default:
		value, present := row[cond.Attribute]
		return exists && present && value == cond.Equals
	}
}

// table implements platform.Table.
type table struct{ p *Platform }

// Get returns a copy of the row.
func (t table) Get(ctx context.Context, key string) (platform.Item, error) {
	var item platform.Item
	err := t.p.call(ctx, TableGet, func() error {
		row, exists := t.p.tableRows[key]
		if !exists {
			return errors.WithStack(&platform.NotFoundError{Name: key})
		}
		item = maps.Clone(row)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return item, nil
}

// Put replaces the row if the condition holds.
func (t table) Put(ctx context.Context, key string, item platform.Item, cond platform.Condition) error {
	return t.p.call(ctx, TablePut, func() error {
		row, exists := t.p.tableRows[key]
		if !conditionHolds(row, exists, cond) {
			return errors.WithStack(&platform.ConditionError{Name: key})
		}
		stored := platform.Item{}
		maps.Copy(stored, item)
		t.p.tableRows[key] = stored
		return nil
	})
}

// Delete removes the row if the condition holds. Without a condition, a
// missing row is no error.
func (t table) Delete(ctx context.Context, key string, cond platform.Condition) error {
	return t.p.call(ctx, TableDelete, func() error {
		row, exists := t.p.tableRows[key]
		if !conditionHolds(row, exists, cond) {
			return errors.WithStack(&platform.ConditionError{Name: key})
		}
		delete(t.p.tableRows, key)
		return nil
	})
}

// objects implements platform.ObjectStore.
type objects struct{ p *Platform }

// Get returns a copy of the object.
func (o objects) Get(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	err := o.p.call(ctx, ObjectGet, func() error {
		stored, exists := o.p.objects[name]
		if !exists {
			return errors.WithStack(&platform.NotFoundError{Name: name})
		}
		data = bytes.Clone(stored)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return data, nil
}

// Put stores the object if the name is free.
func (o objects) Put(ctx context.Context, name string, data []byte) error {
	return o.p.call(ctx, ObjectPut, func() error {
		if _, exists := o.p.objects[name]; exists {
			return errors.WithStack(&platform.ConditionError{Name: name})
		}
		o.p.objects[name] = append([]byte{}, data...)
		return nil
	})
}

// instances implements platform.InstanceList.
type instances struct{ p *Platform }

// List returns the list as it was listLag ago, sorted by address.
func (i instances) List(ctx context.Context) ([]platform.InstanceListEntry, error) {
	var list []platform.InstanceListEntry
	err := i.p.call(ctx, InstancesList, func() error {
		past := i.p.listHistory.At(i.p.clock.SinceBoot() - i.p.listLag)
		list = append([]platform.InstanceListEntry{}, past...)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return list, nil
}
