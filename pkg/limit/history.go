package limit

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// unsettled is the settling time of a generation as long as it is not known.
const unsettled = time.Duration(-1)

// maxGenerations bounds the history, except that generations that still count
// are kept beyond it. Older generations are kept up to this number so that a
// pool that is created on first use starts with the tokens that it would hold by
// now.
const maxGenerations = 32

// generation is a pair of configuration and membership version that this
// instance has applied, or a gap between such pairs.
type generation struct {
	// seenAt is when this instance applied the pair.
	seenAt time.Duration
	// settledAt is the time from which no instance acts on an older generation
	// and no loan made under an older generation can be spent.
	settledAt time.Duration
	// config is the version of the configuration.
	config     int64
	membership *membership.Membership
	// gap marks a generation that stands for versions that this instance did not
	// see. The instance's share under it is 0, since the versions may have given
	// its share to others.
	gap bool
	// formerLimits holds the previous limits of the teams whose limits this
	// generation changed.
	formerLimits map[string]config.Team
}

// History is the sequence of versions from which an instance's share follows. An
// older version counts until a newer one has settled, and the lowest value of
// all versions that count applies: a decrease of a share applies at once, an
// increase only after settling. It is not safe for concurrent use.
type History struct {
	self   string
	params Params
	// gens holds the generations, oldest first.
	gens []generation
	// teams holds the newest limits of all teams.
	teams map[string]config.Team

	disabled disabled
}

// NewHistory returns the empty history of the incarnation self.
func NewHistory(self string, params Params) *History {
	return &History{self: self, params: params}
}

// Observe records the view at the time now. It is cheap for a view that was
// recorded before.
func (h *History) Observe(now time.Duration, v *control.View) {
	if v.Membership == nil || v.Config == nil {
		return
	}
	if len(h.gens) == 0 {
		h.gens = append(h.gens, generation{seenAt: now, settledAt: unsettled, membership: v.Membership, gap: true})
		h.appendGeneration(now, v.Config, v.Membership, nil)
	} else if last := h.gens[len(h.gens)-1]; v.Config.Version > last.config || v.Membership.Version > last.membership.Version {
		h.observeChange(now, v, last)
	}
	if self := v.Self.Incarnation; self != "" && self != h.self {
		h.rejoin(now, self, v)
	}
	last := &h.gens[len(h.gens)-1]
	if v.DeliveredAt != 0 && last.settledAt == unsettled {
		last.settledAt = v.DeliveredAt + h.params.SettlingTime
	}
	h.trim(now)
}

// observeChange appends the generations from last to the newer view v: the
// membership in between if the view names it, and a gap if versions were missed.
func (h *History) observeChange(now time.Duration, v *control.View, last generation) {
	from := last.membership.Version
	if p := v.PreviousMembership; p != nil && p.Version == from+1 && v.Membership.Version == from+2 {
		h.settleReplaced(now)
		h.gens = append(h.gens, generation{seenAt: now, settledAt: unsettled, config: last.config, membership: p})
		from = p.Version
	}
	h.settleReplaced(now)
	// The number of issuers depends on the configured burst, so a configuration
	// that was not seen may have had other issuers.
	missed := v.Membership.Version > from+1 || v.Config.Version > last.config+1
	if missed && !h.disabled.gap {
		h.gens = append(h.gens, generation{seenAt: now, settledAt: unsettled, config: last.config, membership: v.Membership, gap: true})
	}
	var formerLimits map[string]config.Team
	if v.Config.Version != last.config {
		formerLimits = changedLimits(h.teams, v.Config.Config.Teams)
	}
	h.appendGeneration(now, v.Config, v.Membership, formerLimits)
}

// rejoin adopts the new incarnation of this process after its removal. Others
// may hold its former share by now, so it issues nothing until a version that it
// saw under the new incarnation has settled.
func (h *History) rejoin(now time.Duration, self string, v *control.View) {
	h.self = self
	h.gens = append(h.gens, generation{seenAt: now, settledAt: unsettled, config: v.Config.Version, membership: v.Membership, gap: true})
	h.appendGeneration(now, v.Config, v.Membership, nil)
}

// settleReplaced sets the settling time of the last generation before a newer
// one is appended. Versions are serial: a newer version exists only if the one
// before it has been delivered.
func (h *History) settleReplaced(now time.Duration) {
	last := &h.gens[len(h.gens)-1]
	if last.settledAt == unsettled && !last.gap {
		last.settledAt = now + h.params.SettlingTime
	}
}

func (h *History) appendGeneration(now time.Duration, c *config.Snapshot, m *membership.Membership, formerLimits map[string]config.Team) {
	h.teams = c.Config.Teams
	h.gens = append(h.gens, generation{seenAt: now, settledAt: unsettled, config: c.Version, membership: m, formerLimits: formerLimits})
}

// changedLimits returns the old limits of the teams that differ in next. The old
// limits of a new team are zero.
func changedLimits(old, next map[string]config.Team) map[string]config.Team {
	formerLimits := map[string]config.Team{}
	for id, t := range old {
		if next[id] != t {
			formerLimits[id] = t
		}
	}
	for id := range next {
		if _, ok := old[id]; !ok {
			formerLimits[id] = config.Team{}
		}
	}
	return formerLimits
}

// trim removes generations that do not count any more if there are more than
// maxGenerations.
func (h *History) trim(now time.Duration) {
	baseIndex := h.baseIndex(now)
	if excess := len(h.gens) - maxGenerations; excess > 0 && baseIndex > 0 {
		h.gens = append([]generation(nil), h.gens[min(baseIndex, excess):]...)
	}
}

// baseIndex is the index of the oldest generation that counts at the time t: the
// newest one that has settled, or 0 if none has.
func (h *History) baseIndex(t time.Duration) int {
	for i := len(h.gens) - 1; i > 0; i-- {
		if g := h.gens[i]; g.settledAt != unsettled && g.settledAt <= t && g.seenAt <= t {
			return i
		}
	}
	return 0
}

// start is the time from which the history is known.
func (h *History) start() time.Duration { return h.gens[0].seenAt }

func (h *History) newestMembership() *membership.Membership { return h.gens[len(h.gens)-1].membership }

// issuersByVersion caches the issuers of one team by membership version.
type issuersByVersion map[int64][]membership.Member

// issuers returns the team's issuers under the membership m and the team's
// limits.
func (h *History) issuers(team string, cache issuersByVersion, m *membership.Membership, limits config.Team) []membership.Member {
	if ranked, ok := cache[m.Version]; ok {
		return ranked[:min(len(ranked), h.params.issuerCount(limits))]
	}
	for version := range cache {
		if version < h.gens[0].membership.Version {
			delete(cache, version)
		}
	}
	cache[m.Version] = m.RankAcrossZones(team, h.params.MaxIssuers)
	return h.issuers(team, cache, m, limits)
}

// shareDivisor returns the number of the team's issuers in the generation g if
// this instance is one of them, and 0 otherwise.
func (h *History) shareDivisor(team string, cache issuersByVersion, g *generation, limits config.Team) int64 {
	if g.gap {
		return 0
	}
	issuers := h.issuers(team, cache, g.membership, limits)
	for _, m := range issuers {
		if m.Incarnation == h.self {
			return int64(len(issuers))
		}
	}
	return 0
}

// share returns this instance's share of the team's limits at the time t and the
// next time at which it may change.
func (h *History) share(team string, cache issuersByVersion, t time.Duration) (Share, time.Duration) {
	next := time.Duration(1<<63 - 1)
	newest := 0
	for i := range h.gens {
		g := &h.gens[i]
		if g.seenAt <= t {
			newest = i
		} else {
			next = min(next, g.seenAt)
		}
		if g.settledAt > t {
			next = min(next, g.settledAt)
		}
	}
	limits := h.teams[team]
	if h.disabled.olderVersions {
		return shareOf(limits, h.shareDivisor(team, cache, &h.gens[len(h.gens)-1], limits)), next
	}
	baseIndex := h.baseIndex(t)
	var result Share
	for i := len(h.gens) - 1; i >= baseIndex; i-- {
		g := &h.gens[i]
		if i <= newest {
			s := shareOf(limits, h.shareDivisor(team, cache, g, limits))
			if i < newest {
				s = result.minimum(s)
			}
			result = s
		}
		if old, ok := g.formerLimits[team]; ok {
			limits = old
		}
	}
	return result, next
}
