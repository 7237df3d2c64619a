// Package limit admits requests within the rate and burst of each team, counted
// over all instances. Some instances are the issuers of a team: each mints an
// equal share of the team's tokens. The other instances borrow minted tokens
// from them.
//
// Pool and History are pure logic: they perform no I/O and take the time as an
// argument. Limiter connects them to the clock, the view and the other
// instances.
package limit
