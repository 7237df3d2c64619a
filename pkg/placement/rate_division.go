package placement

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/arbutuslink/arbutuslink/pkg/fleet"
)

const (
	// maxHolderShare is the greatest share of a holder.
	maxHolderShare = 0.75
	// maxRateSharers bounds the other instances that have a share. Each of them may save
	// up one request: with more of them, these alone would exceed a low rate at once.
	maxRateSharers = 3
)

// rateDivision is how the instances divide the rate that a target names. The holder has most
// of it: the instance that prefers the target, or one that would, had it not lost its paths.
// A few other instances of the zone divide the rest, so that a request that arrives where no
// share is left can often go to another target.
type rateDivision struct {
	holder      fleet.Member
	holderShare float64
	sharers     []fleet.Member
}

// share returns an instance's share of the rate, from 0 to 1.
func (d *rateDivision) share(m fleet.Member) float64 {
	switch {
	case m.Instance == d.holder.Instance:
		return d.holderShare
	case slices.Contains(d.sharers, m):
		return (1 - d.holderShare) / float64(len(d.sharers))
	default:
		return 0
	}
}

// divideRates divides the rates of a zone's targets, which are preferred by owners, one for
// each. busy are the zone's instances with callers, sharing those that may have shares. The
// load that it answers are callers that come to all busy instances alike, while all targets
// name rates: where there are fewer targets than these instances, the parts are even.
func divideRates(v *fleet.View, busy, sharing, owners []fleet.Member) []rateDivision {
	divisions := make([]rateDivision, len(owners))
	idle := slices.Clone(busy)
	for number, owner := range owners {
		holder := rateHolder(v, busy, owner, number)
		divisions[number] = rateDivision{holder: holder, holderShare: maxHolderShare}
		idle = slices.DeleteFunc(idle, func(m fleet.Member) bool { return m.Instance == holder.Instance })
	}
	few := len(owners) < len(busy) && len(idle) > 0
	for number := range divisions {
		d := &divisions[number]
		switch {
		case few && len(busy) <= maxRateSharers+1:
			d.sharers = rateSharers(busy, d.holder, 0)
			d.holderShare = 1 / float64(len(busy))
		case few:
			// Only those that hold no rate share, so that each of them has as much as a holder.
			d.sharers = rateSharers(idle, d.holder, number*maxRateSharers)
			served := min(len(idle), len(owners)*maxRateSharers)
			d.holderShare = min(maxHolderShare, float64(len(owners))/float64(len(owners)+served))
		default:
			d.sharers = rateSharers(sharing, d.holder, number)
		}
		if len(d.sharers) == 0 {
			d.holderShare = 1
		}
	}
	return divisions
}

// rateHolder returns the holder of the rate of the target with the given number in its zone.
// An instance that has lost its paths owns no target, but its callers stay for a while, and it
// serves them through others: of the targets that it would own, it keeps the rate.
func rateHolder(v *fleet.View, busy []fleet.Member, owner fleet.Member, number int) fleet.Member {
	if len(busy) > 0 {
		if m := busy[number%len(busy)]; v.Detached[m.Instance] {
			return m
		}
	}
	return owner
}

// maxColdHolders is the number of instances that share the rate of a cold target. Each may save
// up one request and have two at once on the way, so that three of them stay within the bound
// of a rate of 4.5 requests per second, 14 in a second, also if all of these arrive together.
const maxColdHolders = 3

// coldShares are this instance's shares, from 0 to 1, of the rate of a cold target.
type coldShares struct {
	// known is the share at a target that is known to be cold.
	known float64
	// unsure is the share while this instance cannot know which targets are cold.
	unsure float64
}

// divideColdRate returns this instance's shares of the rate of a cold target. Unlike a rate that a
// target names, this one has to hold in each second and also between instances that do not hear
// each other. It answers for any demand, of which it takes no account: the holders are the first
// maxColdHolders of the zone's serving instances in an order of the target's own. Instances from
// which nothing is received come first in it. Of instances that knew each other before they were
// separated, only those that were holders then are holders afterwards, however many others begin
// to serve on either side. One that may be cut off from everything itself keeps to its place
// before the separation. An even part of a fixed number is left unused where there are fewer
// holders.
func divideColdRate(v *fleet.View, zone, target string) coldShares {
	size, anyZone := v.ZoneSizes[zone], false
	if size == 0 {
		// A zone without instances: those of all zones count.
		anyZone = true
		for _, n := range v.ZoneSizes {
			size += n
		}
	}
	if size == 0 || (!anyZone && zone != v.Self.Zone) {
		return coldShares{}
	}
	own := coldRank(v.Self, target)
	silent, silentBefore, before := 0, 0, 0
	for _, m := range v.Silent {
		if anyZone || m.Zone == zone {
			silent++
			if coldRank(m, target) < own {
				silentBefore++
			}
		}
	}
	for _, m := range v.Peers {
		if (anyZone || m.Zone == zone) && m.Instance != v.Self.Instance && coldRank(m, target) < own {
			before++
		}
	}
	var shares coldShares
	part := 1 / float64(min(size, maxColdHolders))
	if v.Settled && silent+before < maxColdHolders {
		shares.known = part
	}
	if silentBefore+before < maxColdHolders {
		shares.unsure = part
	}
	return shares
}

// coldRank returns the place of an instance in the order of a target (rendezvous hashing): an
// instance that begins or ceases to serve changes at most one holder.
func coldRank(m fleet.Member, target string) uint64 {
	return xxhash.Sum64String(m.Instance + " " + target)
}

// rateSharers returns up to maxRateSharers of some instances other than the holder, from the
// given number on.
func rateSharers(instances []fleet.Member, holder fleet.Member, first int) []fleet.Member {
	var sharers []fleet.Member
	for k := range instances {
		if m := instances[(first+k)%len(instances)]; m != holder && len(sharers) < maxRateSharers {
			sharers = append(sharers, m)
		}
	}
	return sharers
}
