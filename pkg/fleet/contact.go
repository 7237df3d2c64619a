package fleet

import (
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/event"
)

const (
	// contactInterval is the time between two requests for a heartbeat to an instance in the roster
	// that has not been heard: datagrams may be lost, or a partition may be in the way. After
	// silentReserve it is asked no longer, since processes that crash leave their entries behind.
	contactInterval = slowInterval
	// unheardLogDelay is how long an instance in the roster must have been silent to be logged.
	unheardLogDelay = 5 * time.Second
)

// contact is an entry of the roster whose instance has not been heard since it was found. It is no
// member yet: a restore of the store may bring back the entry of one that has left, and the store
// may write it late.
type contact struct {
	Member
	foundAt, askedAt time.Duration
	logged           bool
}

// contactEntries asks the instances in the roster that have not been heard yet for a heartbeat.
func (f *Fleet) contactEntries(entries []RosterEntry) {
	now := f.Clock.SinceBoot()
	f.mu.Lock()
	for _, e := range entries {
		switch k := f.members[e.Instance]; {
		case e.Removed:
			delete(f.unheard, e.Instance)
		case e.Instance == f.Self.Instance:
		case k != nil && k.heard && k.Incarnation == e.Incarnation:
		default:
			f.unheard[e.Instance] = &contact{Member: e.Member, foundAt: now, askedAt: now - contactInterval}
		}
	}
	f.mu.Unlock()
	f.askContacts(now)
}

// askContacts sends the requests for heartbeats that are due.
func (f *Fleet) askContacts(now time.Duration) {
	var addresses []string
	f.mu.Lock()
	for name, c := range f.unheard {
		age := now - c.foundAt
		switch {
		case age >= silentReserve:
			delete(f.unheard, name)
		case now-c.askedAt >= contactInterval:
			c.askedAt = now
			addresses = append(addresses, c.GossipAddress)
		}
		if age >= unheardLogDelay && !c.logged {
			c.logged = true
			event.MemberUnheard.Log(f.Log).Str("instance", name).Str("address", c.GossipAddress).Send()
		}
	}
	f.mu.Unlock()
	if len(addresses) == 0 {
		return
	}
	hello := f.heartbeat(IdentityOnly)
	hello.Hello = true
	data := f.encode(hello)
	for _, address := range addresses {
		f.Transport.Send(address, data)
	}
}

// RosterState is how the instances that this one knows compare to the roster. Dumps show it as JSON.
type RosterState struct {
	// Known is the number of instances from which heartbeats came, this one included, Unheard
	// that of the others in the roster.
	Known   int      `json:"known"`
	Unheard []string `json:"unheard"`
	// EntryLosses counts how often the own entry was missing in the roster or not the own one,
	// since the start of the process.
	EntryLosses int64 `json:"entry_losses"`
}

// RosterState returns how the instances that this one knows compare to the roster.
func (f *Fleet) RosterState() RosterState {
	f.mu.Lock()
	defer f.mu.Unlock()
	state := RosterState{Known: 1, EntryLosses: f.entryLosses.Load()}
	for _, k := range f.list {
		if k.heard {
			state.Known++
		}
	}
	for name := range f.unheard {
		state.Unheard = append(state.Unheard, name)
	}
	slices.Sort(state.Unheard)
	return state
}
