package fleet

import (
	"fmt"
	"net"
	"os"

	"github.com/cockroachdb/errors"
)

// Ports of the listeners. The platform simulator, each instance and each target
// have a loopback address of their own, so that all can use the same ports.
const (
	servicePort  = 7001
	operatorPort = 7002
	peerPort     = 7003
	// relayPort is the port of the relay in front of an instance's peer listener.
	relayPort = 7004
	adminPort = 7005
	// claimPort is the port of the listener that claims an address block.
	claimPort = 7006
)

// Third bytes of the loopback addresses. Each service has its own one for its
// targets, from firstTargetSubnet on.
const (
	platformSubnet    = 1
	instanceSubnet    = 2
	firstTargetSubnet = 10
)

// Range of the second bytes of the loopback addresses of fleets. Programs built
// before the introduction of claims choose theirs from 16 to 215 by process id,
// without checking whether another fleet uses it.
const (
	firstBlock = 216
	blockCount = 39
)

// addressBlock is the part of the loopback range that one fleet uses,
// 127.secondByte.0.0/16. While the claim listener is open, no other fleet, in
// this or another process, uses the block.
type addressBlock struct {
	secondByte int
	claim      net.Listener
}

// claimAddressBlock returns an address block that no other fleet uses. Errors:
// *ProcessError.
func claimAddressBlock() (*addressBlock, error) {
	var last error
	for try := range blockCount {
		n := &addressBlock{secondByte: firstBlock + (os.Getpid()+try)%blockCount}
		claim, err := net.Listen("tcp", hostPort(n.loopback(platformSubnet, 1), claimPort))
		if err == nil {
			n.claim = claim
			return n, nil
		}
		last = err
	}
	return nil, errors.WithStack(&ProcessError{Name: "loopback addresses", Cause: last})
}

// release lets other fleets use the block.
func (n *addressBlock) release() { _ = n.claim.Close() }

func (n *addressBlock) loopback(third, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", n.secondByte, third, host)
}

func hostPort(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
