package entry

import (
	"context"
	"io"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

const longDescription = `arbutus-entry is one instance of an arbutuslink fleet.

Examples:
  arbutus-entry --settings /etc/arbutus/entry.json --check-config
  arbutus-entry --settings /etc/arbutus/entry.json

SIGTERM and SIGINT start a graceful shutdown. docs/settings.md lists the settings.`

// Main runs arbutus-entry and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	command := daemon.Command{Name: "arbutus-entry", Description: longDescription, Stdout: stdout, Stderr: stderr}
	s, _, code, ok := daemon.Load(command, args, settings.LoadEntry)
	if !ok {
		return code
	}
	return run(s, stderr)
}

func run(s *settings.Entry, stderr io.Writer) int {
	// settings.LoadEntry has validated the level.
	level, _ := zerolog.ParseLevel(s.LogLevel)
	log := zerolog.New(stderr).Level(level).With().Timestamp().Str("instance", s.Instance).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := New(s, log).Run(ctx); err != nil {
		log.Error().Err(err).Msg("the instance failed")
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}
