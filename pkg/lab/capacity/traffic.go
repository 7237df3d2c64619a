package capacity

import "github.com/arbutuslink/arbutuslink/pkg/peer/drpcpeer"

// callsOf returns the number of calls between two dumps, and the bytes sent and
// received by kind of call.
func callsOf(before, after map[string]drpcpeer.CallCounts) (calls float64, bytes map[string]float64) {
	bytes = map[string]float64{}
	for kind, a := range after {
		b := before[kind]
		calls += float64(a.Calls - b.Calls)
		bytes[kind] = float64(a.SentBytes - b.SentBytes + a.ReceivedBytes - b.ReceivedBytes)
	}
	return calls, bytes
}
