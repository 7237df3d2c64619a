// Package directory decides which addresses a caller should use.
package directory

import (
	"encoding/binary"
	"encoding/json"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/limit"
)

// Defaults of Options.
const (
	DefaultAddresses = 8
	DefaultLifetime  = 5 * time.Second
)

// Options are the constants of the directory.
type Options struct {
	// Params tell who issues a team's tokens; the limiter uses the same.
	Params limit.Params
	// Addresses bounds the answer; 0 means DefaultAddresses.
	Addresses int
	// Lifetime is how long a caller may use an answer; 0 means DefaultLifetime.
	Lifetime time.Duration
}

// State is what the answering instance knows of itself.
type State struct {
	Fresh   bool
	Leaving bool
}

// Answer is the answer to a caller.
type Answer struct {
	// Version is the version of the membership that the answer follows from.
	Version    int64 `json:"version"`
	LifetimeMS int64 `json:"lifetime_ms"`
	// Preferred is the number of leading addresses over which a caller spreads
	// its requests; the rest is for failures. It is 0 only without addresses.
	Preferred int      `json:"preferred"`
	Addresses []string `json:"addresses"`
}

// EncodeError says that an answer has no JSON form.
type EncodeError struct{ Cause error }

// Error gives the cause.
func (e *EncodeError) Error() string { return "directory answer cannot be encoded: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *EncodeError) Unwrap() error { return e.Cause }

// JSON encodes the answer. Errors are *EncodeError.
func (a Answer) JSON() ([]byte, error) {
	data, err := json.Marshal(a)
	if err != nil {
		return nil, errors.WithStack(&EncodeError{Cause: err})
	}
	return data, nil
}

// Answer lists addresses for one caller of the team: the preferred issuers of
// the team's tokens first, then the other issuers, then other instances, and
// within each group the zone of the answering instance first. The caller is any
// text that differs between callers, such as the remote address; equal callers
// get equal answers.
func (o Options) Answer(v *control.View, team, caller string, s State) Answer {
	limitOf, lifetime := o.Addresses, o.Lifetime
	if limitOf <= 0 {
		limitOf = DefaultAddresses
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	ranked := o.candidates(v, team, caller, s)
	ranked = ranked[:min(limitOf, len(ranked))]
	answer := Answer{Version: v.Membership.Version, LifetimeMS: lifetime.Milliseconds(), Addresses: []string{}}
	for _, c := range ranked {
		answer.Addresses = append(answer.Addresses, c.address)
		if c.group <= preferredOtherZone {
			answer.Preferred++
		}
	}
	if answer.Preferred == 0 && len(ranked) > 0 {
		answer.Preferred = 1
	}
	return answer
}

// candidate is a member with its place in the order.
type candidate struct {
	address string
	group   int
	score   uint64
}

// Groups in the order of preference. Each group of another zone follows that of
// the own zone.
const (
	preferredSameZone = iota
	preferredOtherZone
	issuerSameZone
	issuerOtherZone
	otherSameZone
	otherOtherZone
)

func (o Options) candidates(v *control.View, team, caller string, s State) []candidate {
	limits := v.Config.Config.Teams[team]
	groups := map[string]int{}
	for n, m := range o.Params.Issuers(v.Membership, team, limits) {
		groups[m.Incarnation] = issuerSameZone
		if n < o.Params.PreferredIssuerCount(limits) {
			groups[m.Incarnation] = preferredSameZone
		}
	}
	key := xxhash.Sum64String(team + "\x00" + caller)
	result := make([]candidate, 0, len(v.Membership.Members))
	for _, m := range v.Membership.Members {
		self := m.Incarnation == v.Self.Incarnation
		if self && (!s.Fresh || s.Leaving) {
			continue
		}
		group, issuer := groups[m.Incarnation]
		if !issuer {
			group = otherSameZone
		}
		if m.Zone != v.Self.Zone {
			group++
		}
		result = append(result, candidate{address: m.CallerAddress, group: group, score: score(key, m.Incarnation)})
	}
	sort.Slice(result, func(i, j int) bool {
		a, b := result[i], result[j]
		if a.group != b.group {
			return a.group < b.group
		}
		if a.score != b.score {
			return a.score > b.score
		}
		return a.address < b.address
	})
	return result
}

// score spreads callers over the members of a group by rendezvous hashing.
func score(key uint64, incarnation string) uint64 {
	buffer := binary.BigEndian.AppendUint64(make([]byte, 0, 64), key)
	return xxhash.Sum64(append(buffer, incarnation...))
}
