package edge

import (
	"github.com/arbutuslink/arbutuslink/pkg/fleet"
	"github.com/arbutuslink/arbutuslink/pkg/peer/peerpb"
	"github.com/arbutuslink/arbutuslink/pkg/quarantine"
)

// suspectExchange shares the requests that crash targets in heartbeats. It implements
// fleet.StateExchanger.
type suspectExchange struct{ *quarantine.List }

// Fill adds what other instances should know.
func (e suspectExchange) Fill(h *peerpb.Heartbeat, _ fleet.Audience) {
	h.SuspectRequests = e.Messages()
}

// Merge applies what another instance knows.
func (e suspectExchange) Merge(from string, h *peerpb.Heartbeat) {
	e.List.Merge(from, h.SuspectRequests)
}

// ownsSuspect reports whether this instance is the one among those that serve that tries a
// request in quarantine again.
func (i *Instance) ownsSuspect(d quarantine.Digest) bool {
	view := i.fleet.View()
	names := make([]string, 0, len(view.Peers))
	for _, m := range view.Peers {
		names = append(names, m.Instance)
	}
	return d.Owner(names) == view.Self.Instance
}
