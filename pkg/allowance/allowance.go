// Package allowance divides an allowance, such as a rate, over the instances of a fleet by
// the demand that each of them receives. Every instance computes its own share from the
// demand that all of them reported in their heartbeats; there is no coordinator. It addresses
// demand that is uneven between instances and that moves between them.
//
// While all reports arrive, the shares add up to 1 as exactly as the reports agree: they
// differ by what changed within one heartbeat interval. The share of an instance that is not
// heard from stays reserved for it as it last stated it, so that instances that cannot
// communicate stay within the allowance together.
package allowance

// EvenFraction is the fraction of the unreserved allowance that is divided evenly, so that an
// instance has a share at the moment when it begins to receive demand. With a tenth, an
// instance with 80% of the demand still gets 72% of the allowance and more.
const EvenFraction = 0.1

// Party is another instance as last reported.
type Party struct {
	// Demand is what it received in the last second or so, in the unit of the own demand.
	Demand float64
	// Reserved says that Share stays reserved for it: it is not heard from, or it does not
	// divide by demand. Share is its share as it last stated it.
	Reserved bool
	Share    float64
}

// Share returns the own share of an allowance, from 0 to 1, for the demand that this instance
// last reported and the other instances. parties yields each other instance once.
func Share(demand float64, parties func(yield func(Party) bool)) float64 {
	reserved, total, dividing := 0.0, demand, 1.0
	for p := range parties {
		if p.Reserved {
			reserved += p.Share
			continue
		}
		total += p.Demand
		dividing++
	}
	return max(0, 1-reserved) * ShareOf(demand, total, dividing)
}

// ShareOf returns the share of one among count instances that has demand of a total.
func ShareOf(demand, total, count float64) float64 {
	if total <= 0 {
		return 1 / count
	}
	return EvenFraction/count + (1-EvenFraction)*demand/total
}
