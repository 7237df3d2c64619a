package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/fence"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// sendHeartbeats sends a heartbeat to all witnesses of the applied membership
// and, while a change is being delivered, to those of the previous one.
func (c *core) sendHeartbeats() {
	c.sendHeartbeatsTo(c.applied.membership, nil)
	if !c.applied.row.Delivered {
		c.sendHeartbeatsTo(c.applied.previous, c.applied.membership)
	}
}

// sendHeartbeatsTo sends a heartbeat to the witnesses of m that are not
// witnesses of except and not this instance.
func (c *core) sendHeartbeatsTo(m, except *membership.Membership) {
	for _, w := range m.Witnesses {
		if w == c.self.Incarnation || (except != nil && except.IsWitness(w)) {
			continue
		}
		if witness, ok := m.Find(w); ok {
			c.sendHeartbeat(witness)
		}
	}
}

// sendHeartbeat sends a heartbeat to a member and handles its reply. It does
// nothing when too many heartbeats to the member are still unanswered.
func (c *core) sendHeartbeat(to membership.Member) {
	if c.heartbeatsInFlight[to.Incarnation] >= maxHeartbeatsInFlight {
		return
	}
	c.heartbeatsInFlight[to.Incarnation]++
	startedAt := c.now()
	req := &peerpb.ExchangeRequest{
		From: c.self.Incarnation, To: to.Incarnation, Nonce: rand.Uint64(),
		Versions: versionsMessage(c.applied.row), Address: c.self.PeerAddress,
	}
	transport, timeout := c.options.Transport, c.options.FenceValidity/2
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := transport.Exchange(ctx, to.PeerAddress, req)
		return func() {
			c.heartbeatsInFlight[to.Incarnation]--
			if c.heartbeatsInFlight[to.Incarnation] <= 0 {
				delete(c.heartbeatsInFlight, to.Incarnation)
			}
			if err == nil && reply.Nonce == req.Nonce {
				c.handleReply(to, startedAt, reply)
			}
		}
	})
}

// handleReply handles the reply to a heartbeat that was sent to the member at
// the given time since boot.
func (c *core) handleReply(from membership.Member, startedAt time.Duration, reply *peerpb.ExchangeReply) {
	now := c.now()
	c.recordReceived(now, reply.Incarnation)
	if processOf(reply.Incarnation) != processOf(from.Incarnation) {
		c.recordReplaced(now, from.Incarnation)
	}
	if reply.Incarnation == from.Incarnation && reply.Witness && !diverges(reply.Versions, c.applied.row) {
		versions := fence.Versions{Config: reply.Versions.GetConfig(), Membership: reply.Versions.GetMembership()}
		c.fence.RecordReply(now, reply.Incarnation, startedAt, versions)
		c.witnessReports[reply.Incarnation] = unresponsiveReport{receivedAt: now, members: reply.Unheard}
	}
	c.handleVersions(reply.Incarnation, reply.Versions, from.PeerAddress)
}

// recordReceived records a message of a member.
func (c *core) recordReceived(now time.Duration, incarnation string) {
	if _, listed := c.listedSince[incarnation]; listed {
		c.lastReceived[incarnation] = now
		// The message shows that the member is running: an earlier conclusion
		// from the instance list or its address, or the operator's declaration,
		// was wrong.
		delete(c.gone, incarnation)
		delete(c.replacedSince, incarnation)
	}
}

// handleVersions handles the version numbers that every message carries: it
// records whether the sender holds the applied versions, fetches newer ones
// from its address, and learns when the applied ones are delivered.
func (c *core) handleVersions(from string, v *peerpb.Versions, address string) {
	theirs := fence.Versions{Config: v.GetConfig(), Membership: v.GetMembership()}
	if diverges(v, c.applied.row) {
		// One of both holds what a restored table has lost; the head row tells which.
		c.nextPollAt = min(c.nextPollAt, c.now()+checkInterval)
	} else if !c.appliedVersions().NewerThan(theirs) {
		c.holders[processOf(from)] = true
	}
	switch {
	case theirs.NewerThan(c.appliedVersions()):
		c.fetchFromSender(membership.Member{Incarnation: from, PeerAddress: address})
	case theirs == c.appliedVersions() && v.GetDelivered() && !diverges(v, c.applied.row):
		c.updateRow(v.GetRevision(), true)
	}
	c.checkDelivered()
}

// handleExchange answers a heartbeat.
func (c *core) handleExchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	now := c.now()
	c.recordReceived(now, req.From)
	c.handleVersions(req.From, req.Versions, req.Address)
	reply := &peerpb.ExchangeReply{
		Nonce: req.Nonce, Incarnation: c.self.Incarnation, Versions: versionsMessage(c.applied.row),
		Witness: c.isWitness(),
	}
	if reply.Witness {
		reply.Unheard = c.unresponsive
	}
	return reply
}

func (c *core) isWitness() bool {
	return (c.phase == phaseMember || c.phase == phaseLeaving) && c.applied.membership.IsWitness(c.self.Incarnation)
}

// unresponsiveMembers lists the members from which this witness has received
// nothing for at least Options.RemoveAfter.
func (c *core) unresponsiveMembers(now time.Duration) []string {
	var unresponsive []string
	for _, m := range c.applied.membership.Members {
		last := max(c.lastReceived[m.Incarnation], c.listedSince[m.Incarnation], c.receivingSince)
		if m.Incarnation != c.self.Incarnation && now-last >= c.options.RemoveAfter {
			unresponsive = append(unresponsive, m.Incarnation)
		}
	}
	return unresponsive
}

// fetchFromSender fetches the documents that this instance lacks from the
// sender of a newer version, and confirms to the sender that it holds them.
func (c *core) fetchFromSender(from membership.Member) {
	if c.fetching || from.PeerAddress == "" || from.PeerAddress == c.self.PeerAddress {
		return
	}
	c.fetching = true
	c.fetchFrom(from.PeerAddress, func(err error) {
		c.fetching = false
		if err == nil {
			c.sendHeartbeat(from)
		}
	})
}

// fetchFrom fetches the documents that this instance lacks from an instance,
// applies them and calls done.
func (c *core) fetchFrom(address string, done func(error)) {
	base := c.applied
	req := &peerpb.FetchRequest{From: c.self.Incarnation, Versions: versionsMessage(base.row)}
	transport := c.options.Transport
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()
		reply, err := transport.Fetch(ctx, address, req)
		if err != nil {
			return func() { done(err) }
		}
		d, err := decodeReply(base, reply)
		return func() {
			if err != nil {
				event.ConfigRejected.Log(&c.options.Log).Str("from", address).Err(err).Send()
			} else {
				c.apply(d, false)
			}
			done(err)
		}
	})
}

// querySeeds fetches the documents from the configured seeds while the platform
// is unavailable and no instance has sent a membership. Once a membership is
// applied, this instance serves as a guest.
func (c *core) querySeeds(now time.Duration) {
	if c.phase != phaseJoining || !c.platformKnown || c.platformUp || now < c.nextSeedQueryAt {
		return
	}
	if c.applied.row.MembershipVersion > 0 {
		c.becomeGuest()
		return
	}
	c.nextSeedQueryAt = now + c.randomBetween(minPlatformRetry, maxPlatformRetry)
	for _, seed := range c.options.Seeds {
		if seed != c.self.PeerAddress {
			c.fetchFrom(seed, func(error) {})
		}
	}
}

func (c *core) becomeGuest() {
	c.phase = phaseGuest
	event.GuestStarted.Log(&c.options.Log).Int64("config", c.appliedVersions().Config).Send()
	c.publishView()
	c.sendHeartbeats()
}

// allMembers returns the members of the applied and the previous membership,
// each once.
func (c *core) allMembers() []membership.Member {
	all := slices.Clone(c.applied.membership.Members)
	for _, m := range c.applied.previous.Members {
		if _, ok := c.applied.membership.Find(m.Incarnation); !ok {
			all = append(all, m)
		}
	}
	return all
}
