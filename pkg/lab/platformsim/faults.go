package platformsim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// LoseAnswers selects writes whose connection is closed instead of answered.
type LoseAnswers struct {
	// Probability of each write, in [0, 1].
	Probability float64 `json:"probability"`
	// NextWrites counts down with each write that it selects.
	NextWrites int `json:"next_writes"`
	// BeforeEffect drops the selected writes before they take effect; otherwise
	// they take effect.
	BeforeEffect bool `json:"before_effect"`
	// TableOnly selects writes to the table and no others.
	TableOnly bool `json:"table_only"`
}

// Faults are the faults that can be switched at run time.
type Faults struct {
	// Down closes every connection that carries a request, without an effect.
	Down bool `json:"down"`
	// DelayMS delays every request before it takes effect.
	DelayMS     int         `json:"delay_ms"`
	LoseAnswers LoseAnswers `json:"lose_answers"`
	// ListLagMS is the lag of the instance list.
	ListLagMS int `json:"list_lag_ms"`
}

// FaultsError says that a field of Faults is out of range.
type FaultsError struct{ Field string }

// Error names the field.
func (e *FaultsError) Error() string {
	return fmt.Sprintf("platformsim: %s is out of range", e.Field)
}

func (f *Faults) validate() error {
	switch {
	case f.DelayMS < 0:
		return &FaultsError{"delay_ms"}
	case f.ListLagMS < 0:
		return &FaultsError{"list_lag_ms"}
	case f.LoseAnswers.NextWrites < 0:
		return &FaultsError{"lose_answers.next_writes"}
	case f.LoseAnswers.Probability < 0 || f.LoseAnswers.Probability > 1:
		return &FaultsError{"lose_answers.probability"}
	}
	return nil
}

// Stats count the requests since Start by kind. A request counts when it
// arrives, also when a fault prevents its effect.
type Stats struct {
	TableReads   int `json:"table_reads"`
	TableWrites  int `json:"table_writes"`
	ObjectReads  int `json:"object_reads"`
	ObjectWrites int `json:"object_writes"`
	ListReads    int `json:"list_reads"`
	ListWrites   int `json:"list_writes"`
	// Reads and Writes are the sums over the table, the objects and the list.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// LostAnswers counts writes that were not answered because of LoseAnswers.
	LostAnswers int `json:"lost_answers"`
	// RefusedDown counts requests that arrived while Down was set.
	RefusedDown int `json:"refused_down"`
}

type kind int

const (
	tableRead kind = iota
	tableWrite
	objectRead
	objectWrite
	listRead
	listWrite
	kinds
)

func (k kind) isWrite() bool { return k == tableWrite || k == objectWrite || k == listWrite }

// injector chooses the faults of requests and counts requests.
type injector struct {
	mu     sync.Mutex
	faults Faults
	source *rand.Rand
	counts [kinds]int
	lost   int
	downs  int
}

type verdict struct {
	down       bool
	delay      time.Duration
	loseBefore bool
	loseAfter  bool
}

func (i *injector) next(k kind) verdict {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[k]++
	if i.faults.Down {
		i.downs++
		return verdict{down: true}
	}
	v := verdict{delay: time.Duration(i.faults.DelayMS) * time.Millisecond}
	// The list is written by the lab, not by the system under test, so its
	// writes are answered.
	if !k.isWrite() || k == listWrite {
		return v
	}
	lose := &i.faults.LoseAnswers
	selected := i.source.Float64() < lose.Probability
	if lose.TableOnly && k != tableWrite {
		return v
	}
	if lose.NextWrites > 0 {
		lose.NextWrites--
		selected = true
	}
	if selected {
		i.lost++
		v.loseBefore, v.loseAfter = lose.BeforeEffect, !lose.BeforeEffect
	}
	return v
}

func (i *injector) stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.counts
	return Stats{
		TableReads: c[tableRead], TableWrites: c[tableWrite],
		ObjectReads: c[objectRead], ObjectWrites: c[objectWrite],
		ListReads: c[listRead], ListWrites: c[listWrite],
		Reads:       c[tableRead] + c[objectRead] + c[listRead],
		Writes:      c[tableWrite] + c[objectWrite] + c[listWrite],
		LostAnswers: i.lost, RefusedDown: i.downs,
	}
}

func (i *injector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *injector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// around runs handle with the faults of one request of kind k.
func (s *Server) around(ctx *fasthttp.RequestCtx, k kind, handle func(*fasthttp.RequestCtx)) {
	v := s.injector.next(k)
	if v.delay > 0 {
		if s.clock.Sleep(s.context, v.delay) != nil {
			drop(ctx)
			return
		}
	}
	if v.down || v.loseBefore {
		drop(ctx)
		return
	}
	handle(ctx)
	if v.loseAfter {
		drop(ctx)
	}
}
