package memory

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Operation names the operation that a fault is chosen for.
type Operation string

// The operations of the three ports.
const (
	TableGet    Operation = "table.get"
	TablePut    Operation = "table.put"
	TableDelete Operation = "table.delete"
	ObjectGet   Operation = "object.get"
	ObjectPut   Operation = "object.put"
	InstanceGet Operation = "instances.list"
)

// IsWrite tells whether the operation changes state.
func (o Operation) IsWrite() bool {
	return strings.HasSuffix(string(o), ".put") || o == TableDelete
}

// Fault is what happens to one call. The zero value is no fault.
type Fault struct {
	// Down fails the call at once without an effect.
	Down bool
	// Delay passes before the call takes effect. If the context ends first,
	// the call fails without an effect.
	Delay time.Duration
	// LoseBefore fails a write without an effect.
	LoseBefore bool
	// LoseAfter fails a call after it took effect.
	LoseAfter bool
}

// Plan chooses the fault of each call. Calls to Next are serialised in the
// order of the operations.
type Plan interface {
	Next(op Operation) Fault
}

// Step is one entry of a Script.
type Step struct {
	// Operation restricts the step to one operation; empty matches every one.
	Operation Operation
	Fault     Fault
}

// Script is a plan that gives out its steps in order. A step waits until a
// call matches it; calls that do not match the first step, and calls after
// the last step, have no fault.
type Script struct{ Steps []Step }

// Next removes and returns the first step if it matches op.
func (s *Script) Next(op Operation) Fault {
	if len(s.Steps) == 0 {
		return Fault{}
	}
	step := s.Steps[0]
	if step.Operation != "" && step.Operation != op {
		return Fault{}
	}
	s.Steps = s.Steps[1:]
	return step.Fault
}

// Rates are the probabilities of a Seeded plan, each in [0, 1].
type Rates struct {
	Down       float64
	LoseBefore float64
	LoseAfter  float64
	// Slow is the probability of a delay, which is uniform in [0, MaxDelay).
	Slow     float64
	MaxDelay time.Duration
}

// Seeded is a plan that draws faults from a seeded source.
type Seeded struct {
	rates  Rates
	source *rand.Rand
}

// NewSeeded returns a plan; equal seeds give equal faults for equal sequences
// of operations.
func NewSeeded(seed uint64, rates Rates) *Seeded {
	return &Seeded{rates: rates, source: rand.New(rand.NewPCG(seed, 0))}
}

// Next draws the fault of one call. It draws the same count of numbers for
// every call, so that one rate does not shift the draws of another.
func (s *Seeded) Next(op Operation) Fault {
	down, before, after := s.source.Float64(), s.source.Float64(), s.source.Float64()
	slow, part := s.source.Float64(), s.source.Float64()
	fault := Fault{
		Down:       down < s.rates.Down,
		LoseBefore: op.IsWrite() && before < s.rates.LoseBefore,
		LoseAfter:  op.IsWrite() && after < s.rates.LoseAfter,
	}
	if slow < s.rates.Slow {
		fault.Delay = time.Duration(part * float64(s.rates.MaxDelay))
	}
	return fault
}
