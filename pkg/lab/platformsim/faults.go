package platformsim

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// LoseAnswers selects the writes whose connection is closed without a response.
type LoseAnswers struct {
	// Probability is the probability that a write is selected, in [0, 1].
	Probability float64 `json:"probability"`
	// NextWrites is the number of further writes that are selected in any case. It
	// decreases with each of them.
	NextWrites int `json:"next_writes"`
	// BeforeEffect drops the selected writes before they take effect; otherwise
	// they take effect.
	BeforeEffect bool `json:"before_effect"`
	// TableOnly restricts the selection to writes to the table.
	TableOnly bool `json:"table_only"`
}

// Faults are the faults of the simulated platform that can be switched at run
// time.
type Faults struct {
	// Down closes the connection of every request, which then has no effect.
	Down bool `json:"down"`
	// DelayMS delays every request before it takes effect, in milliseconds.
	DelayMS     int         `json:"delay_ms"`
	LoseAnswers LoseAnswers `json:"lose_answers"`
	// ListLagMS is the time after which changes appear in the instance list, in
	// milliseconds.
	ListLagMS int `json:"list_lag_ms"`
}

// FaultsError reports that a field of Faults is out of range.
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

// Stats count the requests since Start by kind. A request is counted when it
// arrives, even if a fault prevents its effect.
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
	// LostAnswers counts the writes that LoseAnswers selected.
	LostAnswers int `json:"lost_answers"`
	// RefusedDown counts the requests that arrived while Down was set.
	RefusedDown int `json:"refused_down"`
}

// requestKind is what a request accesses and how.
type requestKind int

const (
	tableRead requestKind = iota
	tableWrite
	objectRead
	objectWrite
	listRead
	listWrite
	kindCount
)

func (k requestKind) isWrite() bool { return k == tableWrite || k == objectWrite || k == listWrite }

// faultInjector counts requests and selects the faults of each one.
type faultInjector struct {
	mu          sync.Mutex
	faults      Faults
	rng         *rand.Rand
	counts      [kindCount]int
	lostAnswers int
	refusedDown int
}

// requestFaults are the faults of one request.
type requestFaults struct {
	// down closes the connection; the request has no effect.
	down             bool
	delay            time.Duration
	dropBeforeEffect bool
	dropAfterEffect  bool
}

// nextRequest counts a request and returns its faults.
func (i *faultInjector) nextRequest(k requestKind) requestFaults {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.counts[k]++
	if i.faults.Down {
		i.refusedDown++
		return requestFaults{down: true}
	}
	v := requestFaults{delay: time.Duration(i.faults.DelayMS) * time.Millisecond}
	// Responses to list writes are never lost: the lab writes the list, not the
	// system under test.
	if !k.isWrite() || k == listWrite {
		return v
	}
	lose := &i.faults.LoseAnswers
	selected := i.rng.Float64() < lose.Probability
	if lose.TableOnly && k != tableWrite {
		return v
	}
	if lose.NextWrites > 0 {
		lose.NextWrites--
		selected = true
	}
	if selected {
		i.lostAnswers++
		v.dropBeforeEffect, v.dropAfterEffect = lose.BeforeEffect, !lose.BeforeEffect
	}
	return v
}

func (i *faultInjector) stats() Stats {
	i.mu.Lock()
	defer i.mu.Unlock()
	c := i.counts
	return Stats{
		TableReads: c[tableRead], TableWrites: c[tableWrite],
		ObjectReads: c[objectRead], ObjectWrites: c[objectWrite],
		ListReads: c[listRead], ListWrites: c[listWrite],
		Reads:       c[tableRead] + c[objectRead] + c[listRead],
		Writes:      c[tableWrite] + c[objectWrite] + c[listWrite],
		LostAnswers: i.lostAnswers, RefusedDown: i.refusedDown,
	}
}

func (i *faultInjector) get() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

func (i *faultInjector) set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// withFaults serves one request of kind k with handle and applies its faults.
func (s *Server) withFaults(ctx *fasthttp.RequestCtx, k requestKind, handle func(*fasthttp.RequestCtx)) {
	v := s.faultInjector.nextRequest(k)
	if v.delay > 0 {
		if s.clock.Sleep(s.context, v.delay) != nil {
			drop(ctx)
			return
		}
	}
	if v.down || v.dropBeforeEffect {
		drop(ctx)
		return
	}
	handle(ctx)
	if v.dropAfterEffect {
		drop(ctx)
	}
}
