// Package fence decides whether an instance may act on the versions that it
// has applied. It performs no I/O and takes all times as arguments.
package fence

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// DefaultF is the time for which a round trip with a witness counts.
	DefaultF = 2 * time.Second
	// driftDivisor bounds the rate difference of two boot clocks: 1% of F.
	driftDivisor = 100
)

// Versions are the numbers of a configuration and a membership.
type Versions struct{ Config, Membership int64 }

// Newer tells whether v holds a number that is greater than that of o.
func (v Versions) Newer(o Versions) bool {
	return v.Config > o.Config || v.Membership > o.Membership
}

type round struct {
	began    time.Duration
	versions Versions
}

// Fence holds the round trips with the witnesses of one membership. Only Fresh
// and Deadline are safe for concurrent use.
type Fence struct {
	f         time.Duration
	self      string
	witnesses []string
	applied   Versions
	// counted holds the start of the latest round trip of each witness whose
	// answer named no newer version; pending the latest whose answer did.
	counted map[string]time.Duration
	pending map[string]round

	deadline atomic.Int64
}

// New returns a fence that is not fresh. A round trip counts for the time f.
func New(f time.Duration) *Fence {
	return &Fence{f: f, counted: map[string]time.Duration{}, pending: map[string]round{}}
}

// Settle is the time after a delivery until no instance acts on an older
// version: f and the drift of a clock over f.
func Settle(f time.Duration) time.Duration { return f + f/driftDivisor }

// SetMembership replaces the witnesses and the applied versions. Earlier round
// trips with the witnesses count if their answers are not newer than applied.
func (f *Fence) SetMembership(now time.Duration, self string, witnesses []string, applied Versions) {
	f.self, f.applied = self, applied
	f.witnesses = slices.Clone(witnesses)
	for w := range f.counted {
		if !slices.Contains(f.witnesses, w) {
			delete(f.counted, w)
		}
	}
	for w, r := range f.pending {
		switch {
		case !slices.Contains(f.witnesses, w):
			delete(f.pending, w)
		case !r.versions.Newer(applied):
			f.count(w, r.began)
			delete(f.pending, w)
		}
	}
	f.publish(now)
}

// Acknowledge records the answer of a witness to a round trip that began at the
// given boot time. An answer that names a newer version than the applied ones
// counts only once that version has been applied.
func (f *Fence) Acknowledge(now time.Duration, witness string, began time.Duration, versions Versions) {
	if witness == f.self || !slices.Contains(f.witnesses, witness) {
		return
	}
	if versions.Newer(f.applied) {
		if r, ok := f.pending[witness]; !ok || began > r.began {
			f.pending[witness] = round{began: began, versions: versions}
		}
	} else {
		f.count(witness, began)
	}
	f.publish(now)
}

func (f *Fence) count(witness string, began time.Duration) {
	if latest, ok := f.counted[witness]; !ok || began > latest {
		f.counted[witness] = began
	}
}

// Tick renews the answer of this process, which counts for itself as a witness.
func (f *Fence) Tick(now time.Duration) { f.publish(now) }

func (f *Fence) publish(now time.Duration) {
	began := make([]time.Duration, 0, len(f.witnesses))
	for _, w := range f.witnesses {
		if w == f.self {
			began = append(began, now)
		} else if t, ok := f.counted[w]; ok {
			began = append(began, t)
		}
	}
	majority := len(f.witnesses)/2 + 1
	if len(began) < majority {
		f.deadline.Store(0)
		return
	}
	slices.SortFunc(began, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	f.deadline.Store(int64(began[majority-1] + f.f))
}

// Deadline is the boot time at which the fence ends unless further round trips
// succeed; 0 when there has been no majority.
func (f *Fence) Deadline() time.Duration { return time.Duration(f.deadline.Load()) }

// Fresh tells whether the instance may act at this boot time.
func (f *Fence) Fresh(now time.Duration) bool { return now < f.Deadline() }
