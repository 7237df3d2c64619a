package discovery

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxTextBytes bounds the id, the service and the zone of a target, as the platform's
	// store bounds keys. With it, the changes of a heartbeat fit into a datagram.
	maxTextBytes = 200
	// maxSlots bounds the slots of a target; messages between instances carry 32 bits.
	maxSlots = 1 << 16
	// maxWarmup bounds the time that a target stays slow after its start.
	maxWarmup = time.Hour
)

// InvalidTargetError says why a listed target is not one that can be used.
type InvalidTargetError struct{ Reason string }

// Error returns the reason.
func (e *InvalidTargetError) Error() string { return "invalid target: " + e.Reason }

// Validate checks a target that was read from the platform's list. Errors:
// *InvalidTargetError.
func (t Target) Validate() error {
	reason := ""
	switch {
	case !validID(t.ID):
		reason = "the id is not 1 to 200 visible ASCII characters long"
	case !validText(t.Service):
		reason = "the service is not 1 to 200 bytes long"
	case !validText(t.Zone):
		reason = "the zone is not 1 to 200 bytes long"
	case t.Slots < 1 || t.Slots > maxSlots:
		reason = "invalid slots " + strconv.Itoa(t.Slots)
	case t.WarmupLeft < 0 || t.WarmupLeft > maxWarmup:
		reason = "invalid warm-up " + t.WarmupLeft.String()
	case !validAddress(t.Address):
		reason = "invalid address"
	default:
		return nil
	}
	return errors.WithStack(&InvalidTargetError{Reason: reason})
}

func validText(s string) bool { return len(s) > 0 && len(s) <= maxTextBytes }

// validID reports whether an id can stand in a header line of a request.
func validID(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return validText(s)
}

// validAddress reports whether an IP:port names one machine.
func validAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	ip := a.Addr()
	return err == nil && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip.Zone() == ""
}
