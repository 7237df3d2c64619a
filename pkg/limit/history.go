package limit

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// unsettled marks a version whose settling time is not known yet.
const unsettled = time.Duration(-1)

// maxGenerations bounds the history. Generations that are still needed are
// kept beyond it. More history lets a pool that is created on first use start
// with the tokens that it would hold by now.
const maxGenerations = 32

// generation is one pair of configuration and membership version as this
// instance applied it.
type generation struct {
	seen time.Duration
	// settled is the time from which no instance acts on an older generation
	// and no loan made under an older generation can be spent.
	settled    time.Duration
	config     int64
	membership *membership.Membership
	// gap stands for versions that this instance did not see; its weight is 0.
	gap bool
	// replaced holds the former limits of the teams that this generation changed.
	replaced map[string]config.Team
}

// History is the sequence of versions that decides an instance's share. An
// older version counts until a newer one has settled, and the lowest value of
// all versions that count applies: shares shrink at once and grow late.
// It is not safe for concurrent use.
type History struct {
	self  string
	p     Params
	gens  []generation
	teams map[string]config.Team

	disabled disabled
}

// NewHistory returns the empty history of the incarnation self.
func NewHistory(self string, p Params) *History {
	return &History{self: self, p: p}
}

// Observe records the view at the time now. Calls with a known view cost little.
func (h *History) Observe(now time.Duration, v *control.View) {
	if v.Membership == nil || v.Config == nil {
		return
	}
	if len(h.gens) == 0 {
		h.gens = append(h.gens, generation{seen: now, settled: unsettled, membership: v.Membership, gap: true})
		h.push(now, v.Config, v.Membership, nil)
	} else if last := h.gens[len(h.gens)-1]; v.Config.Version > last.config || v.Membership.Version > last.membership.Version {
		h.change(now, v, last)
	}
	if self := v.Self.Incarnation; self != "" && self != h.self {
		h.rejoin(now, self, v)
	}
	last := &h.gens[len(h.gens)-1]
	if v.DeliveredAt != 0 && last.settled == unsettled {
		last.settled = v.DeliveredAt + h.p.Hold
	}
	h.trim(now)
}

func (h *History) change(now time.Duration, v *control.View, last generation) {
	from := last.membership.Version
	if p := v.PreviousMembership; p != nil && p.Version == from+1 && v.Membership.Version == from+2 {
		h.settleLast(now)
		h.gens = append(h.gens, generation{seen: now, settled: unsettled, config: last.config, membership: p})
		from = p.Version
	}
	h.settleLast(now)
	// The number of issuers follows from the configured burst, so that a
	// configuration that was not seen may have had other issuers.
	missed := v.Membership.Version > from+1 || v.Config.Version > last.config+1
	if missed && !h.disabled.gap {
		h.gens = append(h.gens, generation{seen: now, settled: unsettled, config: last.config, membership: v.Membership, gap: true})
	}
	var replaced map[string]config.Team
	if v.Config.Version != last.config {
		replaced = difference(h.teams, v.Config.Config.Teams)
	}
	h.push(now, v.Config, v.Membership, replaced)
}

// rejoin takes the new incarnation of a process that was removed. Its former
// share may have gone to others by now, so it issues nothing until a version
// that it saw under the new incarnation has settled.
func (h *History) rejoin(now time.Duration, self string, v *control.View) {
	h.self = self
	h.gens = append(h.gens, generation{seen: now, settled: unsettled, config: v.Config.Version, membership: v.Membership, gap: true})
	h.push(now, v.Config, v.Membership, nil)
}

// settleLast uses the serial rule: a newer version exists only if the one
// before it has been delivered.
func (h *History) settleLast(now time.Duration) {
	last := &h.gens[len(h.gens)-1]
	if last.settled == unsettled && !last.gap {
		last.settled = now + h.p.Hold
	}
}

func (h *History) push(now time.Duration, c *config.Snapshot, m *membership.Membership, replaced map[string]config.Team) {
	h.teams = c.Config.Teams
	h.gens = append(h.gens, generation{seen: now, settled: unsettled, config: c.Version, membership: m, replaced: replaced})
}

func difference(old, next map[string]config.Team) map[string]config.Team {
	replaced := map[string]config.Team{}
	for id, t := range old {
		if next[id] != t {
			replaced[id] = t
		}
	}
	for id := range next {
		if _, ok := old[id]; !ok {
			replaced[id] = config.Team{}
		}
	}
	return replaced
}

func (h *History) trim(now time.Duration) {
	base := h.base(now)
	if excess := len(h.gens) - maxGenerations; excess > 0 && base > 0 {
		h.gens = append([]generation(nil), h.gens[min(base, excess):]...)
	}
}

// base is the newest generation that has settled at the time t, or 0.
func (h *History) base(t time.Duration) int {
	for i := len(h.gens) - 1; i > 0; i-- {
		if g := h.gens[i]; g.settled != unsettled && g.settled <= t && g.seen <= t {
			return i
		}
	}
	return 0
}

// start is the time from which the history is known.
func (h *History) start() time.Duration { return h.gens[0].seen }

// current is the newest membership.
func (h *History) current() *membership.Membership { return h.gens[len(h.gens)-1].membership }

// ranks caches the issuers of one team per membership version.
type ranks map[int64][]membership.Member

func (h *History) issuers(team string, cache ranks, m *membership.Membership, limits config.Team) []membership.Member {
	if ranked, ok := cache[m.Version]; ok {
		return ranked[:min(len(ranked), h.p.issuerCount(limits))]
	}
	for version := range cache {
		if version < h.gens[0].membership.Version {
			delete(cache, version)
		}
	}
	cache[m.Version] = m.RankSpread(team, h.p.K)
	return h.issuers(team, cache, m, limits)
}

func (h *History) parts(team string, cache ranks, g *generation, limits config.Team) int64 {
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

// share returns the team's share in force at the time t and the next time at
// which it may change.
func (h *History) share(team string, cache ranks, t time.Duration) (Share, time.Duration) {
	next := time.Duration(1<<63 - 1)
	newest := 0
	for i := range h.gens {
		g := &h.gens[i]
		if g.seen <= t {
			newest = i
		} else {
			next = min(next, g.seen)
		}
		if g.settled > t {
			next = min(next, g.settled)
		}
	}
	limits := h.teams[team]
	if h.disabled.older {
		return shareOf(limits, h.parts(team, cache, &h.gens[len(h.gens)-1], limits)), next
	}
	base := h.base(t)
	var result Share
	for i := len(h.gens) - 1; i >= base; i-- {
		g := &h.gens[i]
		if i <= newest {
			s := shareOf(limits, h.parts(team, cache, g, limits))
			if i < newest {
				s = result.minimum(s)
			}
			result = s
		}
		if old, ok := g.replaced[team]; ok {
			limits = old
		}
	}
	return result, next
}
