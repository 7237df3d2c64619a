// Package follow keeps an instance on the newest configuration of a platform's
// store and publishes it as an immutable view.
package follow

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/config"
	"github.com/arbutuslink/arbutuslink/pkg/control"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/membership"
)

const (
	// firstPause is the longest wait after a failed call; it doubles with each
	// further failure up to maxPause and is drawn at random, so that the
	// instances do not return to the store at the same time.
	firstPause = 100 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Update is a configuration as a source delivers it.
type Update struct {
	// Cursor is given back to the source to wait for later changes.
	Cursor int64
	// Config is nil when nothing changed or the document was rejected.
	Config  *config.Config
	Version int64
	// Rejected is the reason why a document was not usable.
	Rejected error
}

// Source delivers configurations.
type Source interface {
	// Await returns the newest configuration at once when cursor is 0, and else
	// waits until there is a change after cursor or its own time is over.
	Await(ctx context.Context, cursor int64) (Update, error)
}

// Follower owns the applied configuration. It implements control.Viewer and
// control.Freshness.
type Follower struct {
	source    Source
	clock     clock.Clock
	log       *zerolog.Logger
	onTrouble func()

	view    atomic.Pointer[control.View]
	applied atomic.Bool
}

// New returns a follower without a configuration. onTrouble is called whenever
// the store does not answer.
func New(c clock.Clock, source Source, self membership.Member, log *zerolog.Logger, onTrouble func()) *Follower {
	f := &Follower{source: source, clock: c, log: log, onTrouble: onTrouble}
	f.view.Store(&control.View{Config: config.NewSnapshot(0, config.Empty()), Membership: &membership.Membership{}, Self: self})
	return f
}

// View returns the newest view; its configuration is empty before the first one arrives.
func (f *Follower) View() *control.View { return f.view.Load() }

// Fresh tells whether a configuration is known. An instance that has lost the
// store goes on with what it last read.
func (f *Follower) Fresh() bool { return f.applied.Load() }

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var cursor int64
	pause, available := firstPause, true
	for {
		update, err := f.source.Await(ctx, cursor)
		if ctx.Err() != nil {
			return errors.WithStack(ctx.Err())
		}
		if err != nil {
			f.onTrouble()
			if available {
				event.PlatformUnavailable.Log(f.log).Err(err).Int64("config_version", f.View().Config.Version).Send()
			}
			available = false
			if err := f.clock.Sleep(ctx, rand.N(pause)); err != nil {
				return errors.WithStack(err)
			}
			pause = min(2*pause, maxPause)
			continue
		}
		if !available {
			event.PlatformAvailable.Log(f.log).Send()
		}
		pause, available, cursor = firstPause, true, update.Cursor
		f.apply(update)
	}
}

// apply publishes a newer configuration. Versions never decrease.
func (f *Follower) apply(update Update) {
	old := f.View()
	switch {
	case update.Rejected != nil:
		event.ConfigRejected.Log(f.log).Err(update.Rejected).Int64("version", update.Version).
			Int64("applied_version", old.Config.Version).Send()
	case update.Config != nil && (update.Version > old.Config.Version || !f.applied.Load()):
		next := *old
		next.Config = config.NewSnapshot(update.Version, update.Config)
		f.view.Store(&next)
		f.applied.Store(true)
		event.ConfigApplied.Log(f.log).Int64("version", update.Version).Int64("previous_version", old.Config.Version).Send()
	}
}
