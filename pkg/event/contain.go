package event

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"
)

// Contain is deferred around the handling of one message. It ends a panic there, so
// that one message does not end the process, and logs it. failed, if not nil, is called
// after a panic.
func Contain(log *zerolog.Logger, message string, failed func()) {
	cause := recover()
	if cause == nil {
		return
	}
	PanicContained.Log(log).Str("message", message).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Send()
	if failed != nil {
		failed()
	}
}
