// Package directory decides which addresses a caller should use.
package directory

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// defaultAddresses bounds an answer.
const defaultAddresses = 8

// Options describe the instance that answers.
type Options struct {
	// Usable is false when the instance is not fresh or is leaving; it then
	// lists only others.
	Usable bool
	// K is the number of token issuers per team.
	K        int
	Lifetime time.Duration
	// Max bounds the addresses; 0 means 8.
	Max int
}

// Answer is the reply to a caller.
type Answer struct {
	Version    int64    `json:"version"`
	LifetimeMS int64    `json:"lifetime_ms"`
	Addresses  []string `json:"addresses"`
}

// List returns the addresses for a team: its token issuers first, because they
// admit its requests without a loan, then others; in each group the zone of
// the answering instance comes first. The order within a zone differs by team,
// so that the teams spread over the instances.
func List(v *control.View, team string, o Options) Answer {
	limit := o.Max
	if limit == 0 {
		limit = defaultAddresses
	}
	issuers := v.Membership.RankSpread(team, o.K)
	ordered := zoneFirst(issuers, v.Self.Zone)
	ordered = append(ordered, zoneFirst(v.Membership.Rank(team), v.Self.Zone)...)
	answer := Answer{Version: v.Config.Version, LifetimeMS: o.Lifetime.Milliseconds(), Addresses: []string{}}
	seen := map[string]bool{}
	for _, m := range ordered {
		if len(answer.Addresses) == limit {
			break
		}
		if seen[m.Incarnation] || (!o.Usable && m.Incarnation == v.Self.Incarnation) {
			continue
		}
		seen[m.Incarnation] = true
		answer.Addresses = append(answer.Addresses, m.CallerAddress)
	}
	return answer
}

func zoneFirst(members []membership.Member, zone string) []membership.Member {
	ordered := make([]membership.Member, 0, len(members))
	for _, own := range []bool{true, false} {
		for _, m := range members {
			if (m.Zone == zone) == own {
				ordered = append(ordered, m)
			}
		}
	}
	return ordered
}
