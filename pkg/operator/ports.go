// Package operator serves the operator API over HTTP: patches, history, status,
// membership, dump and metrics.
package operator

import (
	"context"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/operator/api"
)

// Proposal is a patch of the configuration that is not yet a version.
type Proposal struct {
	// Expected is the version that the patch was written against; it must be the
	// current one.
	Expected int64
	// Author is the name of the operator whose token came with the request.
	Author string
	// MediaType is the format of Patch; config.MergePatchType and
	// config.JSONPatchType are supported.
	MediaType string
	Patch     []byte
}

// Coordinator reads and changes the configuration and the membership that the
// instances of a fleet agree on.
type Coordinator interface {
	// Current returns the newest configuration version stored on the platform, or,
	// if the platform does not answer, the one that this instance has applied.
	Current(ctx context.Context) (int64, *config.Config, error)
	// Propose applies the patch, stores the result as the next version and returns
	// its number. Errors: *StaleVersionError, *PendingError, *UnavailableError and
	// those of config.Config.Apply.
	Propose(ctx context.Context, p Proposal) (int64, error)
	// History returns the changes after the given version, newest first.
	History(ctx context.Context, since int64) ([]api.Change, error)
	// Status returns the state as this instance sees it.
	Status() api.Status
	// Members returns the membership that this instance has applied.
	Members() api.MemberList
	// Replace removes the members with the given incarnations, which an operator
	// declares gone. Errors: *ReplaceError, *UnavailableError.
	Replace(ctx context.Context, gone []string) error
}

// Dumper returns the state of the process as a value that encoding/json can encode.
type Dumper interface{ Dump() any }
