package hedge

// State is the state of the hedges of one service, for operators.
type State struct {
	// Sent, Won and Refused are counts since the start, Refused by reason. WastedSeconds is
	// the time for which attempts took a slot whose response was not used.
	Sent          int64            `json:"sent"`
	Won           int64            `json:"won"`
	WastedSeconds float64          `json:"wasted_slot_seconds"`
	Refused       map[string]int64 `json:"refused"`
	// DelaysMS are the ages in ms at which hedges are due, by route; a route is absent while
	// none is due, for example because too little is known of it.
	DelaysMS map[string]int64 `json:"delays_ms"`
}

// State returns the state of the service.
func (d *Decider) State() State {
	s := State{Sent: d.sent, Won: d.won, WastedSeconds: d.wasted.Seconds(), Refused: map[string]int64{}, DelaysMS: map[string]int64{}}
	for _, r := range Refusals() {
		s.Refused[r.String()] = d.refused[r]
	}
	for route, l := range d.routes {
		for _, delay := range l.delays { // several, if limits or timeouts differ
			if ms := delay.Milliseconds(); ms > 0 && (s.DelaysMS[route] == 0 || ms < s.DelaysMS[route]) {
				s.DelaysMS[route] = ms
			}
		}
	}
	return s
}
