package fleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
)

const (
	// sameZoneInterval is the time between heartbeats to serving instances of the own
	// zone, otherZoneInterval to those of other zones: traffic between zones is
	// expensive.
	sameZoneInterval  = 250 * time.Millisecond
	otherZoneInterval = 500 * time.Millisecond
	// standbyInterval is the time between heartbeats to the standbys of the own zone,
	// and from a standby to the serving instances of its zone.
	standbyInterval = 500 * time.Millisecond
	// slowInterval is the time between heartbeats to standbys of other zones and to
	// unresponsive instances, which may become reachable again when a network
	// partition ends.
	slowInterval = 3 * time.Second
	// unresponsiveTimeout is the time without a heartbeat after which an instance
	// counts as unresponsive: three lost heartbeats at the slower interval of 500 ms.
	unresponsiveTimeout = 1600 * time.Millisecond
	// otherZoneUnresponsiveTimeout is what a standby uses for the serving instances
	// of other zones, which send to it only every slowInterval.
	otherZoneUnresponsiveTimeout = 3 * slowInterval
	// promotionStep is the delay that a standby adds for each instance ahead of it in
	// rank that may be a standby as well, so that the first in rank takes over alone.
	promotionStep = 150 * time.Millisecond
	// minServing is the minimum number of serving instances of a zone. In larger
	// zones the minimum is one per membersPerServing known members, up to
	// maxMinServing, for traffic that rises faster than standbys are promoted. It is
	// capped because each serving instance sends heartbeats to all standbys of its
	// zone, so that their number would grow with the square of the zone's size.
	minServing        = 3
	membersPerServing = 6
	maxMinServing     = 5
	// checkInterval is the longest time between two updates of the view; each also
	// sends the heartbeats that are due.
	checkInterval = sameZoneInterval
	// minStateRate is the rate in requests per second from which an instance that
	// no longer serves still sends the state of its components in heartbeats.
	minStateRate = 0.5
)

// StateExchanger is a component that shares its state with other instances in
// heartbeats.
type StateExchanger interface {
	// Fill adds the component's state to an outgoing heartbeat. It is called for
	// every audience but IdentityOnly.
	Fill(h *peerpb.Heartbeat, to Audience)
	// Merge merges the state in a received heartbeat. from is the name of the
	// sending instance, which stays the same over restarts; the incarnation changes.
	Merge(from string, h *peerpb.Heartbeat)
}

// Options configure a Fleet.
type Options struct {
	Self            Member
	Clock           clock.Clock
	Roster          Roster
	Transport       Transport
	StateExchangers []StateExchanger
	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// Rate returns the admitted requests per second of this instance.
	Rate func() float64
	// Ready reports whether this instance, when it should serve, is prepared to do
	// so.
	Ready func() bool
	// PathsLost, if not nil, reports whether this instance connects to no target, though
	// others do. Callers are not sent to it then.
	PathsLost func() bool
	// ConnectedAt, if not nil, returns the time since boot at which this instance last
	// connected to a target; 0 if it never has.
	ConnectedAt func() time.Duration
	// AsksForPaths, if not nil, reports whether others should test whether they reach
	// targets. OnAsked, if not nil, is called with the gossip address of one that asks.
	AsksForPaths func() bool
	OnAsked      func(address string)
	// OnStep, if not nil, is called at each step, which follow each other within
	// checkInterval while the process runs.
	OnStep func()
	// HasNews, if not nil, reports whether a StateExchanger has state that others may not
	// know yet: a standby sends it, too.
	HasNews func() bool
	Log     *zerolog.Logger
	// StoreClock is the steady clock of the platform's store, by which instances tell how long
	// heartbeats were under way. Without it, heartbeats confirm no configuration.
	StoreClock *clock.Remote
}

// Fleet tracks the other instances by their heartbeats and decides whether this
// one serves callers. Its methods are safe for concurrent use; call Run once.
type Fleet struct {
	Options
	view    atomic.Pointer[View]
	leaving atomic.Bool
	// joined is set once the roster was read and startWait is over, or a first try
	// to join or to read it has failed. Before, the instance does not serve.
	joined atomic.Bool
	// calledChanged has an element when View.Called has changed, push when
	// heartbeats should be sent at once.
	calledChanged, push chan struct{}
	// pushToAll says that the next push also goes to all serving instances.
	pushToAll atomic.Bool

	// entryMu is held while the own entry in the roster is written or removed. entryLosses counts
	// how often it was lost.
	entryMu     sync.Mutex
	entryLosses atomic.Int64
	// rejoin says that the entry is to be written again.
	rejoin atomic.Bool

	mu      sync.Mutex
	members map[string]*memberState
	// unheard are the instances in the roster that have not been heard, by name.
	unheard map[string]*contact
	// list holds the same members, sameZone those of the own zone in order of rank, nil until it
	// is needed: each update of the view goes through them, and a list costs less than a map.
	list, sameZone []*memberState
	// self ranks this instance among the members of its zone; it is in none of the other lists.
	self *memberState
	// zones numbers the zones of all members from 1 on: comparing numbers is cheaper than
	// comparing names, and each update of the view does so for each member.
	zones map[string]int
	// rosterRead says that members holds all instances that the roster had at the start.
	rosterRead bool
	// announcedServing is the last value of View.Serving that was sent to all members.
	announcedServing bool
	// promotableSince is the time since boot from which this standby has been among
	// those that should serve, or 0 if it is not.
	promotableSince time.Duration
	// servingSince is the time since boot from which this instance has served, or 0 if it
	// does not; createdAt that of New.
	servingSince, createdAt time.Duration
	quiet                   quietState
	// servingLoggedAt is the time since boot of the last log line on the serving instances,
	// servingUnlogged the number of changes since then.
	servingLoggedAt time.Duration
	servingUnlogged int
	// heartbeatDelay is the longest delay of a heartbeat since HeartbeatDelay was called.
	heartbeatDelay time.Duration
}

// New returns a fleet that knows only this instance.
func New(o Options) *Fleet {
	f := &Fleet{Options: o, members: map[string]*memberState{}, unheard: map[string]*contact{}, calledChanged: make(chan struct{}, 1), push: make(chan struct{}, 1), createdAt: o.Clock.SinceBoot(), zones: map[string]int{}, self: &memberState{Member: o.Self}}
	f.view.Store(&View{Self: o.Self})
	return f
}

// View returns the current set of serving instances.
func (f *Fleet) View() *View { return f.view.Load() }

// CalledChanged receives whenever View.Called may have changed.
func (f *Fleet) CalledChanged() <-chan struct{} { return f.calledChanged }

// Recheck updates the view after the result of Options.Ready has changed.
func (f *Fleet) Recheck() { f.step() }

// Push sends heartbeats at once, to pass on a change: to the standbys of the own
// zone, and with toPeers also to all serving instances.
func (f *Fleet) Push(toPeers bool) {
	if toPeers {
		f.pushToAll.Store(true)
	}
	select {
	case f.push <- struct{}{}:
	default:
	}
}

// Run joins the fleet and sends heartbeats until ctx ends.
func (f *Fleet) Run(ctx context.Context) error {
	go f.followRoster(ctx)
	for scope := onlyDue; ; {
		f.stepWithPush(scope)
		// The jitter keeps the instances from sending at the same moments.
		timer := time.NewTimer(checkInterval - rand.N(checkInterval/8))
		select {
		case <-ctx.Done():
			timer.Stop()
			return errors.WithStack(ctx.Err())
		case <-f.push:
			timer.Stop()
			scope = alsoStandbys
			if f.pushToAll.Swap(false) {
				scope = alsoPeers
			}
		case <-timer.C:
			scope = onlyDue
		}
	}
}

// AnnounceLeave tells all members that this instance shuts down.
func (f *Fleet) AnnounceLeave() {
	f.leaving.Store(true)
	f.step()
	data := f.encode(f.heartbeat(IdentityOnly))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, k := range f.list {
		f.Transport.Send(k.GossipAddress, data)
	}
}

// Receive handles one datagram. Datagrams that cannot be decoded are dropped.
func (f *Fleet) Receive(data []byte) {
	defer event.Contain(f.Log, "datagram", nil)
	h := &peerpb.Heartbeat{}
	if err := proto.Unmarshal(data, h); err != nil {
		event.DatagramRejected.Log(f.Log).Err(err).Int("bytes", len(data)).Send()
		return
	}
	if h.Instance == "" || h.Instance == f.Self.Instance {
		return
	}
	if !f.recordHeartbeat(h) {
		return
	}
	for _, x := range f.StateExchangers {
		x.Merge(h.Instance, h)
	}
	if h.Hello {
		f.Greet(h.GossipAddress)
	}
	if h.AsksForPaths && f.OnAsked != nil {
		f.OnAsked(h.GossipAddress)
	}
}

// Greet sends a heartbeat to one instance at once.
func (f *Fleet) Greet(address string) {
	f.Transport.Send(address, f.encode(f.heartbeat(IdentityOnly)))
}

// recordHeartbeat updates the state of the sender and adds the time for which the heartbeat was
// under way to the ages in it. It returns false for an
// outdated heartbeat, which must be ignored.
func (f *Fleet) recordHeartbeat(h *peerpb.Heartbeat) bool {
	now := f.Clock.SinceBoot()
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.members[h.Instance]
	// A lower incarnation comes from a delayed datagram of an earlier process, unless
	// the known one is unresponsive: incarnations are made from the time of day,
	// which may have jumped back.
	if k != nil && h.Incarnation < k.Incarnation && now-k.lastReceived < unresponsiveTimeout {
		return false
	}
	changed := k == nil || k.serving != h.Serving || k.leaving != h.Leaving || k.quiet != h.Quiet || k.pathsLost != h.PathsLost ||
		now-k.lastReceived >= silenceTimeout(k.Zone == f.Self.Zone, f.View().Serving)
	if k == nil {
		k = &memberState{}
		f.addMember(h.Instance, k)
	}
	if k.Zone != h.Zone || k.Capacity != h.Capacity {
		k.zoneNumber, f.sameZone = 0, nil
	}
	k.Member = Member{
		Instance: h.Instance, Incarnation: h.Incarnation, Zone: h.Zone, CallerAddress: h.CallerAddress,
		GossipAddress: h.GossipAddress, Capacity: h.Capacity, DiagnosticsAddress: k.DiagnosticsAddress,
	}
	k.heard = true
	if c := f.unheard[h.Instance]; c != nil && c.Incarnation <= h.Incarnation {
		delete(f.unheard, h.Instance)
	}
	delay, known := transitTime(h, f.StoreClock, now)
	f.heartbeatDelay = max(f.heartbeatDelay, delay)
	addDelay(h, delay, known)
	k.lastReceived, k.serving, k.leaving, k.quiet, k.pathsLost, k.rate = now, h.Serving, h.Leaving, h.Quiet, h.PathsLost, float64(h.Rate)
	if h.ConnectedAgeMs != nil {
		k.connectedAt = max(k.connectedAt, now-time.Duration(*h.ConnectedAgeMs)*time.Millisecond)
	}
	if changed {
		f.updateView(now)
	}
	return true
}

// sortByName orders members by instance name.
func sortByName(members []Member) {
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
}
