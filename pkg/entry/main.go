package entry

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"github.com/arbutuslink/arbutuslink/pkg/settings"
	"github.com/arbutuslink/arbutuslink/pkg/version"
)

// Exit codes of arbutus-entry.
const (
	ExitOK     = 0
	ExitFailed = 1 // a listener could not be opened or a component failed
	ExitUsage  = 2 // the command line or the settings are wrong
)

type options struct {
	Settings    string `long:"settings" description:"JSON file with the settings of this instance"`
	CheckConfig bool   `long:"check-config" description:"check the settings file and exit"`
	Version     bool   `long:"version" description:"print the version and exit"`
}

const longDescription = `arbutus-entry is one instance of an arbutuslink fleet.

Examples:
  arbutus-entry --settings /etc/arbutus/entry.json --check-config
  arbutus-entry --settings /etc/arbutus/entry.json

SIGTERM and SIGINT start a graceful shutdown. docs/settings.md lists the settings.`

// Main runs arbutus-entry and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var opts options
	parser := flags.NewNamedParser("arbutus-entry", flags.HelpFlag|flags.PassDoubleDash)
	parser.LongDescription = longDescription
	if _, err := parser.AddGroup("Options", "", &opts); err != nil {
		panic(err) // the tags of options are wrong
	}
	if _, err := parser.ParseArgs(args); err != nil {
		return usage(err, stdout, stderr)
	}
	if opts.Version {
		_, _ = fmt.Fprintln(stdout, "arbutus-entry", version.Number)
		return ExitOK
	}
	if opts.Settings == "" {
		_, _ = fmt.Fprintln(stderr, "arbutus-entry: --settings is required")
		return ExitUsage
	}
	s, err := settings.LoadEntry(opts.Settings)
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "arbutus-entry:", err)
		return ExitUsage
	}
	if opts.CheckConfig {
		_, _ = fmt.Fprintln(stdout, opts.Settings, "is valid")
		return ExitOK
	}
	return run(s, stderr)
}

func usage(err error, stdout, stderr io.Writer) int {
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		_, _ = fmt.Fprintln(stdout, flagsErr.Message)
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "arbutus-entry:", err)
	return ExitUsage
}

func run(s *settings.Entry, stderr io.Writer) int {
	// The level was checked with the settings.
	level, _ := zerolog.ParseLevel(s.LogLevel)
	log := zerolog.New(stderr).Level(level).With().Timestamp().Str("instance", s.Instance).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := New(s, log).Run(ctx); err != nil {
		log.Error().Err(err).Msg("the instance failed")
		return ExitFailed
	}
	return ExitOK
}
