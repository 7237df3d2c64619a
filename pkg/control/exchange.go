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

// broadcast sends a heartbeat to all witnesses of the applied membership and,
// while a change is being delivered, to those of the previous one.
func (c *core) broadcast() {
	c.sendTo(c.cur.membership, nil)
	if !c.cur.row.Delivered {
		c.sendTo(c.cur.previous, c.cur.membership)
	}
}

func (c *core) sendTo(m, except *membership.Membership) {
	for _, w := range m.Witnesses {
		if w == c.self.Incarnation || (except != nil && except.IsWitness(w)) {
			continue
		}
		if witness, ok := m.Find(w); ok {
			c.exchange(witness)
		}
	}
}

func (c *core) exchange(to membership.Member) {
	if c.inFlight[to.Incarnation] >= maxHeartbeatsInFlight {
		return
	}
	c.inFlight[to.Incarnation]++
	began := c.now()
	req := &peerpb.ExchangeRequest{
		From: c.self.Incarnation, To: to.Incarnation, Nonce: rand.Uint64(),
		Versions: versionsMessage(c.cur.row), Address: c.self.PeerAddress,
	}
	transport, timeout := c.o.Transport, c.o.F/2
	c.async(func(ctx context.Context) func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := transport.Exchange(ctx, to.PeerAddress, req)
		return func() {
			c.inFlight[to.Incarnation]--
			if c.inFlight[to.Incarnation] <= 0 {
				delete(c.inFlight, to.Incarnation)
			}
			if err == nil && reply.Nonce == req.Nonce {
				c.onReply(to, began, reply)
			}
		}
	})
}

func (c *core) onReply(from membership.Member, began time.Duration, reply *peerpb.ExchangeReply) {
	now := c.now()
	c.hear(now, reply.Incarnation)
	if processOf(reply.Incarnation) != processOf(from.Incarnation) {
		c.noteReplaced(now, from.Incarnation)
	}
	if reply.Incarnation == from.Incarnation && reply.Witness {
		versions := fence.Versions{Config: reply.Versions.GetConfig(), Membership: reply.Versions.GetMembership()}
		c.fence.RecordReply(now, reply.Incarnation, began, versions)
		c.reports[reply.Incarnation] = unheardReport{at: now, unheard: reply.Unheard}
	}
	c.noteVersions(reply.Incarnation, reply.Versions, from.PeerAddress)
}

func (c *core) hear(now time.Duration, incarnation string) {
	if _, listed := c.since[incarnation]; listed {
		c.heard[incarnation] = now
		// The list, the address or the operator was wrong.
		delete(c.gone, incarnation)
		delete(c.replaced, incarnation)
	}
}

// noteVersions handles the numbers that every message carries.
func (c *core) noteVersions(from string, v *peerpb.Versions, address string) {
	theirs := fence.Versions{Config: v.GetConfig(), Membership: v.GetMembership()}
	if !c.versions().NewerThan(theirs) {
		c.holders[processOf(from)] = true
	}
	switch {
	case theirs.NewerThan(c.versions()):
		c.fetch(membership.Member{Incarnation: from, PeerAddress: address})
	case theirs == c.versions() && v.GetDelivered():
		c.noteRow(v.GetRevision(), true)
	}
	c.checkDelivered()
}

// handleExchange answers a heartbeat.
func (c *core) handleExchange(req *peerpb.ExchangeRequest) *peerpb.ExchangeReply {
	now := c.now()
	c.hear(now, req.From)
	c.noteVersions(req.From, req.Versions, req.Address)
	reply := &peerpb.ExchangeReply{
		Nonce: req.Nonce, Incarnation: c.self.Incarnation, Versions: versionsMessage(c.cur.row),
		Witness: c.isWitness(),
	}
	if reply.Witness {
		reply.Unheard = c.silent
	}
	return reply
}

func (c *core) isWitness() bool {
	return (c.phase == member || c.phase == leaving) && c.cur.membership.IsWitness(c.self.Incarnation)
}

// unheard lists the members that this witness has not heard from in time.
func (c *core) unheard(now time.Duration) []string {
	var silent []string
	for _, m := range c.cur.membership.Members {
		last := max(c.heard[m.Incarnation], c.since[m.Incarnation], c.listenFrom)
		if m.Incarnation != c.self.Incarnation && now-last >= c.o.RemoveAfter {
			silent = append(silent, m.Incarnation)
		}
	}
	return silent
}

// fetch takes the documents that this instance lacks from the sender of a newer
// version, and confirms to the sender that it holds them.
func (c *core) fetch(from membership.Member) {
	if c.fetching || from.PeerAddress == "" || from.PeerAddress == c.self.PeerAddress {
		return
	}
	c.fetching = true
	c.fetchFrom(from.PeerAddress, func(err error) {
		c.fetching = false
		if err == nil {
			c.exchange(from)
		}
	})
}

func (c *core) fetchFrom(address string, done func(error)) {
	base := c.cur
	req := &peerpb.FetchRequest{From: c.self.Incarnation, Versions: versionsMessage(base.row)}
	transport := c.o.Transport
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
				event.ConfigRejected.Log(&c.o.Log).Str("from", address).Err(err).Send()
			} else {
				c.learn(d, false)
			}
			done(err)
		}
	})
}

// askSeeds finds the fleet through the configured addresses while neither the
// platform nor any instance has told of a membership.
func (c *core) askSeeds(now time.Duration) {
	if c.phase != joining || !c.platformKnown || c.platformUp || now < c.nextSeed {
		return
	}
	if c.cur.row.MembershipVersion > 0 {
		c.becomeGuest()
		return
	}
	c.nextSeed = now + c.between(platformRetryLow, platformRetryHigh)
	for _, seed := range c.o.Seeds {
		if seed != c.self.PeerAddress {
			c.fetchFrom(seed, func(error) {})
		}
	}
}

func (c *core) becomeGuest() {
	c.phase = guest
	event.GuestStarted.Log(&c.o.Log).Int64("config", c.versions().Config).Send()
	c.publish()
	c.broadcast()
}

// members returns the members of both memberships, each once.
func (c *core) members() []membership.Member {
	all := slices.Clone(c.cur.membership.Members)
	for _, m := range c.cur.previous.Members {
		if _, ok := c.cur.membership.Find(m.Incarnation); !ok {
			all = append(all, m)
		}
	}
	return all
}
