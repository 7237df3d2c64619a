// Package fence decides whether an instance may act on the configuration and
// membership versions that it has applied: it may while a majority of the
// witnesses has recently confirmed that it knows no newer version. The package
// performs no I/O and takes all times as arguments, as time since boot.
package fence

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"
)

const (
	// DefaultValidity is how long a confirmation by a witness is valid, counted
	// from the start of the round trip.
	DefaultValidity = 2 * time.Second
	// driftDivisor bounds the rate difference of two boot clocks: 1% of the
	// validity time.
	driftDivisor = 100
)

// Versions are the version numbers of a configuration and a membership.
type Versions struct{ Config, Membership int64 }

// NewerThan reports whether at least one number of v is greater than that of o.
func (v Versions) NewerThan(o Versions) bool {
	return v.Config > o.Config || v.Membership > o.Membership
}

// roundTrip is an exchange with a witness: when it started and which versions
// the reply named.
type roundTrip struct {
	startedAt time.Duration
	versions  Versions
}

// Fence tracks the round trips with the witnesses of one membership. Only Valid
// and Deadline are safe for concurrent use.
type Fence struct {
	validity time.Duration
	// self is the incarnation of this process; witnesses are those of the
	// applied membership.
	self      string
	witnesses []string
	applied   Versions
	// confirmed holds, by witness, the start of the latest round trip whose
	// reply named no newer version than applied; pending holds the latest round
	// trip whose reply named a newer one.
	confirmed map[string]time.Duration
	pending   map[string]roundTrip

	deadline atomic.Int64
}

// New returns a fence that is not valid yet. A round trip counts for the given
// validity.
func New(validity time.Duration) *Fence {
	return &Fence{validity: validity, confirmed: map[string]time.Duration{}, pending: map[string]roundTrip{}}
}

// SettleTime is the time after a delivery until no instance acts on an older
// version: the validity plus the clock drift during it.
func SettleTime(validity time.Duration) time.Duration { return validity + validity/driftDivisor }

// SetMembership replaces the witnesses and the applied versions. Earlier round
// trips with the new witnesses count if their replies named no newer versions
// than applied.
func (f *Fence) SetMembership(now time.Duration, self string, witnesses []string, applied Versions) {
	f.self, f.applied = self, applied
	f.witnesses = slices.Clone(witnesses)
	for w := range f.confirmed {
		if !slices.Contains(f.witnesses, w) {
			delete(f.confirmed, w)
		}
	}
	for w, r := range f.pending {
		switch {
		case !slices.Contains(f.witnesses, w):
			delete(f.pending, w)
		case !r.versions.NewerThan(applied):
			f.confirm(w, r.startedAt)
			delete(f.pending, w)
		}
	}
	f.updateDeadline(now)
}

// RecordReply records the reply of a witness to a round trip that started at
// the given time since boot. A reply that names a newer version than the
// applied ones counts only once that version has been applied.
func (f *Fence) RecordReply(now time.Duration, witness string, startedAt time.Duration, versions Versions) {
	if witness == f.self || !slices.Contains(f.witnesses, witness) {
		return
	}
	if versions.NewerThan(f.applied) {
		if r, ok := f.pending[witness]; !ok || startedAt > r.startedAt {
			f.pending[witness] = roundTrip{startedAt: startedAt, versions: versions}
		}
	} else {
		f.confirm(witness, startedAt)
	}
	f.updateDeadline(now)
}

func (f *Fence) confirm(witness string, startedAt time.Duration) {
	if latest, ok := f.confirmed[witness]; !ok || startedAt > latest {
		f.confirmed[witness] = startedAt
	}
}

// Renew must be called regularly by a process that is a witness itself: each
// call renews its own confirmation.
func (f *Fence) Renew(now time.Duration) { f.updateDeadline(now) }

// updateDeadline sets the deadline to the time since boot until which
// confirmations of a majority of the witnesses stay valid.
func (f *Fence) updateDeadline(now time.Duration) {
	starts := make([]time.Duration, 0, len(f.witnesses))
	for _, w := range f.witnesses {
		if w == f.self {
			starts = append(starts, now)
		} else if t, ok := f.confirmed[w]; ok {
			starts = append(starts, t)
		}
	}
	majority := len(f.witnesses)/2 + 1
	if len(starts) < majority {
		f.deadline.Store(0)
		return
	}
	slices.SortFunc(starts, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	f.deadline.Store(int64(starts[majority-1] + f.validity))
}

// Deadline is the time since boot at which the fence stops being valid unless
// further round trips succeed; 0 when no majority of the witnesses has
// confirmed.
func (f *Fence) Deadline() time.Duration { return time.Duration(f.deadline.Load()) }

// Valid reports whether the instance may act on the applied versions at this
// time since boot.
func (f *Fence) Valid(now time.Duration) bool { return now < f.Deadline() }
