package caller

import (
	"net"

	"github.com/cockroachdb/errors"
)

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
