// Package directory decides which instances a caller should send its requests to,
// and in which order of preference.
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

// Options configures the answers of the directory.
type Options struct {
	// Params determines the issuers of a team's tokens; the limiter uses the same.
	Params limit.Params
	// Addresses is the maximum number of addresses in an answer; 0 means
	// DefaultAddresses.
	Addresses int
	// Lifetime is how long a caller may use an answer; 0 means DefaultLifetime.
	Lifetime time.Duration
}

// State is the state of the answering instance. It lists itself only if it may serve
// and not leaving.
type State struct {
	MayServe bool // it may serve requests, see control.ServeChecker
	Leaving  bool // its shutdown has begun
}

// Answer is the body of the response to a caller.
type Answer struct {
	// Version is the version of the membership that the answer is based on.
	Version    int64 `json:"version"`
	LifetimeMS int64 `json:"lifetime_ms"`
	// Preferred is the number of leading addresses over which a caller should
	// spread its requests; the others are fallbacks for failures. It is 0 only if
	// there are no addresses.
	Preferred int      `json:"preferred"`
	Addresses []string `json:"addresses"`
}

// EncodeError reports that an answer could not be encoded as JSON.
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

// Answer lists addresses for a caller of the team: first the preferred issuers of
// the team's tokens, then the other issuers, then the other instances, and in each
// of these groups first the instances in the zone of the answering instance. The
// caller may be any string that identifies it, such as its remote address; equal
// strings give equal answers.
func (o Options) Answer(v *control.View, team, caller string, s State) Answer {
	maxAddresses, lifetime := o.Addresses, o.Lifetime
	if maxAddresses <= 0 {
		maxAddresses = DefaultAddresses
	}
	if lifetime <= 0 {
		lifetime = DefaultLifetime
	}
	ranked := o.candidates(v, team, caller, s)
	ranked = ranked[:min(maxAddresses, len(ranked))]
	answer := Answer{Version: v.Membership.Version, LifetimeMS: lifetime.Milliseconds(), Addresses: []string{}}
	for _, c := range ranked {
		answer.Addresses = append(answer.Addresses, c.address)
		if c.group <= preferredIssuerOtherZone {
			answer.Preferred++
		}
	}
	if answer.Preferred == 0 && len(ranked) > 0 {
		answer.Preferred = 1
	}
	return answer
}

// candidate is a member with its sort keys: lower groups come first, and higher
// scores within a group.
type candidate struct {
	address string
	group   int
	score   uint64
}

// Groups in order of preference. Each group of the answering instance's zone is
// followed directly by that of the other zones, so that group+1 is the same group
// in another zone.
const (
	preferredIssuerSameZone = iota
	preferredIssuerOtherZone
	issuerSameZone
	issuerOtherZone
	nonIssuerSameZone
	nonIssuerOtherZone
)

// candidates returns the members in the order in which they are offered to the
// caller.
func (o Options) candidates(v *control.View, team, caller string, s State) []candidate {
	limits := v.Config.Config.Teams[team]
	groups := map[string]int{}
	for n, m := range o.Params.Issuers(v.Membership, team, limits) {
		groups[m.Incarnation] = issuerSameZone
		if n < o.Params.PreferredIssuerCount(limits) {
			groups[m.Incarnation] = preferredIssuerSameZone
		}
	}
	key := xxhash.Sum64String(team + "\x00" + caller)
	result := make([]candidate, 0, len(v.Membership.Members))
	for _, m := range v.Membership.Members {
		self := m.Incarnation == v.Self.Incarnation
		if self && (!s.MayServe || s.Leaving) {
			continue
		}
		group, isIssuer := groups[m.Incarnation]
		if !isIssuer {
			group = nonIssuerSameZone
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

// score is the weight of a member for a caller in rendezvous hashing, which spreads
// the callers over the members of a group.
func score(key uint64, incarnation string) uint64 {
	buffer := binary.BigEndian.AppendUint64(make([]byte, 0, 64), key)
	return xxhash.Sum64(append(buffer, incarnation...))
}
