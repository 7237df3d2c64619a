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

// Guards against lost answers whose effect is not the scripted one.
func TestScriptedLossesHaveTheScriptedEffect(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	table := memory.New(memory.Options{Plan: &memory.Script{Steps: []memory.Step{
		{Operation: memory.TablePut, Fault: memory.Fault{LoseBefore: true}},
		{Operation: memory.TablePut, Fault: memory.Fault{LoseAfter: true}},
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

// Guards against seeded plans that differ between runs.
func TestSeededPlanIsReproducible(t *testing.T) {
	is := is.New(t)
	rates := memory.Rates{Down: 0.2, LoseBefore: 0.3, LoseAfter: 0.3, Slow: 0.5, MaxDelay: time.Second}
	a, b := memory.NewSeeded(7, rates), memory.NewSeeded(7, rates)
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

// Guards against a list that is current although it should lag.
func TestListLags(t *testing.T) {
	is, ctx := is.New(t), context.Background()
	manual := clock.NewManual(time.Unix(0, 0))
	p := memory.New(memory.Options{Clock: manual, ListLag: 3 * time.Second})
	entry := platform.Listed{Address: "127.0.0.1:1", Zone: "a", State: platform.Live}
	p.Register(entry)
	manual.Advance(2 * time.Second)
	list, err := p.Instances().List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	manual.Advance(time.Second)
	p.Deregister(entry.Address)
	list, err = p.Instances().List(ctx)
	is.NoErr(err)
	is.Equal(list, []platform.Listed{entry})
}
