package memory

import (
	"math/rand/v2"
	"strings"
	"time"
)

// Operation names an operation of the table, the object store or the instance list.
type Operation string

// The operations that a Plan chooses faults for.
const (
	TableGet      Operation = "table.get"
	TablePut      Operation = "table.put"
	TableDelete   Operation = "table.delete"
	ObjectGet     Operation = "object.get"
	ObjectPut     Operation = "object.put"
	InstancesList Operation = "instances.list"
)

// IsWrite reports whether the operation changes state.
func (o Operation) IsWrite() bool {
	return strings.HasSuffix(string(o), ".put") || o == TableDelete
}

// Fault describes the faults of one call. The zero value is no fault.
type Fault struct {
	// Down fails the call at once without an effect.
	Down bool
	// Delay is the time before the call takes effect. If the context ends first,
	// the call fails without an effect.
	Delay time.Duration
	// LoseRequest fails a call without an effect.
	LoseRequest bool
	// LoseAnswer fails a call after it took effect.
	LoseAnswer bool
}

// Plan chooses the fault of each call. Calls to Next are serialized in the order
// of the operations.
type Plan interface {
	Next(op Operation) Fault
}

// Step is one entry of a ScriptedPlan.
type Step struct {
	// Operation restricts the step to one operation; empty matches all.
	Operation Operation
	Fault     Fault
}

// ScriptedPlan is a plan that applies its steps in order. The first step stays
// until a call matches it; calls that do not match it, and calls after the last
// step, have no fault.
type ScriptedPlan struct{ Steps []Step }

// Next removes and returns the first step if it matches op.
func (s *ScriptedPlan) Next(op Operation) Fault {
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

// Probabilities are the probabilities of the faults of a SeededPlan, each in
// [0, 1]. LoseRequest and LoseAnswer apply to writes only.
type Probabilities struct {
	Down        float64
	LoseRequest float64
	LoseAnswer  float64
	// Delayed is the probability of a delay, which is uniform in [0, MaxDelay).
	Delayed  float64
	MaxDelay time.Duration
}

// SeededPlan is a plan that draws faults from a seeded random source.
type SeededPlan struct {
	probabilities Probabilities
	source        *rand.Rand
}

// NewSeededPlan returns a plan; equal seeds give equal faults for equal sequences
// of operations.
func NewSeededPlan(seed uint64, probabilities Probabilities) *SeededPlan {
	return &SeededPlan{probabilities: probabilities, source: rand.New(rand.NewPCG(seed, 0))}
}

// Next draws the fault of one call. It draws the same number of random values
// for every call, so that changing one probability does not shift the draws for
// another.
func (s *SeededPlan) Next(op Operation) Fault {
	down, loseRequest, loseAnswer := s.source.Float64(), s.source.Float64(), s.source.Float64()
	delayed, delayFraction := s.source.Float64(), s.source.Float64()
	fault := Fault{
		Down:        down < s.probabilities.Down,
		LoseRequest: op.IsWrite() && loseRequest < s.probabilities.LoseRequest,
		LoseAnswer:  op.IsWrite() && loseAnswer < s.probabilities.LoseAnswer,
	}
	if delayed < s.probabilities.Delayed {
		fault.Delay = time.Duration(delayFraction * float64(s.probabilities.MaxDelay))
	}
	return fault
}
