package fleet

import (
	"fmt"
	"os"
)

// Ports of the processes; each has its own loopback address.
const (
	servicePort  = 7001
	operatorPort = 7002
	peerPort     = 7003
	relayPort    = 7004
	adminPort    = 7005
)

// Third bytes of the loopback addresses.
const (
	platformNet = 1
	instanceNet = 2
	targetNet   = 10
)

// network is the second byte of all loopback addresses of this run, so that
// two runs at the same time do not collide.
var network = 16 + os.Getpid()%200

func loopback(net, host int) string { return fmt.Sprintf("127.%d.%d.%d", network, net, host) }

func at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }
