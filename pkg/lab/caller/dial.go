package caller

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// dialTimeout bounds one connection attempt.
const dialTimeout = time.Second

func dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }

// isDialError reports whether err is the failure of a connection attempt.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
