package edge

import (
	"context"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/clock"
	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

// settingsPollInterval is the time between two checks whether the settings file has changed.
// A platform may render it anew without a signal, and operators expect a change of the limits on
// hedges to take effect within seconds.
const settingsPollInterval = time.Second

// reloader reads the settings file again on each signal and when the file changes.
type reloader struct {
	file  string
	apply func(s *settings.Edge)
	clock clock.Clock
	log   *zerolog.Logger
	// seen is the state of the file when it was last read.
	seen fileStamp
}

// fileStamp tells one state of a file from another.
type fileStamp struct {
	modified time.Time
	size     int64
}

func stampOf(file string) (fileStamp, error) {
	info, err := os.Stat(file)
	if err != nil {
		return fileStamp{}, err
	}
	return fileStamp{info.ModTime(), info.Size()}, nil
}

// run reloads the settings until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	ticks := make(chan struct{})
	go func() {
		for r.clock.Sleep(ctx, settingsPollInterval) == nil {
			select {
			case ticks <- struct{}{}:
			case <-ctx.Done():
			}
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload()
		case <-ticks:
			r.reloadIfChanged()
		}
	}
}

// reloadIfChanged reads the file if it has changed since it was last read. A file that is missing,
// for example because it is being replaced, has not changed yet.
func (r *reloader) reloadIfChanged() {
	if stamp, err := stampOf(r.file); err == nil && stamp != r.seen {
		r.reload()
	}
}

// reload reads the file and applies what can change while the process runs; other settings
// take effect at the next start. A file that is not valid changes nothing.
func (r *reloader) reload() {
	// The stamp comes first: a change during the read is then seen by the next check.
	r.seen, _ = stampOf(r.file)
	s, err := settings.LoadEdge(r.file)
	if err != nil {
		event.SettingsRejected.Log(r.log).Err(err).Send()
		return
	}
	r.apply(s)
	event.SettingsReloaded.Log(r.log).Str("log_level", s.LogLevel).Send()
}
