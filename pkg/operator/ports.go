// Package operator serves the operators' HTTP API: patches, history, status,
// membership, dump and metrics.
package operator

import (
	"context"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Proposal is a configuration change that awaits its number.
type Proposal struct {
	// Expected is the version that the patch was written against.
	Expected  int64
	Author    string
	MediaType string
	Patch     []byte
}

// Coordinator is the agreement of the fleet as operators use it.
type Coordinator interface {
	// Current returns the newest version that the platform holds, or the newest
	// that this instance has applied when the platform does not answer.
	Current(ctx context.Context) (int64, *config.Config, error)
	// Propose makes the patched configuration the next version. Errors:
	// *StaleVersionError, *PendingError, *UnavailableError and those of
	// config.Config.Apply.
	Propose(ctx context.Context, p Proposal) (int64, error)
	// History returns changes after the given version, newest first.
	History(ctx context.Context, since int64) ([]api.Change, error)
	Status() api.Status
	Members() api.MemberList
	// Replace removes members that an operator declares gone. Errors:
	// *ReplaceError, *UnavailableError.
	Replace(ctx context.Context, gone []string) error
}

// Dumper returns the state of the process in a form that encodes as JSON.
type Dumper interface{ Dump() any }
