package fleet

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Ports of the processes; each has its own loopback address.
const (
	servicePort  = 7001
	operatorPort = 7002
	peerPort     = 7003
	relayPort    = 7004
	adminPort    = 7005
	claimPort    = 7006
)

// Third bytes of the loopback addresses.
const (
	platformNet = 1
	instanceNet = 2
	targetNet   = 10
)

// Second bytes of the loopback addresses of fleets. Programs built before the
// claims choose from 16 to 215 by process id, without a check.
const (
	firstNetwork = 216
	networks     = 39
)

// network is the part of the loopback range that one fleet uses. The claim is a
// listener that keeps other fleets, also those of other processes, off it.
type network struct {
	number int
	claim  net.Listener
}

// claimNetwork returns a network that no other fleet uses. Errors: *ProcessError.
func claimNetwork() (*network, error) {
	var last error
	for try := range networks {
		n := &network{number: firstNetwork + (os.Getpid()+try)%networks}
		claim, err := net.Listen("tcp", at(n.loopback(platformNet, 1), claimPort))
		if err == nil {
			n.claim = claim
			return n, nil
		}
		last = err
	}
	return nil, errors.WithStack(&ProcessError{Name: "loopback addresses", Cause: last})
}

func (n *network) release() { _ = n.claim.Close() }

func (n *network) loopback(third, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.number, third, host)
}

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
