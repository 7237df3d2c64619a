// Package limit admits requests within each team's rate and burst, counted over
// all instances. The issuers of a team each mint a part of its rate; the other
// instances borrow minted tokens. Pool and History are pure and take the time
// as an argument; Limiter connects them to clocks, views and peers.
package limit
