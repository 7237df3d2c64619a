package edge

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/event"
	"github.com/arbutuslink/arbutuslink/pkg/settings"
	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// Exit codes of arbutus-edge.
const (
	ExitOK     = 0
	ExitFailed = 1 // the instance could not run
	ExitUsage  = 2 // the command line or the settings are wrong
)

type options struct {
	Settings    string `long:"settings" value-name:"FILE" description:"settings file (JSON); required"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

const longDescription = `Runs one instance of an arbutuslink fleet on a platform's store.

Example:
  arbutus-edge --settings /etc/arbutuslink/boot.toml

SIGTERM and SIGINT start a graceful shutdown, SIGHUP reads the log level again. docs/settings.md lists the settings.`

// Builder makes the parts of an instance that depend on the platform.
type Builder func(s *settings.Edge, log *zerolog.Logger) Options

// Main runs arbutus-edge and returns its exit code.
func Main(args []string, stdout, stderr io.Writer, build Builder) int {
	var opts options
	parser := flags.NewNamedParser("arbutus-edge", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err) // the tags of options are wrong
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usageExit(err, stdout, stderr)
	}
	if opts.Version {
		_, _ = fmt.Fprintln(stdout, "arbutus-edge", version.Number)
		return ExitOK
	}
	if opts.Settings == "" {
		_, _ = fmt.Fprintln(stderr, "arbutus-edge: --settings is required")
		return ExitUsage
	}
	s, err := settings.LoadEdge(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "arbutus-edge:", err)
		return ExitUsage
	}
	if opts.CheckConfig {
		_, _ = fmt.Fprintln(stdout, opts.Settings, "is valid")
		return ExitOK
	}
	return run(opts.Settings, s, stdout, build)
}

func usageExit(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "arbutus-edge:", err)
	return ExitUsage
}

func run(file string, s *settings.Edge, stdout io.Writer, build Builder) int {
	out := newLogWriter(stdout)
	defer out.Close()
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(out).With().Timestamp().Str("instance", s.Instance).Logger()
	setLevel(s)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	go reload(ctx, hangup, file, &log)
	if err := New(build(s, &log)).Run(ctx); err != nil {
		log.Error().Err(err).Msg("the instance failed")
		return ExitFailed
	}
	return ExitOK
}

// setLevel applies the log level, which was checked with the settings.
func setLevel(s *settings.Edge) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		panic(err)
	}
	zerolog.SetGlobalLevel(level)
}

// reload reads the settings again on each signal. Only the log level changes
// while the process runs; addresses take effect at the next start.
func reload(ctx context.Context, hangup <-chan os.Signal, file string, log *zerolog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		}
		s, err := settings.LoadEdge(file)
		if err != nil {
			event.SettingsRejected.Log(log).Err(err).Send()
			continue
		}
		setLevel(s)
		event.SettingsReloaded.Log(log).Str("log_level", s.LogLevel).Send()
	}
}
