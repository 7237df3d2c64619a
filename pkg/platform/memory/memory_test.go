package memory_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/platform"
	"github.com/arbutuslink/arbutuslink/pkg/platform/memory"
)

// Guards against a lost request that takes effect and a lost answer to a call that
// does not.
func TestScriptedLossesHaveTheScriptedEffect(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table := memory.New(memory.Options{Plan: &memory.ScriptedPlan{Steps: []memory.Step{
		{Operation: memory.TablePut, Fault: memory.Fault{LoseRequest: true}},
		{Operation: memory.TablePut, Fault: memory.Fault{LoseAnswer: true}},
	}}}).Table()
	var unavailable *platform.UnavailableError
	var missing *platform.NotFoundError
	is.True(errors.As(table.Put(ctx, "k", platform.Item{"a": "1"}, platform.Condition{}), &unavailable))
	_, err := table.Get(ctx, "k")
	is.True(errors.As(err, &missing))
	is.True(errors.As(table.Put(ctx, "k", platform.Item{"a": "2"}, platform.Condition{}), &unavailable))
	item, err := table.Get(ctx, "k")
	is.NoErr(err)
	is.Equal(item, platform.Item{"a": "2"})
}

// Guards against seeded plans that give different faults for the same seed.
func TestSeededPlanIsReproducible(t *testing.T) {
	is := is.New(t)
	probabilities := memory.Probabilities{Down: 0.2, LoseRequest: 0.3, LoseAnswer: 0.3, Delayed: 0.5, MaxDelay: time.Second}
	a, b := memory.NewSeededPlan(7, probabilities), memory.NewSeededPlan(7, probabilities)
	faulty := 0
	for range 200 {
		fault := a.Next(memory.TablePut)
		is.Equal(fault, b.Next(memory.TablePut))
		if fault != (memory.Fault{}) {
			faulty++
		}
	}
	is.True(faulty > 50 && faulty < 200)
}

// Guards against an instance list that shows a change before the lag has passed.
func TestListLags(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	manual := clock.NewManual(time.Unix(0, 0))
	p := memory.New(memory.Options{Clock: manual, ListLag: 3 * time.Second})
	entry := platform.InstanceListEntry{Address: "127.0.0.1:1", Zone: "a", State: platform.Live}
	p.Register(entry)
	manual.Advance(2 * time.Second)
	list, err := p.Instances().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	manual.Advance(time.Second)
	p.Deregister(entry.Address)
	list, err = p.Instances().List(ctx)
	is.NoErr(err)
	is.Equal(list, []platform.InstanceListEntry{entry})
}
