package fleet

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

// Audience is a group of receivers of a heartbeat. It determines which state of
// the StateExchangers a heartbeat carries, because each receiver gets only what it
// needs.
type Audience int

const (
	// SameZonePeers are the other serving instances of the sender's zone.
	SameZonePeers Audience = iota
	// OtherZonePeers are the serving instances of other zones.
	OtherZonePeers
	// Standbys are the standbys of the sender's zone, which may get requests.
	Standbys
	// IdentityOnly are all other receivers: standbys of other zones, instances that
	// are contacted for the first time, and all receivers of a standby that has no
	// state to send. They receive only the fields that describe the sender.
	IdentityOnly
)

// Serving reports whether the receivers are serving instances.
func (a Audience) Serving() bool { return a == SameZonePeers || a == OtherZonePeers }

// step updates the view and sends the heartbeats that are due.
func (f *Fleet) step() { f.stepWithPush(onlyDue) }

// pushScope selects the members that get a heartbeat before it is due.
type pushScope int

const (
	onlyDue pushScope = iota
	// alsoStandbys adds the standbys of the own zone; alsoPeers adds these and all
	// serving instances.
	alsoStandbys
	alsoPeers
)

// stepWithPush is step that also sends heartbeats early to the members in scope.
func (f *Fleet) stepWithPush(scope pushScope) {
	if f.OnStep != nil {
		f.OnStep()
	}
	now := f.Clock.SinceBoot()
	f.mu.Lock()
	f.updateView(now)
	serving := f.View().Serving
	announce := serving != f.announcedServing
	f.announcedServing = serving
	// An instance that served until recently still gets requests from callers that
	// know its address, so it goes on reporting what it admits.
	sendsState := serving || f.Rate() >= minStateRate || (f.HasNews != nil && f.HasNews())
	var addresses [IdentityOnly + 1][]string
	for _, k := range f.list {
		interval, send := f.interval(k, sendsState, now)
		to := f.audience(k, sendsState)
		pushed := (to == Standbys && scope >= alsoStandbys) || (to.Serving() && scope == alsoPeers)
		due := send && (now-k.lastSent >= interval-checkInterval/2 || (pushed && interval != slowInterval))
		if !announce && !due {
			continue
		}
		k.lastSent = now
		addresses[to] = append(addresses[to], k.GossipAddress)
	}
	f.mu.Unlock()
	for to, list := range addresses {
		f.sendAll(list, Audience(to))
	}
	f.askContacts(now)
}

// audience returns the audience that k belongs to. A standby that has admitted
// nothing lately has no state to send.
func (f *Fleet) audience(k *memberState, sendsState bool) Audience {
	sameZone := k.Zone == f.Self.Zone
	switch {
	case sendsState && k.serving && sameZone:
		return SameZonePeers
	case sendsState && k.serving:
		return OtherZonePeers
	case sendsState && sameZone:
		return Standbys
	default:
		return IdentityOnly
	}
}

// interval returns the time between heartbeats to k, and whether it gets any:
// instances with state to send send to all members, other standbys only to the
// serving instances of their zone.
func (f *Fleet) interval(k *memberState, sendsState bool, now time.Duration) (time.Duration, bool) {
	sameZone := k.Zone == f.Self.Zone
	switch {
	case !sendsState && (!sameZone || !k.serving):
		return 0, false
	case now-k.lastReceived >= unresponsiveTimeout || (!sameZone && !k.serving):
		return slowInterval, true
	case sendsState && k.serving && sameZone:
		return sameZoneInterval, true
	case sendsState && k.serving:
		return otherZoneInterval, true
	default:
		return standbyInterval, true
	}
}

func (f *Fleet) sendAll(addresses []string, to Audience) {
	if len(addresses) == 0 {
		return
	}
	data := f.encode(f.heartbeat(to))
	for _, address := range addresses {
		f.Transport.Send(address, data)
	}
}

// heartbeat builds a heartbeat for an audience.
func (f *Fleet) heartbeat(to Audience) *peerpb.Heartbeat {
	view := f.View()
	h := &peerpb.Heartbeat{
		Instance: f.Self.Instance, Incarnation: f.Self.Incarnation, Zone: f.Self.Zone,
		CallerAddress: f.Self.CallerAddress, GossipAddress: f.Self.GossipAddress, Capacity: f.Self.Capacity,
		Serving: view.Serving, Leaving: f.leaving.Load(), Rate: float32(f.Rate()), Quiet: view.Quiet[f.Self.Instance], PathsLost: f.pathsLost(),
	}
	stamp(h, f.StoreClock, f.Clock.SinceBoot())
	h.AsksForPaths = f.AsksForPaths != nil && f.AsksForPaths()
	if f.ConnectedAt != nil {
		if at := f.ConnectedAt(); at > 0 {
			age := uint32((f.Clock.SinceBoot() - at).Milliseconds())
			h.ConnectedAgeMs = &age
		}
	}
	if to == IdentityOnly {
		return h
	}
	for _, x := range f.StateExchangers {
		x.Fill(h, to)
	}
	return h
}

func (f *Fleet) encode(h *peerpb.Heartbeat) []byte {
	data, err := proto.Marshal(h)
	if err != nil {
		// Only invalid UTF-8 fails, and all names were checked when they were read.
		event.DatagramRejected.Log(f.Log).Err(err).Send()
	}
	return data
}
