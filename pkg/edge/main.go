package edge

import (
	"context"
	"io"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/bytebudget"
	"github.com/arbutuslink/arbutuslink/pkg/daemon"
	"github.com/arbutuslink/arbutuslink/pkg/hangup"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
)

const longDescription = `Runs one instance of an arbutuslink fleet on a platform's store.

Example:
  arbutus-edge --settings /etc/arbutuslink/boot.toml

SIGTERM and SIGINT start a graceful shutdown, SIGHUP reads the log level and the limits on hedges
again, as does a change of the file. docs/edge-settings.md lists the settings.`

// Builder returns the parts of an instance that depend on the platform.
type Builder func(s *settings.Edge, log *zerolog.Logger) Options

// Main runs arbutus-edge and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, build Builder) int {
	command := daemon.Command{Name: "arbutus-edge", Description: longDescription, Stdout: stdout, Stderr: stderr}
	s, file, code, ok := daemon.Load(command, args, settings.LoadEdge)
	if !ok {
		return code
	}
	return run(file, s, stdout, build)
}

func run(file string, s *settings.Edge, stdout io.Writer, build Builder) int {
	out := newLogWriter(stdout)
	defer out.Close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Str("instance", s.Instance).Logger()
	setLevel(s)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	machine, err := bytebudget.MachineMemory()
	if err != nil {
		log.Error().Err(err).Msg("the machine's memory is unknown")
		return daemon.ExitFailed
	}
	options := build(s, &log)
	options.Memory = s.Memory(machine)
	debug.SetMemoryLimit(settings.SoftMemoryLimit(options.Memory))
	instance := New(options)
	reloader := &reloader{file: file, apply: instance.apply, clock: instance.clock, log: &log}
	reloader.seen, _ = stampOf(file)
	go reloader.run(ctx, hangup.Received())
	if err := instance.Run(ctx); err != nil {
		log.Error().Err(err).Msg("the instance failed")
		return daemon.ExitFailed
	}
	return daemon.ExitOK
}

// setLevel applies the log level, which was validated with the settings.
func setLevel(s *settings.Edge) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		panic(err)
	}
	zerolog.SetGlobalLevel(level)
}
