// Package control runs the control loop of an instance: one goroutine owns the
// applied head row, the membership, the fence and the delivery of changes, and
// publishes an immutable View for the goroutines that handle requests.
package control

import (
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// View is what an instance has applied. It is immutable.
type View struct {
	Head       head.Row
	Config     *config.Snapshot
	Membership *membership.Membership
	// PreviousMembership is the membership on which the newest change was
	// written: the version before Membership, or Membership's own version when
	// only the configuration changed. It is nil for the first membership.
	PreviousMembership *membership.Membership
	// Self is this process. Its incarnation changes when it rejoins after its removal.
	Self membership.Member
	// Member is false for a guest and for an instance that has not joined yet.
	Member bool
	// DeliveredAt is the time since boot at which this instance learned that
	// the change in Head was delivered; zero while it is not known to be
	// delivered.
	DeliveredAt time.Duration
}

// Viewer provides the current View, which is never nil.
type Viewer interface{ View() *View }

// ServeChecker reports whether the instance may act on its View. If it may not,
// a newer version may be in force elsewhere.
type ServeChecker interface {
	// MayServe is cheap and safe for concurrent use. It must be called again right
	// before a request is written to a target.
	MayServe() bool
}
