package fleet

const (
	// firstRanksPart is the part of a zone's share of a constant that its first members in
	// rank have together. They serve unless one of them fails, and need most of it.
	firstRanksPart = 0.9
	// fixedShareMargin is the fraction of a constant that all fixed shares add up to. The
	// rest covers an instance that others do not know yet: of 12 that serve, one more
	// takes 7%.
	fixedShareMargin = 0.9
)

// fixedShare returns the fraction of a constant that this instance may use alone, with members
// in the given number of zones. The fractions of all instances add up to fixedShareMargin. They
// depend on the known members and on their ranks only, not on who is alive or serves, so they
// hold during partitions and while standbys take over; the share of a silent instance is not
// assigned again. The caller holds mu.
func (f *Fleet) fixedShare(zones int) float64 {
	if !f.rosterRead {
		return 0
	}
	others := f.zoneMembers()
	size, ahead := len(others)+1, 0
	for _, k := range others {
		if compareRank(k, f.self) < 0 {
			ahead++
		}
	}
	zone := fixedShareMargin / float64(zones)
	first := minimumServing(size)
	switch {
	case size <= first:
		return zone / float64(size)
	case ahead < first:
		return zone * firstRanksPart / float64(first)
	default:
		return zone * (1 - firstRanksPart) / float64(size-first)
	}
}
