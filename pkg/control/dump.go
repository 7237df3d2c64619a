package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/arbutuslink/arbutuslink/pkg/head"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

// Dump is the control state for diagnosis. Times are since boot, in
// nanoseconds.
type Dump struct {
	Self        membership.Member      `json:"self"`
	Phase       string                 `json:"phase"`
	Fresh       bool                   `json:"fresh"`
	Now         time.Duration          `json:"now_ns"`
	FenceEnd    time.Duration          `json:"fence_end_ns"`
	Head        head.Row               `json:"head"`
	Membership  *membership.Membership `json:"membership"`
	DeliveredAt time.Duration          `json:"delivered_at_ns"`
	// Holders are processes; Gone and Suspects are incarnations.
	Holders      []string                 `json:"holders"`
	Gone         []string                 `json:"gone"`
	Suspects     []string                 `json:"suspects"`
	LastReceived map[string]time.Duration `json:"last_heard_ns"`
	PlatformUp   bool                     `json:"platform_up"`
}

// Dump returns the control state. Errors: *StoppedError, *NoAnswerError.
func (l *Loop) Dump(ctx context.Context) (Dump, error) {
	var d Dump
	err := l.do(ctx, func() { d = l.core.dump() })
	return d, err
}

func (c *core) dump() Dump {
	now := c.now()
	return Dump{
		Self: c.self, Phase: string(c.phase), Fresh: c.mayServe(), Now: now, FenceEnd: c.fence.Deadline(),
		Head: c.applied.row, Membership: c.applied.membership, DeliveredAt: c.deliveredAt,
		Holders: slices.Sorted(maps.Keys(c.holders)), Gone: slices.Sorted(maps.Keys(c.gone)),
		Suspects: c.suspects(now), LastReceived: maps.Clone(c.lastReceived), PlatformUp: c.platformUp,
	}
}
